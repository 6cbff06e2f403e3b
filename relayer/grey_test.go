package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/quarantiner"
)

// failRequests opens six flows with a request within half a second, which then fail in one way.
func failRequests(d *Decider, in *Input, fail func(flow cherviltide.FlowKey)) {
	for port := 3000; port < 3006; port++ {
		a := syn(key(port), 0)
		a.Header.Hops = 1
		d.FromPeer(*in, a)
		in.Now += 110
		d.FromTarget(*in, synAck(key(port)))
		d.FromPeer(*in, ack(key(port), 501))
		fail(key(port))
	}
	d.Expire(*in)
}

// TestQuarantineBesideEvacuation guards against more targets out of service than the share of those that bear the load while a
// failure domain is evacuated.
func TestQuarantineBesideEvacuation(t *testing.T) {
	table := tableOf(9).WithEvent(20, cherviltide.MemberEvent{Type: cherviltide.EventSuspected, Member: member(2)})
	for evacuated, want := range map[string]quarantiner.Peers{
		"":                      {Members: 9, Out: false, OutBefore: 1},
		member(2).FailureDomain: {Members: 6},
		member(4).FailureDomain: {},
	} {
		d, in := newDecider(), inputAt(10, member(4), table)
		in.Table = table.WithEvent(21, cherviltide.MemberEvent{Type: cherviltide.EventEvacuated, Member: cherviltide.Member{FailureDomain: evacuated}})
		got := d.peersOf(in)
		got.ServiceTime = 0
		require.Equal(t, want, got, evacuated)
	}
}

// TestGreyTarget guards against evidence that does not reach the decision, and against new flows for a target that is out.
func TestGreyTarget(t *testing.T) {
	for name, test := range map[string]struct {
		fail func(d *Decider, in *Input, flow cherviltide.FlowKey)
		grey bool
	}{
		"resets after the request": {func(d *Decider, in *Input, flow cherviltide.FlowKey) {
			d.FromTarget(*in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		}, true},
		"ends without an answer": {func(d *Decider, in *Input, flow cherviltide.FlowKey) {
			d.FromTarget(*in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketFinish | cherviltide.PacketAck}))
		}, true},
		"no answer before the caller gives up": {func(d *Decider, in *Input, flow cherviltide.FlowKey) {
			in.Now += abandonTime
			d.FromPeer(*in, arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		}, true},
		"callers go away at once": {func(d *Decider, in *Input, flow cherviltide.FlowKey) {
			d.FromPeer(*in, arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		}, false},
		"ends after the answer": {func(d *Decider, in *Input, flow cherviltide.FlowKey) {
			answer(d, *in, flow)
			d.FromTarget(*in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, in := newDecider(), inputAt(10, member(1), tableOf(3))
			d.limits.QuarantineShare = 0.2
			d.Expire(in)
			failRequests(d, &in, func(flow cherviltide.FlowKey) { test.fail(d, &in, flow) })
			_, _, paused := d.Quarantine()
			require.Equal(t, test.grey, paused)
			if !test.grey {
				return
			}
			in.Table = in.Table.WithEvent(9, cherviltide.MemberEvent{Type: cherviltide.EventSuspected, Member: member(1)})
			d.Expire(in)
			require.True(t, d.quarantine.IsOut())
			a := syn(key(4000), 0)
			a.Header.Hops = 1
			require.Equal(t, ReasonOffered, d.FromPeer(in, a).Reason)
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, maxOffers
			require.Equal(t, ReasonUnavailable, d.FromPeer(in, a).Reason, "the grey target got a flow that no other takes")
		})
	}
}
