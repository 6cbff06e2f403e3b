package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestOpeningPackets guards against new flows that reach a target that cannot or must not take them, and against new flows
// that fail although another target is free.
func TestOpeningPackets(t *testing.T) {
	table := tableOf(3)
	flow := ownedBy(t, table, member(1))
	secondary, _ := table.Secondary(flow)
	cases := map[string]struct {
		prepare     func(d *Decider, in *Input, a *Arrival)
		action      Action
		reason      Reason
		flags       framer.Flags
		cannotServe bool
	}{
		"free target":            {func(*Decider, *Input, *Arrival) {}, ActionDeliver, ReasonOpened, 0, false},
		"all slots taken":        {func(d *Decider, _ *Input, _ *Arrival) { d.load.active = 2 }, ActionForward, ReasonOffered, framer.FlagOffered, false},
		"leaving target":         {func(d *Decider, _ *Input, _ *Arrival) { d.target.AcceptsNewFlows = false }, ActionForward, ReasonOffered, framer.FlagOffered, true},
		"unresponsive target":    {func(d *Decider, in *Input, _ *Arrival) { d.unansweredSince = 1; in.Now = 1_000 }, ActionForward, ReasonOffered, framer.FlagOffered, true},
		"target returned a flow": {func(d *Decider, in *Input, _ *Arrival) { d.targetFullUntil = in.Now + 1 }, ActionForward, ReasonOffered, framer.FlagOffered, true},
		"route not in rules":     {func(_ *Decider, in *Input, _ *Arrival) { in.Rules = rules{} }, ActionDrop, ReasonNoRoute, 0, false},
		"newer rules at entry": {func(_ *Decider, in *Input, a *Arrival) {
			in.Rules = rules{}
			a.Header.Revision = 2
		}, ActionDeliver, ReasonOpened, 0, false},
		"older rules, within the grace period": {func(d *Decider, in *Input, _ *Arrival) { d.routeRevision, d.routeRevisionAt = 2, in.Now-100 }, ActionDeliver, ReasonOpened, 0, false},
		"older rules, after the grace period":  {func(d *Decider, in *Input, _ *Arrival) { d.routeRevision, d.routeRevisionAt = 2, in.Now-101 }, ActionDrop, ReasonOldRules, 0, false},
		"too many hops":                        {func(_ *Decider, _ *Input, a *Arrival) { a.Header.Hops = maxHops + 1 }, ActionDrop, ReasonHops, 0, false},
		"answer instead of an opening packet":  {func(_ *Decider, _ *Input, a *Arrival) { a.Packet.Flags |= cherviltide.PacketAck }, ActionDrop, ReasonForged, 0, false},
		"offer while busy":                     {func(d *Decider, _ *Input, a *Arrival) { d.load.active = 2; a.Header.Flags = framer.FlagOffered }, ActionForward, ReasonDeclined, framer.FlagDeclined, false},
		"offer of an owner that cannot serve": {func(d *Decider, _ *Input, a *Arrival) {
			d.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagOffered, cannotServeBit
		}, ActionWait, ReasonWaiting, 0, false},
		"offer of an owner with a longer wait": {func(d *Decider, _ *Input, a *Arrival) {
			d.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagOffered, 5<<waitShift
		}, ActionWait, ReasonWaiting, 0, false},
		"last offer declined": {func(d *Decider, _ *Input, a *Arrival) {
			d.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2
		}, ActionWait, ReasonWaiting, 0, false},
		"no agent takes it": {func(d *Decider, _ *Input, a *Arrival) {
			d.target = Target{}
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2|cannotServeBit
		}, ActionRefuse, ReasonUnavailable, 0, false},
		"only a leaving target takes it": {func(d *Decider, _ *Input, a *Arrival) {
			d.target.AcceptsNewFlows = false
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2|cannotServeBit
		}, ActionDeliver, ReasonOpened, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			d, in, a := newDecider(), inputAt(10, member(1), table), syn(flow, 0)
			test.prepare(d, &in, &a)
			decision := d.FromPeer(in, a)
			require.Equal(t, test.action, decision.Action, decision.Reason.String())
			require.Equal(t, test.reason, decision.Reason, decision.Reason.String())
			require.Equal(t, test.flags, decision.Header.Flags)
			if test.flags == framer.FlagOffered {
				require.Equal(t, secondary.Address, decision.To)
				require.Equal(t, test.cannotServe, decision.Header.Position&cannotServeBit != 0)
			}
		})
	}
}

