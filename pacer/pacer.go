// Package pacer decides how fast a target that is cold, or that recovers, gets new flows. It serves two load patterns: a
// target that restarts under traffic, and a whole failure domain that comes back at once.
//
// A hard bound limits the opening packets that reach a cold target in any second. Within it, the adaptive pace limits the
// concurrent requests, from few to the target's slots, as the target's answers allow.
package pacer

import (
	"cherviltide.example/cherviltide"
)

// State is what a target reports, at the time of the report.
type State struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// WarmUpLeft is the remaining warm-up.
	WarmUpLeft cherviltide.Millis
	// Age is the time since the start of the target; only valid if HasAge is true.
	Age    cherviltide.Millis
	HasAge bool
	// Available is true while the target takes new flows.
	Available bool
	// Started is true in the first report after a start of the target, as far as the agent has seen the start.
	Started bool
	// Unserved is true when no other agent can have delivered a flow to the target since its start.
	Unserved bool
}

// Pacer has the pace of one target. It reads no clock and is not safe for concurrent use.
type Pacer struct {
	bound  Bound
	warmUp cherviltide.WarmUp
	state  State
	// targetStartedAt is when the target started; only valid if state.HasAge is true. reportedUntil is when the remaining
	// warm-up of the last report is over.
	targetStartedAt, reportedUntil cherviltide.Millis
	// coldUntil is when the target stops being cold.
	coldUntil cherviltide.Millis
	// startPending is true from a start that was seen at startSeenAt until the pace has begun for it.
	startPending bool
	startSeenAt  cherviltide.Millis
	// coldSeen is true once the pace has begun for the present warm-up; lost is true when a target that took new flows no
	// longer takes any.
	coldSeen, lost bool
	window         window
	pace           pace
	changes        []Change
}

// New returns the pacer of an agent that starts now, with a hard bound.
func New(bound Bound, now cherviltide.Millis) *Pacer {
	return &Pacer{bound: bound, window: window{unknownUntil: now, limit: unlimited}}
}

// SetService sets the warm-up of the service's rules and the mean service time that the weights of the target's peers let
// expect, in milliseconds; 0 when it is not known.
func (p *Pacer) SetService(now cherviltide.Millis, warmUp cherviltide.WarmUp, peerTime float64) {
	p.pace.peerTime = peerTime
	if warmUp == p.warmUp {
		return
	}
	p.warmUp = warmUp
	p.window.setLimit(p.bound.limit(warmUp))
	p.pace.duration = warmUp.Duration
	if warmUp.Duration == 0 {
		p.pace.active, p.coldSeen = false, false
	}
	p.update(now)
}

// SetTarget records a report of the target. Reports may be repeated.
func (p *Pacer) SetTarget(now cherviltide.Millis, s State) {
	p.lost = !s.Started && (p.lost || p.state.Available && !s.Available)
	p.state = s
	p.targetStartedAt, p.reportedUntil = now-s.Age, now+s.WarmUpLeft
	p.pace.slots = s.Slots
	p.window.complete = p.window.complete || s.Unserved
	if s.Started {
		// Nothing can have reached this target before the agent's own start.
		p.window.complete = p.window.complete || s.HasAge && p.targetStartedAt > p.window.unknownUntil
		p.startPending, p.startSeenAt, p.coldSeen = true, now, false
	}
	p.update(now)
}

// Restart begins the pace anew, with its time limit, for a target that has had no traffic because of an evacuation.
func (p *Pacer) Restart(now cherviltide.Millis) { p.begin(now, 1, CauseRestored) }

