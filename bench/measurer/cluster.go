package measurer

import (
	"fmt"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/holder"
	"cherviltide.example/cherviltide/picker"
)

// network has the agent that listens on each address. Clusters may share it.
type network map[netip.AddrPort]*modelAgent

// cluster is a model of one service: a membership log, agents that decide with holder.Decide, and entries. Each process
// has applied the log up to a position of its own. A datagram travels without delay; there are no sockets.
type cluster struct {
	service cherviltide.Service
	// tables has the table after each number of events; tables[0] is empty.
	tables  []*picker.Table
	agents  []*modelAgent
	network network
	// entries has the number of events that each entry has applied.
	entries []int
	// place returns the picker of the entries for a table; nil means the table itself with holder.Decide at the agents.
	place func(*picker.Table) cherviltide.Picker
	// pickers caches the results of place.
	pickers map[*picker.Table]cherviltide.Picker
	// careless agents record every flow at the generation of their own table; it shows what Decision.Opened prevents.
	careless bool
	// unchecked agents take datagrams of other services; it shows what the check prevents.
	unchecked bool
	// busy reports whether a new flow would wait too long at an agent.
	busy func(*modelAgent) bool
}

// modelAgent is one incarnation of an agent.
type modelAgent struct {
	member cherviltide.Member
	home   *cluster
	// at is the number of events that the agent has applied.
	at int
	// flows has the generation at which each held flow was opened.
	flows map[cherviltide.FlowKey]uint64
	// notes do not expire.
	notes map[cherviltide.FlowKey]holder.RemoteFlow
	// silent has the addresses that did not answer the last datagram.
	silent map[netip.AddrPort]bool
	up     bool
	// declared is the highest generation that the agent has declared in a Released event.
	declared uint64
}

// table returns the table that the agent decides with.
func (a *modelAgent) table() *picker.Table {
	return a.home.tables[a.at]
}

// delivery is what became of a datagram.
type delivery struct {
	// agent is nil when the datagram was lost.
	agent  *modelAgent
	opened bool
	// hops counts the datagrams between agents.
	hops int
}

func newCluster(table *picker.Table, entries int, shared network) *cluster {
	return &cluster{
		service: table.Service(),
		tables:  []*picker.Table{table},
		entries: make([]int, entries),
		network: shared,
		pickers: map[*picker.Table]cherviltide.Picker{},
		busy:    func(*modelAgent) bool { return false },
	}
}

// record appends an event to the log. No process knows it yet.
func (c *cluster) record(e cherviltide.MemberEvent) {
	e.Member.Service, e.Member.Role = c.service.Name, cherviltide.RoleAgent
	last := c.tables[len(c.tables)-1]
	c.tables = append(c.tables, last.WithEvent(uint64(len(c.tables)), e))
}

// join starts an agent that knows the whole log.
func (c *cluster) join(m cherviltide.Member) *modelAgent {
	m.Service, m.Role = c.service.Name, cherviltide.RoleAgent
	c.record(cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: m})
	a := &modelAgent{member: m, home: c, at: c.last(), flows: map[cherviltide.FlowKey]uint64{}, up: true}
	a.notes, a.silent = map[cherviltide.FlowKey]holder.RemoteFlow{}, map[netip.AddrPort]bool{}
	c.agents = append(c.agents, a)
	c.network[m.Address] = a
	return a
}

// last returns the number of events in the log.
func (c *cluster) last() int {
	return len(c.tables) - 1
}

// catchUp lets every process apply the whole log.
func (c *cluster) catchUp() {
	for i := range c.entries {
		c.entries[i] = c.last()
	}
	for _, a := range c.agents {
		a.at = c.last()
	}
}

// release records that an agent holds no flow that it opened before the oldest one it has.
func (c *cluster) release(a *modelAgent) {
	oldest := a.table().Generation()
	for _, opened := range a.flows {
		oldest = min(oldest, opened)
	}
	a.declared = max(a.declared, oldest)
	c.record(cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: a.member, Generation: oldest})
}

// find returns the running agent at an address. It may be another incarnation than the sender knows, or serve another
// service.
func (n network) find(address netip.AddrPort) *modelAgent {
	if a, ok := n[address]; ok && a.up {
		return a
	}
	return nil
}

