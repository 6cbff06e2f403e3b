package relayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// waitingDecider returns the decider of an agent without peers whose target has both slots taken by running requests, and a
// flow that waits since 10.
func waitingDecider(t *testing.T) (*Decider, Input, Arrival) {
	t.Helper()
	d, in := newDecider(), inputAt(10, member(1), tableOf(1))
	d.limits.OpeningRetransmissions, d.limits.OpeningTimeout = []cherviltide.Millis{200, 600}, 1_400
	in.Rules = rules{accepts: true, revision: 1, route: cherviltide.Route{Goal: 250, Deadline: 2_500, Priority: 1}}
	for port := 3000; port < 3002; port++ {
		require.Equal(t, ReasonOpened, d.FromPeer(in, syn(key(port), 0)).Reason)
		d.FromTarget(in, synAck(key(port)))
		require.Equal(t, ActionDeliver, d.FromPeer(in, ack(key(port), 501)).Action)
	}
	d.load.serviceTime.add(50)
	d.load.openingTime = smoothedTime{}
	waiting := syn(key(3100), 0)
	waiting.Datagram = []byte("header and packet")
	require.Equal(t, ActionWait, d.FromPeer(in, waiting).Action)
	_, _, ok := d.NextWaiting(in)
	require.False(t, ok, "a flow was released without a free slot")
	return d, in, waiting
}

// answer makes the target finish the answer of a flow.
func answer(d *Decider, in Input, flow cherviltide.FlowKey) {
	d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketAck | cherviltide.PacketFinish, Sequence: 1, Length: 10}))
}

// TestWaitingFlowOpens guards against a flow that waits although a slot is free, and against one that exceeds the slots.
func TestWaitingFlowOpens(t *testing.T) {
	d, in, waiting := waitingDecider(t)
	in.Now = 60
	d.load.openingTime.add(5)
	d.updateCapacity()
	overlap := d.queue.Overlap()
	require.Equal(t, 1, overlap)
	a, decision, ok := d.NextWaiting(in)
	require.True(t, ok)
	require.Equal(t, ReasonOpened, decision.Reason)
	require.Equal(t, ActionDeliver, decision.Action)
	require.Equal(t, cherviltide.Millis(50), decision.Wait)
	require.Equal(t, waiting.Datagram, a.Datagram)
	require.Equal(t, 3, d.Active())
	d.FromPeer(in, syn(key(3101), 0))
	_, _, ok = d.NextWaiting(in)
	require.False(t, ok)
	answer(d, in, key(3000))
	_, decision, ok = d.NextWaiting(in)
	require.True(t, ok)
	require.Equal(t, ReasonOpened, decision.Reason)
}

// TestOfferTellsExpectedWait guards against offers that tell an outdated wait, so that agents with a shorter queue decline.
func TestOfferTellsExpectedWait(t *testing.T) {
	table := tableOf(3)
	d, in := newDecider(), inputAt(10, member(1), table)
	d.load.active = 2
	d.load.serviceTime.add(200)
	flow := ownedBy(t, table, member(1))
	decision := d.FromPeer(in, syn(flow, 0))
	require.Equal(t, ReasonOffered, decision.Reason)
	require.Equal(t, cherviltide.Millis(100)/waitStep*waitStep, offeredWait(decision.Header.Position))
}

