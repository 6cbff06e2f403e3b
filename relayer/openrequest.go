package relayer

import (
	"bytes"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/queuer"
)

// openRequestWait is the longest time for which the first packet of a request on an open flow waits for a slot. Its caller
// retransmits it then.
const openRequestWait cherviltide.Millis = 200

// holdLimit is the longest expected wait with which a request is held.
const holdLimit cherviltide.Millis = 110

// holdRequest makes the first packet of a request on an open flow wait for a slot, in the order of new flows. It returns false
// when the packet is delivered at once.
func (d *Decider) holdRequest(in Input, f *flow, a Arrival) (Decision, bool) {
	p := a.Packet
	if !f.isOpen() || !f.requestSeen || f.active || f.transfer != nil || p.Length == 0 || int32(p.Sequence-f.nextCallerSequence) < 0 ||
		p.Length >= d.limits.MaxPayload || d.load.active < d.target.Slots {
		return Decision{}, false
	}
	route := in.Rules.Route(a.Header.Flow.Virtual)
	d.updateCapacity()
	waiting := queuer.Flow{Key: a.Header.Flow, Priority: route.Priority, StartedAt: in.Now, Goal: route.Goal, GiveUpAt: in.Now + openRequestWait}
	kept := a
	kept.Datagram, kept.waitingSince = bytes.Clone(a.Datagram), in.Now
	if wait, verdict := d.queue.Predict(in.Now, waiting); verdict != queuer.VerdictTimely || wait > holdLimit {
		return Decision{}, false
	}
	d.queue.Submit(in.Now, waiting, kept)
	return Decision{Action: ActionWait, Reason: ReasonWaiting}, true
}
