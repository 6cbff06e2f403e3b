package relayer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestLater guards against packets of open flows that reach a target that does not hold them.
func TestLater(t *testing.T) {
	table := tableOf(3)
	t.Run("held", func(t *testing.T) {
		c, flow := opened(t, table)
		require.Equal(t, ReasonHeld, c.FromPeer(contextAt(20, member(1), table), ack(flow, 520)).Reason)
	})
	t.Run("another target's acknowledgement", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.FromTarget(x, synAck(flow))
		step := c.FromPeer(x, ack(flow, 4_000_000))
		require.Equal(t, ActionPass, step.Action)
		require.Zero(t, c.load.active)
	})
	t.Run("unknown is searched and then left", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		a := ack(flow, 501)
		step := c.FromPeer(x, a)
		asked := map[netip.AddrPort]bool{}
		for step.Reason == ReasonProbed {
			require.False(t, asked[step.To], "a candidate is asked twice")
			asked[step.To] = true
			a.Header, a.Sender = step.Header, step.To
			a.Header.Flags = framer.FlagReturned
			step = c.FromPeer(x, a)
		}
		require.Equal(t, ReasonNoHolder, step.Reason)
		require.Len(t, asked, 2)
	})
	t.Run("unknown goes back to the entry when another service may hold it", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, tableOf(1), member(1))
		a := ack(flow, 501)
		a.Header.ServiceCount, a.Header.Entry = 2, netip.MustParseAddrPort("10.5.5.5:5")
		step := c.FromPeer(contextAt(10, member(1), tableOf(1)), a)
		require.Equal(t, ReasonStage, step.Reason)
		require.Equal(t, a.Header.Entry, step.To)
	})
	t.Run("probe for a flow that is not held", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		a := ack(flow, 501)
		a.Header.Flags, a.Header.Position = framer.FlagProbe, 1
		step := c.FromPeer(contextAt(10, member(2), table), a)
		require.Equal(t, framer.FlagReturned, step.Header.Flags)
		require.Equal(t, a.Sender, step.To)
	})
	t.Run("notice makes the way short", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		notice := Arrival{Header: framer.Header{Flow: flow, Flags: framer.FlagHolderNotice}, Sender: member(3).Address}
		require.Equal(t, ReasonNotice, c.FromPeer(x, notice).Reason)
		step := c.FromPeer(x, ack(flow, 501))
		require.Equal(t, member(3).Address, step.To)
		require.EqualValues(t, direct, step.Header.Position)
	})
}

// TestRestartedAgent guards against flows that a restart of the agent beside a living target breaks, and against a search
// that forgets where the flow was offered.
func TestRestartedAgent(t *testing.T) {
	table := tableOf(2)
	flow := ownedBy(t, table, member(1))
	unsure := func() *Core {
		c := NewCore(Limits{MaxFlowAge: 60_000}, 0)
		c.SetTarget(Target{Slots: 2, AcceptsNewFlows: true, PredatesAgent: true}, false)
		return c
	}
	x := contextAt(10, member(1), table)
	t.Run("the target holds it", func(t *testing.T) {
		c := unsure()
		require.Equal(t, ReasonUnsure, c.FromPeer(x, ack(flow, 501)).Reason)
		c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketAck}))
		require.Equal(t, ReasonHeld, c.FromPeer(x, ack(flow, 502)).Reason)
	})
	t.Run("the target does not hold it", func(t *testing.T) {
		c := unsure()
		step := c.FromPeer(x, ack(flow, 501))
		p := ack(flow, 501).Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = step.Token
		step = c.FromTarget(x, p)
		require.Equal(t, ReasonProbed, step.Reason)
		require.True(t, step.Restore)
		require.Equal(t, ReasonProbed, c.FromPeer(x, ack(flow, 502)).Reason, "the target is asked twice")
	})
	t.Run("offered before", func(t *testing.T) {
		c := unsure()
		c.load.active = 2
		require.Equal(t, ReasonOffered, c.FromPeer(x, syn(flow, 0)).Reason)
		step := c.FromPeer(x, ack(flow, 501))
		require.Equal(t, member(2).Address, step.To)
	})
	t.Run("no release while unsure", func(t *testing.T) {
		c := unsure()
		require.Zero(t, c.Oldest(10, table.Generation()))
		require.Equal(t, table.Generation(), c.Oldest(60_001, table.Generation()))
	})
}
