package measurer

import "cherviltide.example/cherviltide"

// The placement cases. Each changes a cluster with open flows; processes apply the change at random times.
var (
	placementAdd   = placementCase(func(p *placement) { p.addTarget() })
	placementDrain = placementCase(func(p *placement) {
		p.appendMemberEvent(cherviltide.EventLeaving, p.agents[1])
	})
	placementCrash = placementCase(func(p *placement) { p.crash(p.agents[1]) })
	// The second target crashes just after the entries have applied the death of the first.
	placementDoubleCrash = placementCase(func(p *placement) {
		p.crash(p.agents[1])
		p.propagate()
		p.crash(p.agents[2])
	})
	placementEntryLoss      = placementCase(func(p *placement) { p.deadEntries++ })
	placementLaggingEntries = placementCase(func(p *placement) {
		p.laggingEntries = true
		p.addTarget()
		p.appendMemberEvent(cherviltide.EventLeaving, p.agents[1])
		p.propagate()
		p.addTarget()
	})
)

// addTarget starts a target of medium speed.
func (p *placement) addTarget() {
	p.join(modelMember(len(p.agents), 1, p.agents[len(p.agents)/2].member.Weight))
}

// appendMemberEvent appends an event of an agent to the log.
func (p *placement) appendMemberEvent(e cherviltide.EventType, a *modelAgent) {
	p.appendEvent(cherviltide.MemberEvent{Type: e, Member: a.member})
}

// crash stops an agent and breaks its flows. Control first suspects it and then declares it dead.
func (p *placement) crash(a *modelAgent) {
	a.running = false
	p.appendMemberEvent(cherviltide.EventSuspected, a)
	p.appendMemberEvent(cherviltide.EventDied, a)
}