// send takes a datagram of a caller at an entry. An opening datagram can open a flow.
func (c *cluster) send(entry int, key cherviltide.FlowKey, opening bool) delivery {
	table := c.tables[c.entries[entry]]
	if c.place != nil {
		return c.sendByPicker(table, key, opening)
	}
	m, ok := table.Pick(key)
	if !ok {
		return delivery{}
	}
	h := framer.Header{
		Type: framer.TypeForward, Service: c.service.ID, Generation: table.Generation(), Flow: key,
	}
	return c.travel(h, c.network.find(m.Address), opening)
}

// travel follows a datagram from agent to agent.
func (c *cluster) travel(h framer.Header, at *modelAgent, opening bool) delivery {
	var sender netip.AddrPort
	for at != nil && h.Hops < framer.MaxHops {
		if at.home.service.ID != h.Service && !c.unchecked {
			break
		}
		step := c.decide(h, at, sender, opening)
		switch step.Action {
		case holder.ActionDeliver, holder.ActionOpen:
			if step.Action == holder.ActionOpen && !c.open(at, step, h.Flow) {
				return delivery{hops: int(h.Hops)}
			}
			c.notify(step, h, at, sender)
			return delivery{agent: at, opened: step.Action == holder.ActionOpen, hops: int(h.Hops)}
		case holder.ActionForward:
			h.Generation = at.table().Generation()
			at.silent[step.To] = c.network.find(step.To) == nil
			sender, at = at.member.Address, c.network.find(step.To)
		case holder.ActionReturn:
			sender, at = at.member.Address, c.network.find(sender)
		default:
			return delivery{hops: int(h.Hops)}
		}
		h.Flags, h.Position = step.Flags, step.Position
		h.Hops++
	}
	return delivery{hops: int(h.Hops)}
}

// decide asks an agent and keeps its note.
func (c *cluster) decide(h framer.Header, at *modelAgent, sender netip.AddrPort, opening bool) holder.Decision {
	_, held := at.flows[h.Flow]
	step := holder.Decide(holder.DecisionInput{
		Self: at.member, Table: at.table(), Header: h, Sender: sender, Remote: at.notes[h.Flow],
		Held: held, CanOpen: opening, Busy: c.busy(at),
		Unresponsive: func(to netip.AddrPort) bool { return at.silent[to] },
	})
	if step.ForgetRemote {
		delete(at.notes, h.Flow)
	}
	if step.Remote.Kind != holder.RemoteNone {
		at.notes[h.Flow] = step.Remote
	}
	return step
}

// open opens a flow, unless the agent has declared that it holds none of that generation. holder.Holder does not check
// this yet: an agent that stands in for an owner just after it announced a release can open a flow that the release makes
// later tables forget.
func (c *cluster) open(at *modelAgent, step holder.Decision, key cherviltide.FlowKey) bool {
	opened := step.Opened
	if c.careless {
		opened = at.table().Generation()
	} else if place, ok := at.table().OpeningGeneration(key, at.member); !c.unchecked && (!ok || place < at.declared) {
		return false
	}
	at.flows[key] = opened
	return true
}

// notify tells the sender of a probe that the agent holds the flow.
func (c *cluster) notify(step holder.Decision, h framer.Header, at *modelAgent, sender netip.AddrPort) {
	if to := c.network.find(sender); step.Notify && to != nil {
		h.Flags, h.Position = framer.FlagHolderNotice, 0
		c.decide(h, to, at.member.Address, false)
	}
}

// sendByPicker delivers without a search: the agent that the picker names holds the flow, opens it or drops the datagram.
func (c *cluster) sendByPicker(table *picker.Table, key cherviltide.FlowKey, opening bool) delivery {
	p, ok := c.pickers[table]
	if !ok {
		p = c.place(table)
		c.pickers[table] = p
	}
	m, ok := p.Pick(key)
	if !ok {
		return delivery{}
	}
	at := c.network.find(m.Address)
	if at == nil {
		return delivery{}
	}
	if _, held := at.flows[key]; held {
		return delivery{agent: at}
	}
	if !opening {
		return delivery{}
	}
	at.flows[key] = table.Generation()
	return delivery{agent: at, opened: true}
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
