package measurer

import (
	"fmt"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/holder"
	"cherviltide.example/cherviltide/picker"
)

// network maps each address to the agent that listens on it. Several clusters may share a network.
type network map[netip.AddrPort]*modelAgent

// cluster simulates one service: a membership log, agents that decide with holder.Decide, and entries. Each process has
// applied the log up to its own position. Datagrams are delivered without delay and without sockets.
type cluster struct {
	service cherviltide.Service
	// tables[n] is the table after n events; tables[0] is empty.
	tables  []*picker.Table
	agents  []*modelAgent
	network network
	// entryApplied is the number of events that each entry has applied.
	entryApplied []int
	// newPicker returns the picker that entries use for a table. If it is nil, entries use the table itself and agents use
	// holder.Decide.
	newPicker func(*picker.Table) cherviltide.Picker
	// pickers caches the results of newPicker.
	pickers map[*picker.Table]cherviltide.Picker
	// opensAtTableGeneration makes agents record each flow at the generation of their own table, to show what
	// Decision.OpeningGeneration prevents.
	opensAtTableGeneration bool
	// skipsChecks makes agents accept datagrams of other services and open flows of released generations, to show what
	// these checks prevent.
	skipsChecks bool
	// isBusy reports whether a new flow would wait too long at an agent.
	isBusy func(*modelAgent) bool
}

// modelAgent is one incarnation of an agent.
type modelAgent struct {
	member  cherviltide.Member
	cluster *cluster
	// applied is the number of events that the agent has applied.
	applied int
	// flows maps each held flow to the generation at which it was opened.
	flows map[cherviltide.FlowKey]uint64
	// remoteFlows do not expire in this model.
	remoteFlows map[cherviltide.FlowKey]holder.RemoteFlow
	// unresponsive has the addresses where no agent was running when the last datagram was forwarded to them.
	unresponsive map[netip.AddrPort]bool
	running      bool
	// released is the highest generation that the agent has announced in a Released event.
	released uint64
}

// table returns the table that the agent decides with.
func (a *modelAgent) table() *picker.Table {
	return a.cluster.tables[a.applied]
}

// delivery is the result of sending a datagram.
type delivery struct {
	// agent is nil when the datagram was lost.
	agent  *modelAgent
	opened bool
	// hops is the number of times that agents forwarded or returned the datagram.
	hops int
}

func newCluster(table *picker.Table, entries int, shared network) *cluster {
	return &cluster{
		service:      table.Service(),
		tables:       []*picker.Table{table},
		entryApplied: make([]int, entries),
		network:      shared,
		pickers:      map[*picker.Table]cherviltide.Picker{},
		isBusy:       func(*modelAgent) bool { return false },
	}
}

// appendEvent appends an event to the log. No process has applied it yet.
func (c *cluster) appendEvent(e cherviltide.MemberEvent) {
	e.Member.Service, e.Member.Role = c.service.Name, cherviltide.RoleAgent
	last := c.tables[len(c.tables)-1]
	c.tables = append(c.tables, last.WithEvent(uint64(len(c.tables)), e))
}

// join starts an agent that has applied the whole log.
func (c *cluster) join(m cherviltide.Member) *modelAgent {
	m.Service, m.Role = c.service.Name, cherviltide.RoleAgent
	c.appendEvent(cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: m})
	a := &modelAgent{member: m, cluster: c, applied: c.logLength(), flows: map[cherviltide.FlowKey]uint64{}, running: true}
	a.remoteFlows, a.unresponsive = map[cherviltide.FlowKey]holder.RemoteFlow{}, map[netip.AddrPort]bool{}
	c.agents = append(c.agents, a)
	c.network[m.Address] = a
	return a
}

// logLength returns the number of events in the log.
func (c *cluster) logLength() int {
	return len(c.tables) - 1
}

// catchUp lets every process apply the whole log.
func (c *cluster) catchUp() {
	for i := range c.entryApplied {
		c.entryApplied[i] = c.logLength()
	}
	for _, a := range c.agents {
		a.applied = c.logLength()
	}
}

// release appends a Released event: the agent holds no flow that was opened before its oldest one.
func (c *cluster) release(a *modelAgent) {
	oldest := a.table().Generation()
	for _, opened := range a.flows {
		oldest = min(oldest, opened)
	}
	a.released = max(a.released, oldest)
	c.appendEvent(cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: a.member, Generation: oldest})
}

// agentAt returns the running agent at an address. It may be another incarnation than the sender knows, or belong to
// another service.
func (n network) agentAt(address netip.AddrPort) *modelAgent {
	if a, ok := n[address]; ok && a.running {
		return a
	}
	return nil
}

