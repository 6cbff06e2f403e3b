package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestPacketsReturnedByTarget guards against new flows that end because one target is full, and against packets that a target returns
// without having been given them.
func TestPacketsReturnedByTarget(t *testing.T) {
	table := tableOf(2)
	flow := ownedBy(t, table, member(1))
	x := contextAt(10, member(1), table)
	returned := func(c *Core, a Arrival) Step {
		step := c.FromPeer(x, a)
		require.Equal(t, ActionDeliver, step.Action)
		p := a.Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = step.Token
		return c.FromTarget(x, p)
	}
	t.Run("owner offers", func(t *testing.T) {
		c := newCore()
		step := returned(c, syn(flow, 0))
		require.Equal(t, ReasonOffered, step.Reason)
		require.True(t, step.Restore)
		require.Zero(t, c.load.active)
	})
	t.Run("offered agent declines", func(t *testing.T) {
		a := syn(flow, 0)
		a.Header.Flags = framer.FlagOffered
		step := returned(newCore(), a)
		require.Equal(t, framer.FlagDeclined, step.Header.Flags)
		require.Equal(t, a.Sender, step.To)
	})
	t.Run("nobody else", func(t *testing.T) {
		x := contextAt(10, member(1), tableOf(1))
		c := newCore()
		a := syn(ownedBy(t, tableOf(1), member(1)), 0)
		step := c.FromPeer(x, a)
		p := a.Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = step.Token
		require.Equal(t, ActionRefuse, c.FromTarget(x, p).Action)
	})
	t.Run("foreign token", func(t *testing.T) {
		c := newCore()
		p := syn(flow, 0).Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = 77
		require.Equal(t, ReasonForged, c.FromTarget(x, p).Reason)
	})
	t.Run("a flow that the target has lost", func(t *testing.T) {
		c, flow := opened(t, table)
		p := ack(flow, 501).Packet
		p.Flags |= cherviltide.PacketReturned
		require.Equal(t, ReasonGone, c.FromTarget(x, p).Reason)
		require.Empty(t, c.flows)
		require.Zero(t, c.load.active)
	})
}
