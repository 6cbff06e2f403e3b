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

// member returns the agent with the given number.
func member(n int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("agent-%d", n), Role: cherviltide.RoleAgent, Incarnation: 1, Service: service,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000), Weight: cherviltide.NominalWeight,
		FailureDomain: []string{"z2", "z1"}[n%2],
	}
}

// tableOf returns a table of the first n agents, each of which joined by a separate event.
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

// ownedBy returns a flow whose owner in the table is the given agent.
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

// rules implements Rules with the same values for all routes.
type rules struct {
	accepts  bool
	revision uint64
	route    cherviltide.Route
}

func (r rules) AcceptsNewFlows(netip.AddrPort) bool    { return r.accepts }
func (r rules) RouteRevision(netip.AddrPort) uint64    { return r.revision }
func (r rules) Route(netip.AddrPort) cherviltide.Route { return r.route }

func inputAt(now cherviltide.Millis, self cherviltide.Member, table *picker.Table) Input {
	return Input{Now: now, Self: self, Table: table, Revision: 1, Rules: rules{accepts: true, revision: 1}}
}

func arrival(flow cherviltide.FlowKey, p cherviltide.Packet) Arrival {
	p.Source, p.Destination = flow.Caller, flow.Virtual
	return Arrival{Header: framer.Header{Flow: flow, Revision: 1, ServiceCount: 1}, Sender: netip.MustParseAddrPort("10.9.9.9:1"), Packet: p}
}

func syn(flow cherviltide.FlowKey, retransmission uint32) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: 100, Retransmission: retransmission})
}

func ack(flow cherviltide.FlowKey, acknowledgement uint32) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Sequence: 101, Acknowledgement: acknowledgement, Length: 10})
}

// targetPacket returns a packet of a flow from the target.
func targetPacket(flow cherviltide.FlowKey, p cherviltide.Packet) cherviltide.Packet {
	p.Source, p.Destination = flow.Virtual, flow.Caller
	return p
}

func synAck(flow cherviltide.FlowKey) cherviltide.Packet {
	return targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketOpen | cherviltide.PacketAck, Sequence: 500})
}

// newDecider returns a decider of the first agent whose target has two slots and no older flows.
func newDecider() *Decider {
	d := NewDecider(Limits{MaxFlowAge: 60_000, OldRulesGrace: 100, MaxPayload: 1_200}, 0)
	d.SetTarget(Target{Slots: 2, AcceptsNewFlows: true, LastResort: true}, false)
	return d
}

// withOpenFlow returns a decider of the first agent that holds an open flow, and the flow.
func withOpenFlow(t *testing.T, table *picker.Table) (*Decider, cherviltide.FlowKey) {
	d, flow := newDecider(), ownedBy(t, table, member(1))
	in := inputAt(10, member(1), table)
	require.Equal(t, ActionDeliver, d.FromPeer(in, syn(flow, 0)).Action)
	require.Equal(t, ActionAnswer, d.FromTarget(in, synAck(flow)).Action)
	require.Equal(t, ActionDeliver, d.FromPeer(in, ack(flow, 501)).Action)
	return d, flow
}

// TestOldestGeneration guards against the release of history that an open flow still needs.
func TestOldestGeneration(t *testing.T) {
	d, flow := withOpenFlow(t, tableOf(3))
	require.Equal(t, tableOf(3).Generation(), d.flows[flow].openingGeneration)
	require.Equal(t, tableOf(3).Generation(), d.OldestGeneration(20, 900))
	d.FromPeer(inputAt(30, member(1), tableOf(3)), arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
	in := inputAt(30+endedFlowRetention+1, member(1), tableOf(3))
	d.Expire(in)
	require.EqualValues(t, 900, d.OldestGeneration(in.Now, 900))
}

// BenchmarkHeld measures the decision about a packet of an open flow.
func BenchmarkHeld(b *testing.B) {
	table := tableOf(3)
	d, in := newDecider(), inputAt(10, member(1), table)
	var flow cherviltide.FlowKey
	for port := 1024; ; port++ {
		if m, _ := table.Pick(key(port)); m.Name == member(1).Name {
			flow = key(port)
			break
		}
	}
	d.FromPeer(in, syn(flow, 0))
	d.FromTarget(in, synAck(flow))
	later := ack(flow, 501)
	b.ReportAllocs()
	for b.Loop() {
		if d.FromPeer(in, later).Action != ActionDeliver {
			b.Fatal("the flow is not held")
		}
	}
}

// TestHeldAllocatesNothing guards against allocations on the packet path, which load the garbage collector.
func TestHeldAllocatesNothing(t *testing.T) {
	d, flow := withOpenFlow(t, tableOf(3))
	in, later := inputAt(20, member(1), tableOf(3)), ack(flow, 501)
	require.Zero(t, testing.AllocsPerRun(100, func() { d.FromPeer(in, later) }))
}