// TestWaitingFlowEnds guards against flows that wait at a target that no longer takes them, whose caller has gone, or that
// another agent holds.
func TestWaitingFlowEnds(t *testing.T) {
	for name, test := range map[string]struct {
		change func(d *Decider, in *Input)
		// released is false when the flow left the queue without a decision.
		released bool
		reason   Reason
		to       bool
	}{
		"target leaves": {func(d *Decider, in *Input) {
			d.target.AcceptsNewFlows, in.Table = false, tableOf(2)
		}, true, ReasonOffered, true},
		"agent stops without a peer":  {func(d *Decider, _ *Input) { d.target.AcceptsNewFlows = false }, true, ReasonOpened, false},
		"target ended without a peer": {func(d *Decider, _ *Input) { d.target = Target{} }, true, ReasonUnavailable, false},
		"caller gives up":             {func(_ *Decider, in *Input) { in.Now = 1_500 }, true, ReasonOverloaded, false},
		"route removed": {func(d *Decider, in *Input) {
			in.Rules = rules{revision: 1}
			answer(d, *in, key(3000))
			answer(d, *in, key(3001))
		}, true, ReasonNoRoute, false},
		"another agent holds it": {func(d *Decider, in *Input) {
			d.FromPeer(*in, Arrival{Header: framer.Header{Flow: key(3100), Flags: framer.FlagHolderNotice}, Sender: member(2).Address})
		}, false, ReasonNone, false},
		"caller sends data to another target": {func(d *Decider, in *Input) { d.FromPeer(*in, ack(key(3100), 999)) }, false, ReasonNone, false},
		"caller uses the port again": {func(d *Decider, in *Input) {
			again := syn(key(3100), 0)
			again.Packet.Sequence = 777
			d.FromPeer(*in, again)
			waiting, ok := d.queue.Get(key(3100))
			require.True(t, ok)
			require.Equal(t, uint32(777), waiting.Packet.Sequence)
			d.queue.Remove(key(3100))
		}, false, ReasonNone, false},
	} {
		t.Run(name, func(t *testing.T) {
			d, in, _ := waitingDecider(t)
			in.Now = 50
			test.change(d, &in)
			_, decision, ok := d.NextWaiting(in)
			require.Equal(t, test.released, ok)
			require.Equal(t, test.reason, decision.Reason, decision.Reason.String())
			require.Equal(t, test.to, decision.To.IsValid())
			require.Zero(t, d.Waiting())
		})
	}
}

// TestWaitingFlowCopies guards against a flow that waits twice because of a retransmission of its opening packet.
func TestWaitingFlowCopies(t *testing.T) {
	d, in, _ := waitingDecider(t)
	in.Now = 210
	require.Equal(t, ActionWait, d.FromPeer(in, syn(key(3100), 1)).Action)
	require.Equal(t, 1, d.Waiting())
}

// TestStaleFlowsGoLast guards against old flows that take slots from flows which can still meet their goal.
func TestStaleFlowsGoLast(t *testing.T) {
	d, in, _ := waitingDecider(t)
	d.queue.Remove(key(3100))
	d.FromPeer(in, syn(key(3200), 2))
	d.FromPeer(in, syn(key(3201), 0))
	answer(d, in, key(3000))
	a, _, ok := d.NextWaiting(in)
	require.True(t, ok)
	require.Equal(t, key(3201), a.Header.Flow)
}

// TestBulkyFlowsLeaveASlot guards against long transfers that take the last slot while other flows arrive.
func TestBulkyFlowsLeaveASlot(t *testing.T) {
	d, in := newDecider(), inputAt(10, member(1), tableOf(1))
	bulky := rules{accepts: true, revision: 1, route: cherviltide.Route{Goal: 250, Deadline: 2_500, Class: cherviltide.ClassBulky}}
	ordinary := in
	in.Rules = bulky
	require.Equal(t, ReasonOpened, d.FromPeer(ordinary, syn(key(3000), 0)).Reason)
	answer(d, ordinary, key(3000))
	require.Equal(t, ReasonOpened, d.FromPeer(in, syn(key(3001), 0)).Reason)
	require.Equal(t, ReasonWaiting, d.FromPeer(in, syn(key(3002), 0)).Reason)
	_, _, ok := d.NextWaiting(in)
	require.False(t, ok, "a second transfer took the last slot")
	in.Now += ordinaryHoldTime
	_, decision, ok := d.NextWaiting(in)
	require.True(t, ok)
	require.NotEqual(t, ReasonWaiting, decision.Reason)
}

// TestActiveFlowsEnd guards against slots that stay taken by flows whose callers have gone.
func TestActiveFlowsEnd(t *testing.T) {
	for name, test := range map[string]struct {
		request bool
		now     cherviltide.Millis
		active  int
	}{
		"no request yet":      {false, 10 + requestTimeout, 1},
		"no request":          {false, 11 + requestTimeout, 0},
		"request runs":        {true, 10 + 2_500, 1},
		"deadline has passed": {true, 11 + 2_500, 0},
	} {
		t.Run(name, func(t *testing.T) {
			d, in := newDecider(), inputAt(10, member(1), tableOf(1))
			in.Rules = rules{accepts: true, revision: 1, route: cherviltide.Route{Deadline: 2_500}}
			d.FromPeer(in, syn(key(3000), 0))
			if test.request {
				d.FromTarget(in, synAck(key(3000)))
				d.FromPeer(in, ack(key(3000), 501))
			}
			in.Now = test.now
			d.ExpireActive(in)
			require.Equal(t, test.active, d.Active())
		})
	}
}
