package relayer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
)

const service = "desk"

// member returns the agent with a number.
func member(n int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("agent-%d", n), Role: cherviltide.RoleAgent, Incarnation: 1, Service: service,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Weight: cherviltide.NominalWeight,
	}
}

// tableOf returns a table of the first n agents, each joined by an event of its own.
func tableOf(n int) *picker.Table {
	t := picker.New(cherviltide.Service{Name: service, ID: cherviltide.ServiceIDOf(service), Buckets: 64})
	for i := 1; i <= n; i++ {
		t = t.WithEvent(uint64(i), cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: member(i)})
	}
	return t
}

func key(port int) cherviltide.FlowKey {
	return cherviltide.FlowKey{
		Caller:  netip.AddrPortFrom(netip.MustParseAddr("100.64.0.1"), uint16(port)),
		Virtual: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

// ownedBy returns a flow that the table gives to an agent.
func ownedBy(t *testing.T, table *picker.Table, owner cherviltide.Member) cherviltide.FlowKey {
	t.Helper()
	for port := 1024; port < 65000; port++ {
		if m, ok := table.Pick(key(port)); ok && m.Name == owner.Name {
			return key(port)
		}
	}
	t.Fatal("the agent owns no bucket")
	return cherviltide.FlowKey{}
}

// rules are the same for all routes.
type rules struct {
	allows  bool
	changed uint64
}

func (r rules) AcceptsNewFlows(netip.AddrPort) bool { return r.allows }
func (r rules) RouteRevision(netip.AddrPort) uint64 { return r.changed }

func contextAt(now cherviltide.Millis, self cherviltide.Member, table *picker.Table) Context {
	return Context{Now: now, Self: self, Table: table, Revision: 1, Rules: rules{allows: true, changed: 1}}
}

func arrival(flow cherviltide.FlowKey, p cherviltide.Packet) Arrival {
	p.Source, p.Destination = flow.Caller, flow.Virtual
	return Arrival{Header: framer.Header{Flow: flow, Revision: 1, ServiceCount: 1}, Sender: netip.MustParseAddrPort("10.9.9.9:1"), Packet: p}
}

func syn(flow cherviltide.FlowKey, copy uint32) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: 100, Copy: copy})
}

func ack(flow cherviltide.FlowKey, acknowledgement uint32) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Sequence: 101, Acknowledgement: acknowledgement, Length: 10})
}

// answer is a packet of the target.
func answer(flow cherviltide.FlowKey, p cherviltide.Packet) cherviltide.Packet {
	p.Source, p.Destination = flow.Virtual, flow.Caller
	return p
}

func synAck(flow cherviltide.FlowKey) cherviltide.Packet {
	return answer(flow, cherviltide.Packet{Flags: cherviltide.PacketOpen | cherviltide.PacketAck, Sequence: 500})
}

// newCore returns the first agent's decisions with a target that has two slots and no older flows.
func newCore() *Core {
	c := NewCore(Limits{MaxFlowAge: 60_000, OldRulesGrace: 100, MaxPayload: 1_200}, 0)
	c.SetTarget(Target{Slots: 2, AcceptsNewFlows: true, LastResort: true}, false)
	return c
}

// opened returns decisions of the first agent that hold an open flow.
func opened(t *testing.T, table *picker.Table) (*Core, cherviltide.FlowKey) {
	c, flow := newCore(), ownedBy(t, table, member(1))
	x := contextAt(10, member(1), table)
	require.Equal(t, ActionDeliver, c.FromPeer(x, syn(flow, 0)).Action)
	require.Equal(t, ActionAnswer, c.FromTarget(x, synAck(flow)).Action)
	require.Equal(t, ActionDeliver, c.FromPeer(x, ack(flow, 501)).Action)
	return c, flow
}

// TestOldest guards against a release of history that still holds flows.
func TestOldest(t *testing.T) {
	c, flow := opened(t, tableOf(3))
	require.Equal(t, tableOf(3).Generation(), c.flows[flow].opened)
	require.Equal(t, tableOf(3).Generation(), c.Oldest(20, 900))
	c.FromPeer(contextAt(30, member(1), tableOf(3)), arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
	x := contextAt(30+linger+1, member(1), tableOf(3))
	c.Expire(x)
	require.EqualValues(t, 900, c.Oldest(x.Now, 900))
}

// BenchmarkHeld measures the decision about a packet of an open flow.
func BenchmarkHeld(b *testing.B) {
	table := tableOf(3)
	c, x := newCore(), contextAt(10, member(1), table)
	var flow cherviltide.FlowKey
	for port := 1024; ; port++ {
		if m, _ := table.Pick(key(port)); m.Name == member(1).Name {
			flow = key(port)
			break
		}
	}
	c.FromPeer(x, syn(flow, 0))
	c.FromTarget(x, synAck(flow))
	later := ack(flow, 501)
	b.ReportAllocs()
	for b.Loop() {
		if c.FromPeer(x, later).Action != ActionDeliver {
			b.Fatal("the flow is not held")
		}
	}
}

// TestHeldAllocatesNothing guards against a packet path that makes work for the collector.
func TestHeldAllocatesNothing(t *testing.T) {
	c, flow := opened(t, tableOf(3))
	x, later := contextAt(20, member(1), tableOf(3)), ack(flow, 501)
	require.Zero(t, testing.AllocsPerRun(100, func() { c.FromPeer(x, later) }))
}