// TestRouteChangeOutdatesRules guards against new flows that are dropped because of a newer revision that did not change
// the route, and against the use of older rules after a flow was opened with a newer route revision.
func TestRouteChangeOutdatesRules(t *testing.T) {
	table := tableOf(1)
	for name, test := range map[string]struct {
		routeRevision uint64
		want          Reason
	}{
		"other rules changed": {1, ReasonOpened},
		"the route changed":   {2, ReasonOldRules},
	} {
		t.Run(name, func(t *testing.T) {
			d, in := newDecider(), inputAt(10, member(1), table)
			first := syn(key(3000), 0)
			first.Header.Revision, first.Header.RouteRevision = 2, test.routeRevision
			require.Equal(t, ReasonOpened, d.FromPeer(in, first).Reason)
			in.Now += d.limits.OldRulesGrace + 1
			require.Equal(t, test.want, d.FromPeer(in, syn(key(3001), 0)).Reason)
		})
	}
}

// TestOpeningPacketCopies guards against a flow that opens at two targets because a retransmission of its opening packet
// reached another target.
func TestOpeningPacketCopies(t *testing.T) {
	table := tableOf(3)
	flow := ownedBy(t, table, member(1))
	secondary, _ := table.Secondary(flow)
	t.Run("to the target that took the first", func(t *testing.T) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.FromPeer(in, syn(flow, 0))
		in.Now = 20
		d.FromTarget(in, synAck(flow))
		d.load.active = 5
		in.Now = 210
		decision := d.FromPeer(in, syn(flow, 1))
		require.Equal(t, ActionDeliver, decision.Action)
		require.Equal(t, 5, d.load.active, "a retransmission counts as another flow")
	})
	t.Run("to another agent when the offered one sent no notice", func(t *testing.T) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.load.active = 2
		require.Equal(t, secondary.Address, d.FromPeer(in, syn(flow, 0)).To)
		in.Now = 210
		decision := d.FromPeer(in, syn(flow, 1))
		require.Equal(t, ReasonOffered, decision.Reason)
		require.NotEqual(t, secondary.Address, decision.To)
	})
	t.Run("to the agent that took the first", func(t *testing.T) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.load.active = 2
		require.Equal(t, secondary.Address, d.FromPeer(in, syn(flow, 0)).To)
		d.load.active = 0
		d.FromPeer(in, Arrival{Header: framer.Header{Flow: flow, Flags: framer.FlagHolderNotice}, Sender: secondary.Address})
		in.Now = 210
		decision := d.FromPeer(in, syn(flow, 1))
		require.Equal(t, framer.FlagOffered, decision.Header.Flags)
		require.Equal(t, secondary.Address, decision.To)
	})
	t.Run("away from a target that did not answer", func(t *testing.T) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.FromPeer(in, syn(flow, 0))
		d.tableChangedAt = -tableSettleTime
		in.Now = 210
		decision := d.FromPeer(in, syn(flow, 1))
		require.Equal(t, ReasonOffered, decision.Reason)
		require.Empty(t, d.flows)
		require.Zero(t, d.load.active)
	})
	t.Run("search after a change of the table", func(t *testing.T) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.tableChangedAt = in.Now
		d.tableGeneration = table.Generation()
		decision := d.FromPeer(in, syn(flow, 1))
		require.Equal(t, framer.FlagProbe, decision.Header.Flags)
	})
	t.Run("a reused port", func(t *testing.T) {
		d, in := newDecider(), inputAt(10, member(1), table)
		d.FromPeer(in, syn(flow, 0))
		d.FromTarget(in, synAck(flow))
		next := syn(flow, 0)
		next.Packet.Sequence = 900
		require.Equal(t, ReasonOpened, d.FromPeer(in, next).Reason)
		require.Equal(t, 1, d.load.active)
	})
}
