package relayer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// uploadDecider returns the decider of an agent without peers, an open flow of a route with uploads, and the input at 10.
func uploadDecider(t *testing.T) (*Decider, Input, cherviltide.FlowKey) {
	t.Helper()
	d, in, flow := newDecider(), inputAt(10, member(1), tableOf(1)), key(3000)
	in.Rules = rules{accepts: true, revision: 1, route: cherviltide.Route{Goal: 800, Deadline: 6_000, Class: cherviltide.ClassUpload}}
	require.Equal(t, ReasonOpened, d.FromPeer(in, syn(flow, 0)).Reason)
	d.FromTarget(in, synAck(flow))
	require.Equal(t, 1, d.Transfers())
	return d, in, flow
}

// part returns the packet of an upload with the given number from 0, which all have full payload before the last one.
func part(flow cherviltide.FlowKey, n, length int) Arrival {
	return arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Sequence: 101 + uint32(n)*1_200, Acknowledgement: 501, Length: length})
}

// TestUploadLoad guards against uploads that hold a slot while the target waits for their bytes, and against requests that
// hold no slot while the target works on them.
func TestUploadLoad(t *testing.T) {
	type step struct {
		// after is the time since the step before. A step without a length only lets time pass.
		after     cherviltide.Millis
		n, length int
		answer    int
		// The flows that count as transfers and against the slots after the step.
		transfers, active int
	}
	for name, steps := range map[string][]step{
		"in order":           {{5, 0, 1_200, 0, 1, 0}, {5, 1, 1_200, 0, 1, 0}, {5, 2, 300, 0, 0, 1}, {4, 0, 0, 100, 0, 0}},
		"out of order":       {{5, 2, 300, 0, 1, 0}, {5, 0, 1_200, 0, 1, 0}, {5, 1, 1_200, 0, 0, 1}},
		"copies":             {{5, 0, 1_200, 0, 1, 0}, {5, 0, 1_200, 0, 1, 0}, {5, 1, 300, 0, 0, 1}, {200, 1, 300, 0, 0, 1}},
		"headers first":      {{5, 0, 1_200, 0, 1, 0}, {5, 1, 300, 0, 0, 1}, {5, 2, 1_200, 0, 1, 0}},
		"full last packet":   {{5, 0, 1_200, 0, 1, 0}, {fullRequestTimeout + 1, 0, 0, 0, 0, 1}, {5, 0, 0, 100, 0, 0}},
		"goes on after all":  {{5, 0, 1_200, 0, 1, 0}, {fullRequestTimeout + 1, 0, 0, 0, 0, 1}, {5, 1, 1_200, 0, 1, 0}},
		"stalls after all":   {{5, 0, 1_200, 0, 1, 0}, {fullRequestTimeout + 1, 0, 0, 0, 0, 1}, {stallTimeout, 0, 0, 0, 0, 0}},
		"stalls with a gap":  {{5, 1, 1_200, 0, 1, 0}, {stallTimeout, 0, 0, 0, 1, 0}, {1, 0, 0, 0, 0, 0}, {5, 2, 1_200, 0, 1, 0}},
		"first packet late":  {{stallTimeout + 1, 0, 0, 0, 0, 0}, {5, 0, 1_200, 0, 1, 0}},
		"deadline":           {{5, 0, 300, 0, 0, 1}, {6_001, 0, 0, 0, 0, 0}},
		"answer before end":  {{5, 0, 1_200, 0, 1, 0}, {5, 0, 0, 100, 0, 0}, {5, 1, 1_200, 0, 1, 0}, {5, 2, 10, 0, 0, 1}},
		"second on the flow": {{5, 0, 300, 0, 0, 1}, {5, 0, 0, 100, 0, 0}, {5, 0, 300, 0, 0, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			d, in, flow := uploadDecider(t)
			for i, s := range steps {
				in.Now += s.after
				switch {
				case s.length > 0:
					d.FromPeer(in, part(flow, s.n, s.length))
				case s.answer > 0:
					d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: s.answer}))
				}
				d.ExpireActive(in)
				require.Equal(t, [2]int{s.transfers, s.active}, [2]int{d.Transfers(), d.Active()}, "transfers and active flows after step %d", i)
			}
			d.FromPeer(in, arrival(flow, cherviltide.Packet{Flags: cherviltide.PacketReset}))
			require.Zero(t, d.Transfers()+d.Active()+d.load.working)
		})
	}
}

// TestUploadServiceTime guards against predictions that take the time under way for work.
func TestUploadServiceTime(t *testing.T) {
	d, in, flow := uploadDecider(t)
	d.FromPeer(in, part(flow, 0, 1_200))
	in.Now += 400
	d.FromPeer(in, part(flow, 1, 300))
	in.Now += 4
	decision := d.FromTarget(in, targetPacket(flow, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: 100}))
	require.Equal(t, PhaseService, decision.Phase)
	require.Equal(t, cherviltide.Millis(4), decision.Duration)
	require.Zero(t, d.load.serviceTime.count, "small requests wait for uploads")
	require.InDelta(t, 400, d.load.transferTime.value, 0)
}

// TestTransferLimit guards against uploads without a bound, uploads that wait for slots, and small requests that wait for
// uploads.
func TestTransferLimit(t *testing.T) {
	d, in, _ := uploadDecider(t)
	small := in
	small.Rules = rules{accepts: true, revision: 1}
	for i := 1; i < d.transferLimit(); i++ {
		require.Equal(t, ReasonOpened, d.FromPeer(in, syn(key(3000+i), 0)).Reason)
	}
	require.Equal(t, ReasonWaiting, d.FromPeer(in, syn(key(3100), 0)).Reason)
	require.Equal(t, ReasonOpened, d.FromPeer(small, syn(key(3200), 0)).Reason)
	require.Equal(t, ReasonOpened, d.FromPeer(small, syn(key(3201), 0)).Reason)
	require.Equal(t, ReasonWaiting, d.FromPeer(small, syn(key(3202), 0)).Reason)
	_, _, ok := d.NextWaiting(in)
	require.False(t, ok)
	d.FromTarget(in, synAck(key(3200)))
	d.queue.Remove(key(3202))
	in.Now += stallTimeout + 1
	d.ExpireActive(in)
	a, decision, ok := d.NextWaiting(in)
	require.True(t, ok, "stalled callers hold the places of others")
	require.Equal(t, ReasonOpened, decision.Reason, a.Header.Flow)
	d.load.uploadTime.add(200)
	require.Equal(t, 2, d.transferLimit(), "long works wait for each other")
}

// TestArrived guards against requests that count as complete with a gap, or never.
func TestArrived(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Uint32().Draw(t, "start")
		r := arrived{next: start, newest: start}
		count := rapid.IntRange(1, maxGaps).Draw(t, "packets")
		seen, last := make([]bool, count), 0
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, count-1).Draw(t, "packet")
			length := 1_200
			if n == count-1 {
				length = 300
			}
			seen[n], last = true, max(last, n)
			r.add(start+uint32(n)*1_200, length, 1_200)
			first := slices.Index(append(slices.Clone(seen), false), false)
			require.Equal(t, first < last, r.hasGap())
			require.Equal(t, last == count-1, r.short)
			if first < count {
				require.Equal(t, start+uint32(first)*1_200, r.next)
			}
		}
	})
}
