package relayer

import (
	"bytes"
	"context"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/queuer"
)

// ordinaryHoldTime is how long bulky flows leave one slot free after the last flow that is not bulky.
const ordinaryHoldTime cherviltide.Millis = 30_000

// waitingFlow returns a new flow as the queue sees it.
func (d *Decider) waitingFlow(in Input, a Arrival) queuer.Flow {
	route := in.Rules.Route(a.Header.Flow.Virtual)
	age := cherviltide.Millis(0)
	if n := int(a.Packet.Retransmission); n > 0 && len(d.limits.OpeningRetransmissions) > 0 {
		age = d.limits.OpeningRetransmissions[min(n, len(d.limits.OpeningRetransmissions))-1]
	}
	timeout := d.limits.OpeningTimeout
	if timeout <= 0 {
		timeout = answerTimeout
	}
	if route.Deadline > 0 {
		timeout = min(timeout, route.Deadline)
	}
	startedAt := in.Now - age
	return queuer.Flow{
		Key: a.Header.Flow, Priority: route.Priority, Bulky: route.Class == cherviltide.ClassBulky,
		StartedAt: startedAt, Goal: route.Goal, GiveUpAt: startedAt + timeout,
	}
}

// waitingQueue returns the queue in which a new flow waits: for a slot, or for a place among the transfers.
func (d *Decider) waitingQueue(in Input, a Arrival) *queuer.Queue[Arrival] {
	if in.Rules.Route(a.Header.Flow.Virtual).Class == cherviltide.ClassUpload {
		return d.uploads
	}
	return d.queue
}

// hasRoom reports whether a new flow may be opened at once: no flow waits before it, and there is a free slot or, for an
// upload, a free place among the transfers.
func (d *Decider) hasRoom(in Input, a Arrival) bool {
	if d.waitingQueue(in, a).Len() > 0 {
		return false
	}
	switch in.Rules.Route(a.Header.Flow.Virtual).Class {
	case cherviltide.ClassUpload:
		return d.hasTransferPlace()
	case cherviltide.ClassBulky:
		return d.hasFreeSlot(in.Now, true, 0)
	}
	return d.hasFreeSlot(in.Now, false, 0)
}

// hasFreeSlot reports whether the target has a free slot for a new flow. overlap is the number of flows that may be opened
// in addition to the slots. Bulky flows leave one slot to others.
func (d *Decider) hasFreeSlot(now cherviltide.Millis, bulky bool, overlap int) bool {
	if bulky && !d.hasBulkySlot(now) {
		return false
	}
	return d.load.active < d.slots()+overlap
}

// hasBulkySlot reports whether bulky flows may take another slot.
func (d *Decider) hasBulkySlot(now cherviltide.Millis) bool {
	ordinary := d.load.lastOrdinaryAt != 0 && now-d.load.lastOrdinaryAt < ordinaryHoldTime
	hasSlot := !ordinary || d.slots() < 2 || d.load.activeBulky < d.slots()-1
	return hasSlot && d.load.sending < d.transferLimit()
}

// updateCapacity gives the queue the present capacity of the target.
func (d *Decider) updateCapacity() {
	d.queue.SetCapacity(queuer.Capacity{
		Slots: d.slots(), ServiceTime: d.expectedServiceTime(), OpeningTime: d.load.openingTime.value,
	})
	d.uploads.SetCapacity(queuer.Capacity{Slots: d.transferLimit(), ServiceTime: d.load.transferTime.value})
}

// submit makes a new flow wait for a slot, or refuses it when it cannot be served before its caller gives up.
func (d *Decider) submit(in Input, a Arrival) Decision {
	f := d.waitingFlow(in, a)
	kept := a
	kept.Datagram, kept.waitingSince = bytes.Clone(a.Datagram), in.Now
	wait, verdict := d.waitingQueue(in, a).Submit(in.Now, f, kept)
	if verdict == queuer.VerdictRefused {
		d.remoteFlows.remove(a.Header.Flow)
		return Decision{Action: ActionRefuse, Reason: ReasonOverloaded, Wait: wait}
	}
	decision := Decision{Action: ActionWait, Reason: ReasonWaiting, Wait: wait}
	if a.Header.Flags == framer.FlagOffered {
		decision.Notify = a.Sender
	}
	return decision
}

