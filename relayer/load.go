package relayer

import (
	"cherviltide.example/cherviltide"
)

// load is the load of the agent's target.
type load struct {
	// active is the number of active flows. A flow is active from its opening packet or a request until the target has
	// finished its answer, one side has reset the flow, or a timeout has passed. One of a route with uploads is active from
	// the end of a request.
	active int
	// activeBulky is the number of active flows that are bulky, working that of requests that the target has not begun to
	// answer.
	activeBulky, working int
	// transfers is the number of transfers in progress. They do not count as active.
	transfers int
	// sending is the number of bulky flows whose answers are under way. promptness tells whether they hold slots.
	sending    int
	promptness promptness
	// lastOrdinaryAt is when the last flow that is not bulky was opened; 0 when there was none.
	lastOrdinaryAt cherviltide.Millis
	// serviceTime is the smoothed time from a request to the first byte of its answer when no request waits for a slot.
	serviceTime smoothedTime
	// openingTime is the smoothed time from the delivery of an opening packet to the request.
	openingTime smoothedTime
	// transferTime is the smoothed time for which a request of an upload is under way. uploadTime is the service time of
	// uploads, from the end of the request.
	transferTime, uploadTime smoothedTime
}

// smoothedTimeWeight is the weight of a new sample in a smoothed time.
const smoothedTimeWeight = 1.0 / 16

// smoothedTime is a moving average, in milliseconds; its value is 0 before the first sample.
type smoothedTime struct {
	value float64
	count int
}

// add adds a sample. The first samples have equal weights, so that the very first one does not bias the average.
func (t *smoothedTime) add(duration cherviltide.Millis) {
	t.count++
	t.value += (float64(duration) - t.value) * max(smoothedTimeWeight, 1/float64(t.count))
}

// markActive adds a flow to the active flows.
func (d *Decider) markActive(f *flow) {
	if f.active {
		return
	}
	f.active = true
	d.load.active++
	if f.bulky {
		d.load.activeBulky++
	}
}

// markAnswered ends the work of the target on a request, and its transfer.
func (d *Decider) markAnswered(f *flow) {
	d.stopMoving(f.transfer)
	if f.working {
		f.working = false
		d.load.working--
	}
}

// markIdle removes a flow from the active flows.
func (d *Decider) markIdle(f *flow) {
	d.markAnswered(f)
	d.stopSending(f)
	d.releaseSlot(f)
}

func (d *Decider) releaseSlot(f *flow) {
	if !f.active {
		return
	}
	f.active = false
	d.load.active--
	if f.bulky {
		d.load.activeBulky--
	}
}

// ExpireActive removes the flows from the active ones that no longer load the target.
func (d *Decider) ExpireActive(in Input) {
	for _, f := range d.flows {
		d.expireActive(in, f)
	}
}

// expireActive removes a flow from the active ones when its caller sends no request, the target has finished its answer with
// a full-sized packet, or the deadline of its request has passed.
func (d *Decider) expireActive(in Input, f *flow) {
	if f.transfer != nil {
		d.expireTransfer(in, f)
	}
	if !f.active && !f.sending {
		return
	}
	if (!f.requestSeen && in.Now-f.openedAt > requestTimeout) || (f.answering && in.Now-f.lastPacketAt > fullPacketTimeout) ||
		d.isOverdue(in, f) {
		d.markIdle(f)
	}
}

// isOverdue reports whether the deadline of a flow's request has passed, and records a request without an answer.
func (d *Decider) isOverdue(in Input, f *flow) bool {
	if !f.requestSeen || f.deadline <= 0 || in.Now-f.lastRequestAt <= f.deadline {
		return false
	}
	if f.working && f.transfer == nil {
		d.pacing.pacer.Unanswered(in.Now)
		d.recordEnd(in, f)
	}
	return true
}