// send sends a datagram of a caller through an entry. An opening datagram can open a flow.
func (c *cluster) send(entry int, key cherviltide.FlowKey, opening bool) delivery {
	table := c.tables[c.entryApplied[entry]]
	if c.newPicker != nil {
		return c.sendByPicker(table, key, opening)
	}
	m, ok := table.Pick(key)
	if !ok {
		return delivery{}
	}
	h := framer.Header{
		Type: framer.TypeForward, Service: c.service.ID, Generation: table.Generation(), Flow: key,
	}
	return c.deliver(h, c.network.agentAt(m.Address), opening)
}

// deliver follows a datagram from agent to agent until it is delivered or dropped.
func (c *cluster) deliver(h framer.Header, agent *modelAgent, opening bool) delivery {
	var sender netip.AddrPort
	for agent != nil && h.Hops < framer.MaxHops {
		if agent.cluster.service.ID != h.Service && !c.skipsChecks {
			break
		}
		decision := c.decide(h, agent, sender, opening)
		switch decision.Action {
		case holder.ActionDeliver, holder.ActionOpen:
			if decision.Action == holder.ActionOpen && !c.addFlow(agent, decision, h.Flow) {
				return delivery{hops: int(h.Hops)}
			}
			c.notifySender(decision, h, agent, sender)
			return delivery{agent: agent, opened: decision.Action == holder.ActionOpen, hops: int(h.Hops)}
		case holder.ActionForward:
			h.Generation = agent.table().Generation()
			agent.unresponsive[decision.To] = c.network.agentAt(decision.To) == nil
			sender, agent = agent.member.Address, c.network.agentAt(decision.To)
		case holder.ActionReturn:
			sender, agent = agent.member.Address, c.network.agentAt(sender)
		default:
			return delivery{hops: int(h.Hops)}
		}
		h.Flags, h.Position = decision.Flags, decision.Position
		h.Hops++
	}
	return delivery{hops: int(h.Hops)}
}

// decide returns the decision of an agent on a datagram and updates the agent's remote flows.
func (c *cluster) decide(h framer.Header, agent *modelAgent, sender netip.AddrPort, opening bool) holder.Decision {
	_, held := agent.flows[h.Flow]
	decision := holder.Decide(holder.DecisionInput{
		Self: agent.member, Table: agent.table(), Header: h, Sender: sender, Remote: agent.remoteFlows[h.Flow],
		Held: held, CanOpen: opening, Busy: c.isBusy(agent),
		Unresponsive: func(to netip.AddrPort) bool { return agent.unresponsive[to] },
	})
	if decision.ForgetRemote {
		delete(agent.remoteFlows, h.Flow)
	}
	if decision.Remote.State != holder.RemoteNone {
		agent.remoteFlows[h.Flow] = decision.Remote
	}
	return decision
}

// addFlow opens a flow at an agent, unless the agent is not a candidate or has released the flow's generation. Without this
// check, an agent that acts for the owner just after it announced a release could open a flow at a generation that the
// release drops from the history of later tables.
func (c *cluster) addFlow(agent *modelAgent, decision holder.Decision, key cherviltide.FlowKey) bool {
	opened := decision.OpeningGeneration
	if c.opensAtTableGeneration {
		opened = agent.table().Generation()
	} else if generation, ok := agent.table().OpeningGeneration(key, agent.member); !c.skipsChecks && (!ok || generation < agent.released) {
		return false
	}
	agent.flows[key] = opened
	return true
}

// notifySender notifies the sender of a probe that the agent holds the flow.
func (c *cluster) notifySender(decision holder.Decision, h framer.Header, agent *modelAgent, sender netip.AddrPort) {
	if to := c.network.agentAt(sender); decision.Notify && to != nil {
		h.Flags, h.Position = framer.FlagHolderNotice, 0
		c.decide(h, to, agent.member.Address, false)
	}
}

// sendByPicker delivers without a search: the agent that the picker selects holds the flow, opens it or drops the datagram.
func (c *cluster) sendByPicker(table *picker.Table, key cherviltide.FlowKey, opening bool) delivery {
	p, ok := c.pickers[table]
	if !ok {
		p = c.newPicker(table)
		c.pickers[table] = p
	}
	m, ok := p.Pick(key)
	if !ok {
		return delivery{}
	}
	agent := c.network.agentAt(m.Address)
	if agent == nil {
		return delivery{}
	}
	if _, held := agent.flows[key]; held {
		return delivery{agent: agent}
	}
	if !opening {
		return delivery{}
	}
	agent.flows[key] = table.Generation()
	return delivery{agent: agent, opened: true}
}

// modelMember returns a member with an address that depends on its number.
func modelMember(name int, incarnation uint64, weight uint32) cherviltide.Member {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(name)}), 7000)
	return cherviltide.Member{
		Name: fmt.Sprintf("agent-%02d", name), Incarnation: incarnation, Weight: weight, Address: address,
	}
}

// modelKey returns the key of a flow by its number.
func modelKey(n int) cherviltide.FlowKey {
	return cherviltide.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)}), 4000),
		Virtual: netip.MustParseAddrPort("10.9.9.9:443"),
	}
}