// absorbCopy returns the decision about an opening packet of a flow that waits here already. A packet with another sequence
// number opens another flow from the same port, so that the former one is dropped.
func (d *Decider) absorbCopy(a Arrival) (Decision, bool) {
	waiting, ok := d.queue.Get(a.Header.Flow)
	if !ok {
		waiting, ok = d.uploads.Get(a.Header.Flow)
	}
	if !ok {
		return Decision{}, false
	}
	if waiting.Packet.Sequence != a.Packet.Sequence {
		d.removeWaiting(a.Header.Flow)
		return Decision{}, false
	}
	return Decision{Action: ActionWait, Reason: ReasonWaiting}, true
}

// Waiting returns the number of flows that wait for a slot, or for a place among the transfers.
func (d *Decider) Waiting() int { return d.queue.Len() + d.uploads.Len() }

// NextWaiting decides about a waiting flow whose turn has come: it is opened, offered to another agent because the target no
// longer takes new flows or the failure domain is evacuated, dropped or refused. It returns false when all go on waiting.
func (d *Decider) NextWaiting(in Input) (Arrival, Decision, bool) {
	if d.Waiting() == 0 {
		return Arrival{}, Decision{}, false
	}
	d.observePace(in)
	d.updateCapacity()
	if a, decision, ok := d.nextWaiting(in, d.queue); ok {
		return a, decision, true
	}
	return d.nextWaiting(in, d.uploads)
}

// nextWaiting decides about the flows of one queue.
func (d *Decider) nextWaiting(in Input, queue *queuer.Queue[Arrival]) (Arrival, Decision, bool) {
	if queue.Len() == 0 {
		return Arrival{}, Decision{}, false
	}
	if !d.target.AcceptsNewFlows || in.isEvacuated() || d.quarantine.IsOut() || d.targetUnresponsive(in.Now) {
		f, _ := queue.First()
		return d.release(in, f, func(a Arrival) Decision { return d.placeFlow(in, a, 0) })
	}
	if f, ok := queue.NextRefused(in.Now); ok {
		return d.release(in, f, func(Arrival) Decision {
			d.remoteFlows.remove(f.Key)
			return Decision{Action: ActionRefuse, Reason: ReasonOverloaded}
		})
	}
	if !d.acceptsNewFlows(in) || !d.hasRoomForWaiting(in.Now, queue) || !d.pacing.pacer.Allow(in.Now) {
		return Arrival{}, Decision{}, false
	}
	f, ok := queue.Next(in.Now, !d.hasBulkySlot(in.Now))
	if !ok {
		return Arrival{}, Decision{}, false
	}
	return d.release(in, f, func(a Arrival) Decision {
		if decision, ok := d.rejectByRules(in, a); ok {
			return decision
		}
		return d.openFlow(in, a)
	})
}

// hasRoomForWaiting reports whether a flow of a queue may be opened.
func (d *Decider) hasRoomForWaiting(now cherviltide.Millis, queue *queuer.Queue[Arrival]) bool {
	if queue == d.uploads {
		return d.hasTransferPlace()
	}
	return d.hasFreeSlot(now, false, queue.Overlap())
}

// release removes a waiting flow from the queue and decides about it.
func (d *Decider) release(in Input, f queuer.Flow, decide func(Arrival) Decision) (Arrival, Decision, bool) {
	a, _ := d.removeWaiting(f.Key)
	decision := d.withLoad(decide(a))
	decision.Wait = in.Now - a.waitingSince
	return a, decision, true
}

// startWaiting carries out the decisions about waiting flows whose turn has come.
func (r *Relayer) startWaiting(in Input) {
	for {
		r.mu.Lock()
		a, decision, ok := r.decider.NextWaiting(in)
		r.mu.Unlock()
		if !ok {
			return
		}
		if decision.Reason == ReasonOpened {
			r.WaitTimes.Record(decision.Wait)
		}
		r.execute(in, decision, a.Header, a.Packet, a.Datagram, a.Datagram[framer.HeaderSize:])
	}
}

// waitingInterval is the interval at which waiting flows are examined, in addition to each packet.
const waitingInterval = 10 * time.Millisecond

// watchWaiting examines the waiting flows at regular intervals while there are any, until ctx ends.
func (r *Relayer) watchWaiting(ctx context.Context) error {
	ticker := time.NewTicker(waitingInterval)
	defer ticker.Stop()
	for {
		ticker.Stop()
		select {
		case <-ctx.Done():
			return nil
		case <-r.waiting:
		}
		ticker.Reset(waitingInterval)
		for r.Waiting() > 0 {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			in, _ := r.input(r.view())
			r.mu.Lock()
			r.decider.ExpireActive(in)
			r.mu.Unlock()
			r.startWaiting(in)
		}
	}
}

// Waiting returns the number of new flows that wait for a slot of the target.
func (r *Relayer) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Waiting()
}
