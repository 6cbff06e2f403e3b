package relayer

import (
	"cherviltide.example/cherviltide"
)

const (
	// transfersPerSlot is the highest number of transfers in progress for each slot. Requests that are complete at the same
	// moment wait for each other, so the work of the transfers of a slot stays below transferWork.
	transfersPerSlot = 4
	// transferWork bounds the work of the transfers in progress for each slot, in milliseconds. It is less than one small
	// request of the service with the most uploads takes (26 ms), so that they delay a request by less than one other would.
	transferWork = 20
	// fullRequestTimeout is how long a caller sends nothing after a full packet when its request may be complete: longer than
	// it waits for the acknowledgement of its window, and than until its first retransmission.
	fullRequestTimeout cherviltide.Millis = 250
	// stallTimeout is how long a transfer counts without a packet. Callers retransmit 200 ms and 600 ms after a packet, so a
	// longer silence needs three losses in a row or a caller that has stopped sending.
	stallTimeout cherviltide.Millis = 650
)

// transfer is the state of the newest request of a flow of a route with uploads.
type transfer struct {
	arrived arrived
	// moving is true while the flow counts against the transfers in progress, since movingSince.
	moving      bool
	movingSince cherviltide.Millis
	// lastPayloadAt is when payload arrived last, or when the flow was opened.
	lastPayloadAt cherviltide.Millis
	// complete is true once the request has arrived. assumed is true when this follows only from a silence.
	complete, assumed bool
}

// openTransfer makes a new flow of a route with uploads count as a transfer in progress.
func (d *Decider) openTransfer(in Input, f *flow) {
	next := f.callerSequence + 1
	f.transfer = &transfer{arrived: arrived{next: next, newest: next}, lastPayloadAt: in.Now}
	d.startMoving(in, f.transfer)
}

func (d *Decider) startMoving(in Input, t *transfer) {
	if !t.moving {
		t.moving, t.movingSince = true, in.Now
		d.load.transfers++
	}
}

// stopMoving ends the transfer of a flow, which may have none.
func (d *Decider) stopMoving(t *transfer) {
	if t != nil && t.moving {
		t.moving = false
		d.load.transfers--
	}
}

// recordUpload updates a flow after a caller's packet with payload or the end of its data. The flow counts as a transfer
// until its request is complete, and against the slots from then on.
func (d *Decider) recordUpload(in Input, f *flow, p cherviltide.Packet) {
	t := f.transfer
	if isNew := t.arrived.add(p.Sequence, p.Length, d.limits.MaxPayload); t.complete && !isNew {
		return
	} else if isNew && (!f.requestSeen || f.answering) {
		f.lastRequestAt = in.Now
		f.requestSeen, f.answering = true, false
	}
	if t.complete {
		// The request was longer than its last packet had shown, or the next one has begun.
		d.markIdle(f)
		f.requestedAt, t.complete = 0, false
	}
	t.lastPayloadAt = in.Now
	if !f.answering {
		d.startMoving(in, t)
	}
	if !t.arrived.hasGap() && (t.arrived.short || p.Has(cherviltide.PacketFinish)) {
		d.completeRequest(in, f, in.Now)
	}
}

// completeRequest makes a flow whose request was complete at the given time count against the slots.
func (d *Decider) completeRequest(in Input, f *flow, at cherviltide.Millis) {
	t := f.transfer
	t.complete, t.assumed = true, at != in.Now
	if t.moving && !t.assumed {
		d.load.transferTime.add(in.Now - t.movingSince)
	}
	d.stopMoving(t)
	d.markActive(f)
	if d.load.working < d.target.Slots {
		f.requestedAt = at
	}
	// A request that may not be complete is no work that the target leaves without an answer.
	if !f.working && !t.assumed {
		f.working = true
		d.load.working++
	}
}

// expireTransfer ends the transfer of a flow whose request may be complete, whose caller has stalled, or whose deadline has
// passed. A request that was complete only by assumption gives its slot back after the time of a stall: if it had been
// complete, the target would usually have answered.
func (d *Decider) expireTransfer(in Input, f *flow) {
	t := f.transfer
	silence := in.Now - t.lastPayloadAt
	switch {
	case f.requestSeen && f.deadline > 0 && in.Now-f.lastRequestAt > f.deadline, t.moving && silence > stallTimeout:
		d.stopMoving(t)
	case t.moving && f.requestSeen && !t.arrived.hasGap() && silence > fullRequestTimeout:
		d.completeRequest(in, f, t.lastPayloadAt)
	case t.assumed && f.active && silence > stallTimeout:
		d.markIdle(f)
	}
}

// transferLimit returns how many transfers may be in progress.
func (d *Decider) transferLimit() int {
	perSlot := transfersPerSlot
	if work := d.load.uploadTime.value; work > 0 {
		perSlot = min(max(int(transferWork/work), 1), transfersPerSlot)
	}
	return d.target.Slots * perSlot
}

// hasTransferPlace reports whether another transfer may begin. Requests that run beyond the slots take places as well, so
// that complete requests do not pile up at the target.
func (d *Decider) hasTransferPlace() bool {
	return d.load.transfers+d.load.sending+max(d.load.active-d.target.Slots, 0) < d.transferLimit()
}

// removeWaiting removes a flow from the queue in which it waits, if any.
func (d *Decider) removeWaiting(key cherviltide.FlowKey) (Arrival, bool) {
	if a, ok := d.queue.Remove(key); ok {
		return a, true
	}
	return d.uploads.Remove(key)
}

// Transfers returns the number of transfers in progress.
func (d *Decider) Transfers() int { return d.load.transfers }
