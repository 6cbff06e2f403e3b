package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestLoad guards against flows that stay active forever, because of which agents offer new flows to others although their
// targets are free.
func TestLoad(t *testing.T) {
	table := tableOf(1)
	ends := map[string]func(d *Decider, in Input, flow cherviltide.FlowKey){
		"the target finishes": func(d *Decider, in Input, flow cherviltide.FlowKey) {
			d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketFinish | cherviltide.PacketAck}))
		},
		"the target resets": func(d *Decider, in Input, flow cherviltide.FlowKey) {
			d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		},
		"the caller resets": func(d *Decider, in Input, flow cherviltide.FlowKey) {
			d.FromPeer(in, arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
		},
		"neither side sends packets": func(d *Decider, in Input, _ cherviltide.FlowKey) {
			in.Now += DefaultIdleTimeout + 1
			d.Expire(in)
		},
		"another target": func(d *Decider, _ Input, _ cherviltide.FlowKey) {
			d.SetTarget(Target{Slots: 2, AcceptsNewFlows: true}, true)
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			d, flow := withOpenFlow(t, table)
			require.Equal(t, 1, d.load.active)
			end(d, inputAt(30, member(1), table), flow)
			require.Zero(t, d.load.active)
		})
	}
	t.Run("a flow that is kept open", func(t *testing.T) {
		d, flow := withOpenFlow(t, table)
		in := inputAt(30, member(1), table)
		data := func(length int) {
			d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: length}))
		}
		data(1_200)
		require.Equal(t, 1, d.load.active, "the answer is not complete")
		data(300)
		require.Zero(t, d.load.active, "the flow is active between two requests")
		d.FromPeer(in, ack(flow, 2_001))
		require.Zero(t, d.load.active, "a retransmission counts as a request")
		next := ack(flow, 2_001)
		next.Packet.Sequence += uint32(next.Packet.Length)
		d.FromPeer(in, next)
		require.Equal(t, 1, d.load.active, "the next request does not count")
		data(1_200)
		in.Now += fullPacketTimeout + 1
		d.Expire(in)
		require.Zero(t, d.load.active, "an answer of full packets stays active forever")
	})
	t.Run("the caller sends no request", func(t *testing.T) {
		d, flow := newDecider(), ownedBy(t, table, member(1))
		in := inputAt(10, member(1), table)
		d.FromPeer(in, syn(flow, 0))
		d.FromTarget(in, synAck(flow))
		in.Now += requestTimeout + 1
		d.Expire(in)
		require.Zero(t, d.load.active)
		require.Len(t, d.flows, 1, "a late acknowledgement must still find its target")
	})
	t.Run("ended flows are removed", func(t *testing.T) {
		d, flow := withOpenFlow(t, table)
		in := inputAt(30, member(1), table)
		ends["the target resets"](d, in, flow)
		in.Now += endedFlowRetention + 1
		d.Expire(in)
		require.Empty(t, d.flows)
	})
}

// TestSlotsBesideDownloads guards against downloads that hold slots which their target has given back, and against a target
// that gets more than it can take because it once gave slots back sooner.
func TestSlotsBesideDownloads(t *testing.T) {
	d, in := newDecider(), inputAt(10, member(1), tableOf(1))
	in.Rules = rules{accepts: true, revision: 1, route: cherviltide.Route{Deadline: 2_500, Class: cherviltide.ClassBulky}}
	download := func(flow cherviltide.FlowKey) {
		d.FromPeer(in, syn(flow, 0))
		d.FromTarget(in, synAck(flow))
		d.FromPeer(in, ack(flow, 501))
		d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: 1_200}))
	}
	download(key(3000))
	require.Equal(t, [2]int{1, 1}, [2]int{d.load.active, d.load.sending}, "nothing shows that the slot is free")
	for range minPrompt {
		d.load.promptness.add(true)
	}
	download(key(3001))
	require.Equal(t, [2]int{1, 2}, [2]int{d.load.active, d.load.sending})
	for range minPrompt {
		d.load.promptness.add(false)
	}
	download(key(3002))
	require.Equal(t, [2]int{2, 3}, [2]int{d.load.active, d.load.sending})
	in.Now += fullPacketTimeout + 1
	d.ExpireActive(in)
	require.Zero(t, d.load.active+d.load.sending)
}
