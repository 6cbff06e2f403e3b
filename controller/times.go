package controller

import (
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/prober"
)

// phase is a part of the way of an edit, or of the control goroutine's work.
type phase string

// The phases of an edit at the instance that accepts it, and the work of the control goroutine.
const (
	phaseParse     phase = "Edits.ParseMs"           // Reads the rules of the text.
	phaseConfirm   phase = "Configuration.ConfirmMs" // Waits until a majority confirms that this instance leads, also for a read.
	phaseEncode    phase = "Edits.EncodeMs"          // Computes the log entry.
	phaseReplicate phase = "Edits.ReplicateMs"       // Waits until a majority has stored the entry and this instance has applied it.
	phaseForward   phase = "Edits.ForwardMs"         // Waits for the leader's answer.
	phaseApply     phase = "Edits.ApplyMs"           // Applies committed entries in the control goroutine and publishes the result.
	phaseLoop      phase = "Loop.HeldMs"             // Runs one call, write result or tick in the control goroutine.
)

// minLoopTime is the shortest time of the control goroutine that is recorded. Nearly all of its work takes less.
const minLoopTime = time.Millisecond

// phaseTimes has the durations of each phase since the start. It is safe for concurrent use.
type phaseTimes map[phase]*prober.Histogram

func newPhaseTimes() phaseTimes {
	times := phaseTimes{}
	for _, p := range []phase{phaseParse, phaseConfirm, phaseEncode, phaseReplicate, phaseForward, phaseApply, phaseLoop} {
		times[p] = prober.NewHistogram()
	}
	return times
}

// since records the time from the start of a phase until now.
func (t phaseTimes) since(started time.Time, p phase) {
	t[p].Record(cherviltide.MillisOf(time.Since(started)))
}

// registerMetrics registers the times with a prober.
func (t phaseTimes) registerMetrics(p *prober.Prober) {
	for name, histogram := range t {
		p.Metric(string(name), histogram.Value)
	}
}
