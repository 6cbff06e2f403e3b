package measurer

import "cherviltide.example/cherviltide"

// The placement cases. Each changes a cluster with open flows; processes learn of the change at random times.
var (
	placementAdd   = placementCase(func(p *placement) { p.add() })
	placementDrain = placementCase(func(p *placement) {
		p.event(cherviltide.EventLeaving, p.agents[1])
	})
	placementCrash = placementCase(func(p *placement) { p.crash(p.agents[1]) })
	// The second target dies when the entries have just learned of the death of the first.
	placementDoubleCrash = placementCase(func(p *placement) {
		p.crash(p.agents[1])
		p.spread()
		p.crash(p.agents[2])
	})
	placementEntryLoss      = placementCase(func(p *placement) { p.lost++ })
	placementLaggingEntries = placementCase(func(p *placement) {
		p.entriesLag = true
		p.add()
		p.event(cherviltide.EventLeaving, p.agents[1])
		p.spread()
		p.add()
	})
)

// add starts a target of middle speed.
func (p *placement) add() {
	p.join(modelMember(len(p.agents), 1, p.agents[len(p.agents)/2].member.Weight))
}

// event records an event of an agent.
func (p *placement) event(e cherviltide.EventType, a *modelAgent) {
	p.record(cherviltide.MemberEvent{Type: e, Member: a.member})
}

// crash ends an agent with its flows. Control suspects it first and then counts it as dead.
func (p *placement) crash(a *modelAgent) {
	a.up = false
	p.event(cherviltide.EventSuspected, a)
	p.event(cherviltide.EventDied, a)
}
