package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestOpening guards against new flows that reach a target that cannot or must not take them, and against flows that are
// lost although another target is free.
func TestOpening(t *testing.T) {
	table := tableOf(3)
	flow := ownedBy(t, table, member(1))
	second, _ := table.Secondary(flow)
	cases := map[string]struct {
		prepare func(c *Core, x *Context, a *Arrival)
		action  Action
		reason  Reason
		flags   framer.Flags
		must    bool
	}{
		"free target":         {func(*Core, *Context, *Arrival) {}, ActionDeliver, ReasonOpened, 0, false},
		"all slots taken":     {func(c *Core, _ *Context, _ *Arrival) { c.load.active = 2 }, ActionPass, ReasonOffered, framer.FlagOffered, false},
		"leaving target":      {func(c *Core, _ *Context, _ *Arrival) { c.target.AcceptsNewFlows = false }, ActionPass, ReasonOffered, framer.FlagOffered, true},
		"silent target":       {func(c *Core, x *Context, _ *Arrival) { c.waiting = 1; x.Now = 1_000 }, ActionPass, ReasonOffered, framer.FlagOffered, true},
		"target returned one": {func(c *Core, x *Context, _ *Arrival) { c.fullUntil = x.Now + 1 }, ActionPass, ReasonOffered, framer.FlagOffered, true},
		"route not in rules":  {func(_ *Core, x *Context, _ *Arrival) { x.Rules = rules{} }, ActionDrop, ReasonNoRoute, 0, false},
		"newer rules at entry": {func(_ *Core, x *Context, a *Arrival) {
			x.Rules = rules{}
			a.Header.Revision = 2
		}, ActionDeliver, ReasonOpened, 0, false},
		"older rules, just now": {func(c *Core, x *Context, _ *Arrival) { c.revision, c.revisedAt = 2, x.Now-100 }, ActionDeliver, ReasonOpened, 0, false},
		"older rules than seen": {func(c *Core, x *Context, _ *Arrival) { c.revision, c.revisedAt = 2, x.Now-101 }, ActionDrop, ReasonOldRules, 0, false},
		"too many hops":         {func(_ *Core, _ *Context, a *Arrival) { a.Header.Hops = maxHops + 1 }, ActionDrop, ReasonHops, 0, false},
		"answer as opening":     {func(_ *Core, _ *Context, a *Arrival) { a.Packet.Flags |= cherviltide.PacketAck }, ActionDrop, ReasonForged, 0, false},
		"offer while busy":      {func(c *Core, _ *Context, a *Arrival) { c.load.active = 2; a.Header.Flags = framer.FlagOffered }, ActionPass, ReasonDeclined, framer.FlagDeclined, false},
		"offer that must": {func(c *Core, _ *Context, a *Arrival) {
			c.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagOffered, must
		}, ActionDeliver, ReasonOpened, 0, false},
		"offer of longer queue": {func(c *Core, _ *Context, a *Arrival) {
			c.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagOffered, 5<<queueShift
		}, ActionDeliver, ReasonOpened, 0, false},
		"last offer declined": {func(c *Core, _ *Context, a *Arrival) {
			c.load.active = 2
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2
		}, ActionDeliver, ReasonOpened, 0, false},
		"nobody takes it": {func(c *Core, _ *Context, a *Arrival) {
			c.target = Target{}
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2|must
		}, ActionRefuse, ReasonUnavailable, 0, false},
		"nobody but a leaver": {func(c *Core, _ *Context, a *Arrival) {
			c.target.AcceptsNewFlows = false
			a.Header.Flags, a.Header.Position = framer.FlagDeclined, 2|must
		}, ActionDeliver, ReasonOpened, 0, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c, x, a := newCore(), contextAt(10, member(1), table), syn(flow, 0)
			test.prepare(c, &x, &a)
			step := c.FromPeer(x, a)
			require.Equal(t, test.action, step.Action, step.Reason.String())
			require.Equal(t, test.reason, step.Reason, step.Reason.String())
			require.Equal(t, test.flags, step.Header.Flags)
			if test.flags == framer.FlagOffered {
				require.Equal(t, second.Address, step.To)
				require.Equal(t, test.must, step.Header.Position&must != 0)
			}
		})
	}
}

// TestRouteChangeOutdatesRules guards against new flows that are dropped because of a newer revision that changed nothing for routes, and
// against the use of older rules after a change of a route was seen to work.
func TestRouteChangeOutdatesRules(t *testing.T) {
	table := tableOf(1)
	for name, test := range map[string]struct {
		changed uint64
		want    Reason
	}{
		"other rules changed": {1, ReasonOpened},
		"the route changed":   {2, ReasonOldRules},
	} {
		t.Run(name, func(t *testing.T) {
			c, x := newCore(), contextAt(10, member(1), table)
			first := syn(key(3000), 0)
			first.Header.Revision, first.Header.RouteRevision = 2, test.changed
			require.Equal(t, ReasonOpened, c.FromPeer(x, first).Reason)
			x.Now += c.limits.OldRulesGrace + 1
			require.Equal(t, test.want, c.FromPeer(x, syn(key(3001), 0)).Reason)
		})
	}
}

// TestOpeningPacketCopies guards against a flow that opens at two targets because a copy of its first packet went elsewhere.
func TestOpeningPacketCopies(t *testing.T) {
	table := tableOf(3)
	flow := ownedBy(t, table, member(1))
	second, _ := table.Secondary(flow)
	t.Run("to the target that took the first", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		x.Now = 20
		c.FromTarget(x, synAck(flow))
		c.load.active = 5
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, ActionDeliver, step.Action)
		require.Equal(t, 5, c.load.active, "a copy counts as another flow")
	})
	t.Run("to another agent when the offered one said nothing", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.load.active = 2
		require.Equal(t, second.Address, c.FromPeer(x, syn(flow, 0)).To)
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, ReasonOffered, step.Reason)
		require.NotEqual(t, second.Address, step.To)
	})
	t.Run("to the agent that took the first", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.load.active = 2
		require.Equal(t, second.Address, c.FromPeer(x, syn(flow, 0)).To)
		c.load.active = 0
		c.FromPeer(x, Arrival{Header: framer.Header{Flow: flow, Flags: framer.FlagHolderNotice}, Sender: second.Address})
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, framer.FlagOffered, step.Header.Flags)
		require.Equal(t, second.Address, step.To)
	})
	t.Run("away from a target that did not answer", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.changed = -settleTime
		x.Now = 210
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, ReasonOffered, step.Reason)
		require.Empty(t, c.flows)
		require.Zero(t, c.load.active)
	})
	t.Run("search after a change of the table", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.changed = x.Now
		c.generation = table.Generation()
		step := c.FromPeer(x, syn(flow, 1))
		require.Equal(t, framer.FlagProbe, step.Header.Flags)
	})
	t.Run("a port used again", func(t *testing.T) {
		c, x := newCore(), contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.FromTarget(x, synAck(flow))
		next := syn(flow, 0)
		next.Packet.Sequence = 900
		require.Equal(t, ReasonOpened, c.FromPeer(x, next).Reason)
		require.Equal(t, 1, c.load.active)
	})
}
