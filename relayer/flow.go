package relayer

import (
	"cherviltide.example/cherviltide"
)

// flow is what the agent knows of a flow that its target holds or was offered.
type flow struct {
	// callerSequence is the sequence of the packet that opened the flow; it is not known for a flow that was learnt.
	callerSequence uint32
	learnt         bool
	// targetSequence is the sequence of the target's answer to that packet, once answered.
	targetSequence uint32
	answered       bool
	// open is true once the caller has acknowledged the target's answer.
	open bool
	// opened is the table generation that the flow counts as opened at.
	opened uint64
	// began is when the flow was opened, last when its last packet passed, ended when an end broke it off or both finished.
	began, last, ended cherviltide.Millis
	// requested is when the first payload of the caller passed while the target had a free slot; 0 when none did.
	requested cherviltide.Millis
	asked     bool
	// callerNext is the sequence after the caller's newest payload, so that a repeated packet is no further request.
	callerNext uint32
	// resting is true from the first packet of an answer until the next request.
	resting bool
	// busy is true while the flow counts as work of the target.
	busy                         bool
	callerFinished, targetFinish bool
}

// mismatch reports whether a caller's packet answers another target than this agent's. Only the first acknowledgement
// tells; the flow is open at the target that it names.
func (f *flow) mismatch(p cherviltide.Packet) bool {
	if f.open || !f.answered || !p.Has(cherviltide.PacketAck) {
		return false
	}
	return p.Acknowledgement-f.targetSequence-1 > maxWindow
}

// maxWindow is the largest number of bytes that a target has sent before the caller's first acknowledgement arrives.
const maxWindow = 76_800

// load counts the work of the agent's target.
type load struct {
	// active flows were delivered and neither finished by the target nor broken off.
	active int
	// work is the smoothed time from a request to the first byte of its answer when no request waits, in milliseconds.
	work float64
}

// workShare is the share of a new sample in the smoothed work.
const workShare = 1.0 / 16

func (l *load) sample(took cherviltide.Millis) {
	if l.work == 0 {
		l.work = float64(took)
		return
	}
	l.work += (float64(took) - l.work) * workShare
}
