package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestLoad guards against flows that count as work for ever, which makes agents send new flows away from free targets.
func TestLoad(t *testing.T) {
	table := tableOf(1)
	ends := map[string]func(c *Core, x Context, flow cherviltide.FlowKey){
		"the target finishes": func(c *Core, x Context, flow cherviltide.FlowKey) {
			c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketFinish | cherviltide.PacketAck}))
		},
		"the target resets": func(c *Core, x Context, flow cherviltide.FlowKey) {
			c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		},
		"the caller resets": func(c *Core, x Context, flow cherviltide.FlowKey) {
			c.FromPeer(x, arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		},
		"both are silent": func(c *Core, x Context, _ cherviltide.FlowKey) {
			x.Now += defaultIdle + 1
			c.Expire(x)
		},
		"another target": func(c *Core, _ Context, _ cherviltide.FlowKey) {
			c.SetTarget(Target{Slots: 2, AcceptsNewFlows: true}, true)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			c, flow := opened(t, table)
			require.Equal(t, 1, c.load.active)
			end(c, contextAt(30, member(1), table), flow)
			require.Zero(t, c.load.active)
		})
	}
	t.Run("a flow that is kept open", func(t *testing.T) {
		c, flow := opened(t, table)
		x := contextAt(30, member(1), table)
		data := func(length int) {
			c.FromTarget(x, answer(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: length}))
		}
		data(1_200)
		require.Equal(t, 1, c.load.active, "the answer goes on")
		data(300)
		require.Zero(t, c.load.active, "a pause between two requests counts as work")
		c.FromPeer(x, ack(flow, 2_001))
		require.Zero(t, c.load.active, "a repeated packet counts as a request")
		next := ack(flow, 2_001)
		next.Packet.Sequence += uint32(next.Packet.Length)
		c.FromPeer(x, next)
		require.Equal(t, 1, c.load.active, "the next request does not count")
		data(1_200)
		x.Now += restLimit + 1
		c.Expire(x)
		require.Zero(t, c.load.active, "an answer of full packets counts for ever")
	})
	t.Run("the caller never asks", func(t *testing.T) {
		c, flow := newCore(), ownedBy(t, table, member(1))
		x := contextAt(10, member(1), table)
		c.FromPeer(x, syn(flow, 0))
		c.FromTarget(x, synAck(flow))
		x.Now += askLimit + 1
		c.Expire(x)
		require.Zero(t, c.load.active)
		require.Len(t, c.flows, 1, "a late acknowledgement must still find its target")
	})
	t.Run("ended flows are forgotten", func(t *testing.T) {
		c, flow := opened(t, table)
		x := contextAt(30, member(1), table)
		ends["the target resets"](c, x, flow)
		x.Now += linger + 1
		c.Expire(x)
		require.Empty(t, c.flows)
	})
}
