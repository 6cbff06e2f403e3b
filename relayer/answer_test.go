package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestPacketsReturnedByTarget guards against new flows that fail because one target is full, and against returned packets
// that were never delivered to the target.
func TestPacketsReturnedByTarget(t *testing.T) {
	table := tableOf(2)
	flow := ownedBy(t, table, member(1))
	in := inputAt(10, member(1), table)
	returned := func(d *Decider, a Arrival) Decision {
		decision := d.FromPeer(in, a)
		require.Equal(t, ActionDeliver, decision.Action)
		p := a.Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = decision.Token
		return d.FromTarget(in, p)
	}
	t.Run("owner offers", func(t *testing.T) {
		d := newDecider()
		decision := returned(d, syn(flow, 0))
		require.Equal(t, ReasonOffered, decision.Reason)
		require.True(t, decision.Restore)
		require.Zero(t, d.load.active)
	})
	t.Run("offered agent declines", func(t *testing.T) {
		a := syn(flow, 0)
		a.Header.Flags = framer.FlagOffered
		decision := returned(newDecider(), a)
		require.Equal(t, framer.FlagDeclined, decision.Header.Flags)
		require.Equal(t, a.Sender, decision.To)
	})
	t.Run("no other agent", func(t *testing.T) {
		in := inputAt(10, member(1), tableOf(1))
		d := newDecider()
		a := syn(ownedBy(t, tableOf(1), member(1)), 0)
		decision := d.FromPeer(in, a)
		p := a.Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = decision.Token
		require.Equal(t, ActionRefuse, d.FromTarget(in, p).Action)
	})
	t.Run("unknown token", func(t *testing.T) {
		d := newDecider()
		p := syn(flow, 0).Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = 77
		require.Equal(t, ReasonForged, d.FromTarget(in, p).Reason)
	})
	t.Run("a flow that the target no longer holds", func(t *testing.T) {
		d, flow := withOpenFlow(t, table)
		p := ack(flow, 501).Packet
		p.Flags |= cherviltide.PacketReturned
		require.Equal(t, ReasonGone, d.FromTarget(in, p).Reason)
		require.Empty(t, d.flows)
		require.Zero(t, d.load.active)
	})
}
