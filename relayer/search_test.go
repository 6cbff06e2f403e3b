package relayer

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// TestPacketsOfOpenFlows guards against packets of open flows that reach a target that does not hold them.
func TestPacketsOfOpenFlows(t *testing.T) {
	table := tableOf(3)
	t.Run("held", func(t *testing.T) {
		d, flow := withOpenFlow(t, table)
		require.Equal(t, ReasonHeld, d.FromPeer(inputAt(20, member(1), table), ack(flow, 520)).Reason)
	})
	t.Run("another target's acknowledgement", func(t *testing.T) {
		d, flow := newDecider(), ownedBy(t, table, member(1))
		in := inputAt(10, member(1), table)
		d.FromPeer(in, syn(flow, 0))
		d.FromTarget(in, synAck(flow))
		decision := d.FromPeer(in, ack(flow, 4_000_000))
		require.Equal(t, ActionForward, decision.Action)
		require.Zero(t, d.load.active)
	})
	t.Run("unknown flow is searched and then dropped", func(t *testing.T) {
		d, flow := newDecider(), ownedBy(t, table, member(1))
		in := inputAt(10, member(1), table)
		a := ack(flow, 501)
		decision := d.FromPeer(in, a)
		probed := map[netip.AddrPort]bool{}
		for decision.Reason == ReasonProbed {
			require.False(t, probed[decision.To], "a candidate is probed twice")
			probed[decision.To] = true
			a.Header, a.Sender = decision.Header, decision.To
			a.Header.Flags = framer.FlagReturned
			decision = d.FromPeer(in, a)
		}
		require.Equal(t, ReasonNoHolder, decision.Reason)
		require.Len(t, probed, 2)
	})
	t.Run("unknown flow returns to the entry when another service may hold it", func(t *testing.T) {
		d, flow := newDecider(), ownedBy(t, tableOf(1), member(1))
		a := ack(flow, 501)
		a.Header.ServiceCount, a.Header.Entry = 2, netip.MustParseAddrPort("10.5.5.5:5")
		decision := d.FromPeer(inputAt(10, member(1), tableOf(1)), a)
		require.Equal(t, ReasonStage, decision.Reason)
		require.Equal(t, a.Header.Entry, decision.To)
	})
	t.Run("probe for a flow that is not held", func(t *testing.T) {
		d, flow := newDecider(), ownedBy(t, table, member(1))
		a := ack(flow, 501)
		a.Header.Flags, a.Header.Position = framer.FlagProbe, 1
		decision := d.FromPeer(inputAt(10, member(2), table), a)
		require.Equal(t, framer.FlagReturned, decision.Header.Flags)
		require.Equal(t, a.Sender, decision.To)
	})
	t.Run("a notice replaces the search", func(t *testing.T) {
		d, flow := newDecider(), ownedBy(t, table, member(1))
		in := inputAt(10, member(1), table)
		notice := Arrival{Header: framer.Header{Flow: flow, Flags: framer.FlagHolderNotice}, Sender: member(3).Address}
		require.Equal(t, ReasonNotice, d.FromPeer(in, notice).Reason)
		decision := d.FromPeer(in, ack(flow, 501))
		require.Equal(t, member(3).Address, decision.To)
		require.EqualValues(t, directPosition, decision.Header.Position)
	})
}

// TestRestartedAgent guards against flows that break when the agent restarts while its target continues, and against a
// search that ignores the agent that the flow was offered to.
func TestRestartedAgent(t *testing.T) {
	table := tableOf(2)
	flow := ownedBy(t, table, member(1))
	afterRestart := func() *Decider {
		d := NewDecider(Limits{MaxFlowAge: 60_000}, 0)
		d.SetTarget(Target{Slots: 2, AcceptsNewFlows: true, PredatesAgent: true}, false)
		return d
	}
	in := inputAt(10, member(1), table)
	recalled := func() *Decider {
		d := afterRestart()
		require.Equal(t, []Notice{{To: member(2).Address, Use: noticeRecall}}, d.Notices(in))
		d.FromPeer(in, Arrival{Sender: member(2).Address, Header: framer.Header{Flags: framer.FlagHolderNotice, Position: noticeRecallEnd}})
		return d
	}
	t.Run("who holds it is not known yet", func(t *testing.T) {
		d := afterRestart()
		require.Equal(t, ReasonRecalling, d.FromPeer(in, ack(flow, 501)).Reason)
		d.Notices(in)
		require.Equal(t, ReasonRecalling, d.FromPeer(in, ack(flow, 501)).Reason)
		late := inputAt(in.Now+recallTimeout, member(1), table)
		require.Equal(t, ReasonUnsure, d.FromPeer(late, ack(flow, 501)).Reason)
	})
	t.Run("the target holds it", func(t *testing.T) {
		d := recalled()
		require.Equal(t, ReasonUnsure, d.FromPeer(in, ack(flow, 501)).Reason)
		d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketAck}))
		require.Equal(t, ReasonHeld, d.FromPeer(in, ack(flow, 502)).Reason)
	})
	t.Run("the target does not hold it", func(t *testing.T) {
		d := recalled()
		decision := d.FromPeer(in, ack(flow, 501))
		p := ack(flow, 501).Packet
		p.Flags |= cherviltide.PacketReturned
		p.Token = decision.Token
		decision = d.FromTarget(in, p)
		require.Equal(t, ReasonProbed, decision.Reason)
		require.True(t, decision.Restore)
		require.Equal(t, ReasonProbed, d.FromPeer(in, ack(flow, 502)).Reason, "the target gets another packet of a flow that it does not hold")
	})
	t.Run("offered before", func(t *testing.T) {
		d := afterRestart()
		d.load.active = 2
		require.Equal(t, ReasonOffered, d.FromPeer(in, syn(flow, 0)).Reason)
		decision := d.FromPeer(in, ack(flow, 501))
		require.Equal(t, member(2).Address, decision.To)
	})
	t.Run("no release while the target may hold unknown flows", func(t *testing.T) {
		d := afterRestart()
		require.Zero(t, d.OldestGeneration(10, table.Generation()))
		require.Equal(t, table.Generation(), d.OldestGeneration(60_001, table.Generation()))
	})
}
