package holder

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

// packet is a datagram in transit between agents.
type packet struct {
	from, to netip.AddrPort
	header   framer.Header
	canOpen  bool
}

// network carries the datagrams of one flow between agents whose tables differ. The delay differs between links.
type network struct {
	key       cherviltide.FlowKey
	tables    []*picker.Table
	now       cherviltide.Millis
	nodes     map[netip.AddrPort]*node
	packets   []packet
	opened    int
	lost      int
	delivered int
	// withoutRemoteFlows disables the records of remote flows.
	withoutRemoteFlows bool
}

type node struct {
	self cherviltide.Member
	// table is the index of the node's table in the tables of the network.
	table       int
	remoteFlows *remoteFlows
	held        bool
	busy        bool
}

func newNetwork(agents int, list []*picker.Table) *network {
	n := &network{tables: list, nodes: map[netip.AddrPort]*node{}}
	for i := 1; i <= agents; i++ {
		n.nodes[agent(i).Address] = &node{self: agent(i), remoteFlows: newRemoteFlows()}
	}
	return n
}

// deliver delivers the oldest datagram on the link of packet i and carries out the receiver's decision. Datagrams between
// two agents stay in order.
func (n *network) deliver(i int) {
	chosen := n.packets[i]
	i = slices.IndexFunc(n.packets, func(p packet) bool { return p.from == chosen.from && p.to == chosen.to })
	p := n.packets[i]
	n.packets = append(n.packets[:i], n.packets[i+1:]...)
	receiver := n.nodes[p.to]
	table := n.tables[receiver.table]
	in := DecisionInput{Self: receiver.self, Table: table, Header: p.header, Sender: p.from, Held: receiver.held, CanOpen: p.canOpen, Busy: receiver.busy}
	if !n.withoutRemoteFlows {
		in.Remote = receiver.remoteFlows.get(p.header.Flow, n.now)
	}
	decision := Decide(in)
	if decision.ForgetRemote {
		receiver.remoteFlows.remove(p.header.Flow)
	}
	if decision.Remote.State != RemoteNone {
		receiver.remoteFlows.set(p.header.Flow, decision.Remote, n.now)
	}
	next := p
	next.from = p.to
	next.header.Hops++
	next.header.Flags, next.header.Position = decision.Flags, decision.Position
	switch decision.Action {
	case ActionOpen:
		receiver.held = true
		n.opened++
		n.delivered++
	case ActionDeliver:
		n.delivered++
		if decision.Notify {
			next.to, next.header.Flags = p.from, framer.FlagHolderNotice
			n.packets = append(n.packets, next)
		}
	case ActionForward:
		if decision.Notify {
			notice := next
			notice.to, notice.header.Flags = p.from, framer.FlagHolderNotice
			n.packets = append(n.packets, notice)
		}
		next.to, next.header.Generation = decision.To, table.Generation()
		n.enqueue(next)
	case ActionReturn:
		next.to = p.from
		n.enqueue(next)
	case ActionDrop, ActionRefuse:
		n.lost++
	}
}

func (n *network) enqueue(p packet) {
	if p.header.Hops > framer.MaxHops {
		n.lost++
		return
	}
	n.packets = append(n.packets, p)
}

// send sends a datagram from an entry that has the table with the given index.
func (n *network) send(table int, canOpen bool) {
	to, ok := n.tables[table].Pick(n.key)
	if !ok {
		return
	}
	n.enqueue(packet{to: to.Address, canOpen: canOpen, header: framer.Header{Flow: n.key, Generation: n.tables[table].Generation()}})
}

// simulate delivers the first datagrams of a flow while entries and agents receive newer tables at different times.
func simulate(t *rapid.T, withoutRemoteFlows bool) *network {
	agents := rapid.IntRange(2, 5).Draw(t, "agents")
	leaving := rapid.SliceOfNDistinct(rapid.IntRange(1, agents), 0, agents-1, rapid.ID[int]).Draw(t, "leaving")
	n := newNetwork(agents, tables(agents, leaving...))
	n.withoutRemoteFlows = withoutRemoteFlows
	port := rapid.Uint16Min(1).Draw(t, "port")
	n.key = cherviltide.FlowKey{Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 9}), port), Virtual: netip.MustParseAddrPort("127.8.0.1:4")}
	newest := len(n.tables) - 1
	drawTable := func(label string) int { return rapid.IntRange(2, newest).Draw(t, label) }
	for i := 1; i <= agents; i++ {
		receiver := n.nodes[agent(i).Address]
		receiver.table, receiver.busy = drawTable("table"), rapid.Bool().Draw(t, "busy")
	}
	for range rapid.IntRange(1, 4).Draw(t, "datagrams") {
		n.send(drawTable("entry"), true)
	}
	for len(n.packets) > 0 {
		n.deliver(rapid.IntRange(0, len(n.packets)-1).Draw(t, "next"))
		receiver := n.nodes[agent(rapid.IntRange(1, agents).Draw(t, "receiver of a table")).Address]
		receiver.table = min(newest, receiver.table+rapid.IntRange(0, 1).Draw(t, "by"))
		receiver.busy = rapid.Bool().Draw(t, "busy now")
	}
	for _, receiver := range n.nodes {
		receiver.table = newest
	}
	return n
}

// agreementRuns is the number of runs of each agreement test.
const agreementRuns = 3000

// TestOneHolder guards against two agents that open the same flow because their tables differ, and against datagrams of an
// open flow that do not reach its holder.
func TestOneHolder(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *network { return simulate(t, false) })
	opened := 0
	for seed := range agreementRuns {
		n := draw.Example(seed)
		require.LessOrEqual(t, n.opened, 1, "seed %d", seed)
		opened += n.opened
		if n.opened == 0 {
			continue
		}
		lost := n.lost
		n.now += remoteFlowTTL
		n.send(len(n.tables)-1, false)
		for len(n.packets) > 0 {
			n.deliver(0)
		}
		require.Equal(t, lost, n.lost, "seed %d: a datagram of an open flow did not reach the holder", seed)
	}
	t.Logf("%d of %d runs opened the flow", opened, agreementRuns)
}

// TestOneHolderSeeds replays the schedules in which two agents once opened the same flow.
func TestOneHolderSeeds(t *testing.T) {
	seeds := map[string]int{
		"an owner accepted an offer although another agent was searching under the same table":    55388,
		"a probe of lower precedence replaced the record of a searching agent":                    60126,
		"a probe of lower precedence replaced the record of the owner's search":                   236719,
		"an agent with a pending offer answered a probe as if no agent could be opening the flow": 282468,
		"the same with an offer that arrived under a newer table":                                 293404,
		"a holder notice after an offer replaced the record of the owner's search":                612033,
	}
	draw := rapid.Custom(func(t *rapid.T) *network { return simulate(t, false) })
	for name, seed := range seeds {
		t.Run(name, func(t *testing.T) {
			require.LessOrEqual(t, draw.Example(seed).opened, 1)
		})
	}
}

// TestOneHolderNeedsRemoteFlows shows that the agreement test fails when agents keep no records of remote flows.
func TestOneHolderNeedsRemoteFlows(t *testing.T) {
	draw := rapid.Custom(func(t *rapid.T) *network { return simulate(t, true) })
	twice := 0
	for seed := range agreementRuns {
		if draw.Example(seed).opened > 1 {
			twice++
		}
	}
	t.Logf("%d of %d runs opened the flow twice", twice, agreementRuns)
	require.Positive(t, twice)
}
