package replayer

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/relayer"
)

// GreyMode is what a grey target does wrong, while it goes on sending heartbeats.
type GreyMode string

// The modes.
const (
	GreyReset GreyMode = "reset" // It resets flows when their request arrives.
	GreyHang  GreyMode = "hang"  // It opens flows and never answers requests.
	GreyMute  GreyMode = "mute"  // It answers no packet.
	GreySlow  GreyMode = "slow"  // It works greySlowness times longer.
)

const greySlowness = 8

// Grey makes the first Count targets grey.
type Grey struct {
	Mode   GreyMode
	Count  int
	During Interval
}

const (
	// heartbeatInterval is the time between two heartbeats of a target.
	heartbeatInterval cherviltide.Millis = 500
	// tableDelay is the time from a change of an agent's announcement to the table that shows it.
	tableDelay cherviltide.Millis = 300
)

// isGrey reports whether the target is grey now, with the given mode.
func (t *target) isGrey(mode GreyMode) bool {
	g := t.replay.pattern.Grey
	return g.Mode == mode && t.index < g.Count && g.During.contains(t.replay.now)
}

// receiveGrey handles a complete request at a target that may be grey, and reports whether it is.
func (t *target) receiveGrey(a *attempt) bool {
	r := t.replay
	switch {
	case t.isGrey(GreyReset):
		delete(t.flows, a)
		t.send(a, cherviltide.Packet{Flags: cherviltide.PacketReset})
		r.after(callerDelay, func() { r.loseFlow(a) })
	case t.isGrey(GreyHang), t.isGrey(GreyMute):
		q := a.request
		r.after(max(q.startedAt+q.kind.Route.Deadline-r.now, 0), func() {
			if a.request == q && !q.done {
				r.giveUp(a)
			}
		})
	default:
		return false
	}
	return true
}

// loseFlow ends a flow that was reset after its request. Callers send only requests again that may run twice.
func (r *replay) loseFlow(a *attempt) {
	if a.ended || a.request.done {
		return
	}
	if !a.request.kind.Route.AtMostOnce {
		a.ranAt = nil
		r.endAttempt(a, true)
		return
	}
	a.ended = true
	r.finish(a.request, func(result *Result) { result.Failed++ })
}

// tickGrey moves the agent's announcement and the heartbeats on.
func (t *target) tickGrey() {
	r := t.replay
	if r.now%heartbeatInterval < tickInterval && r.pattern.Grey.Count > 0 {
		t.decider.SetTarget(relayer.Target{Slots: r.pattern.Slots, AcceptsNewFlows: true, LastResort: true}, false)
	}
	_, _, paused := t.decider.Quarantine()
	if paused == t.paused {
		return
	}
	t.paused = paused
	kind := cherviltide.EventCleared
	if paused {
		kind = cherviltide.EventSuspected
		r.report.Paused++
	}
	r.after(tableDelay, func() { r.addEvent(kind, t.index) })
}