// update computes until when the target is cold, and begins the pace for a target that has started or that is back.
func (p *Pacer) update(now cherviltide.Millis) {
	p.coldUntil = p.reportedUntil
	if d := p.warmUp.Duration; d > 0 && p.state.HasAge {
		// The start bounds a report that claims a warm-up for ever, and tells one that the report hides.
		p.coldUntil = p.targetStartedAt + d
	}
	if !p.state.Available {
		return
	}
	if p.warmUp.Duration == 0 {
		p.lost = false
		return
	}
	cold := p.IsCold(now)
	recent := p.startPending && !p.state.HasAge && now < p.startSeenAt+p.warmUp.Duration
	switch {
	case recent || cold && !p.coldSeen:
		p.begin(now, 1, CauseStarted)
	case p.lost:
		p.begin(now, 1, CauseRecovered)
	}
	p.startPending, p.coldSeen, p.lost = false, cold, false
}

// IsCold reports whether the target is cold.
func (p *Pacer) IsCold(now cherviltide.Millis) bool { return now < p.coldUntil }

// Allow reports whether the hard bound allows the delivery of an opening packet.
func (p *Pacer) Allow(now cherviltide.Millis) bool { return p.WaitBehind(now, 0) == 0 }

// Record records the delivery of an opening packet.
func (p *Pacer) Record(now cherviltide.Millis) {
	if p.bound.Enabled {
		p.window.add(now)
	}
}

// Wait returns the time until the hard bound allows an opening packet, as far as is known; 0 when it allows one now.
func (p *Pacer) Wait(now cherviltide.Millis) cherviltide.Millis { return p.WaitBehind(now, 0) }

// WaitBehind returns the time until the hard bound allows an opening packet when a number of others go first.
func (p *Pacer) WaitBehind(now cherviltide.Millis, ahead int) cherviltide.Millis {
	if p.window.limit == unlimited || !p.IsCold(now) {
		return 0
	}
	if p.window.limit == 0 {
		return p.coldUntil - now
	}
	return min(p.window.wait(now, ahead), p.coldUntil-now)
}

// Limit returns the number of requests that the target may have at once.
func (p *Pacer) Limit(now cherviltide.Millis) int {
	if !p.pace.active {
		return p.state.Slots
	}
	limit := p.pace.present(now)
	p.finish(now)
	return limit
}

// Observe records a service time of the target.
func (p *Pacer) Observe(now, serviceTime cherviltide.Millis) {
	if p.warmUp.Duration == 0 {
		return
	}
	if p.pace.observe(now, float64(serviceTime)) {
		p.begin(now, max(p.state.Slots/2, 1), CauseSlow)
	}
	p.finish(now)
}

// Unanswered records that the target has left a request or an opening packet without an answer.
func (p *Pacer) Unanswered(now cherviltide.Millis) {
	if p.warmUp.Duration == 0 {
		return
	}
	p.begin(now, max(p.Limit(now)/2, 1), CauseUnanswered)
}

// ExpectedTime returns the mean service time that is expected of a target with a pace before it has answered; 0 when it is not
// known or the target has no pace.
func (p *Pacer) ExpectedTime() float64 {
	if !p.pace.active {
		return 0
	}
	return p.pace.expected()
}

// begin limits the target to a number of concurrent requests. A pace that is in progress keeps its time limit,
// so that repeated causes do not hold the target back for ever; a start or an operator's order begins it again.
func (p *Pacer) begin(now cherviltide.Millis, limit int, cause Cause) {
	if p.warmUp.Duration == 0 || p.state.Slots < 2 {
		return
	}
	restart := cause == CauseStarted || cause == CauseRestored || !p.pace.active
	p.pace.begin(now, limit, restart)
	if restart {
		p.addChange(Change{At: now, Cause: cause, Limit: limit, Slots: p.state.Slots, Left: max(p.coldUntil-now, 0)})
	}
}

// finish ends the pace once the target may have all its slots.
func (p *Pacer) finish(now cherviltide.Millis) {
	if !p.pace.active || p.pace.present(now) < p.state.Slots {
		return
	}
	p.pace.end()
	p.addChange(Change{At: now, Full: true, Limit: p.state.Slots, Slots: p.state.Slots, Took: now - p.pace.since})
}
