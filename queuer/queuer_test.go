package queuer

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

func keyOf(n int) cherviltide.FlowKey {
	return cherviltide.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 16), byte(n >> 8)}), uint16(n)),
		Virtual: netip.MustParseAddrPort("198.18.0.1:443"),
	}
}

// flowOf returns a flow whose caller gives up after 1,400 ms.
func flowOf(n, priority int, startedAt, goal cherviltide.Millis) Flow {
	return Flow{Key: keyOf(n), Priority: priority, StartedAt: startedAt, Goal: goal, GiveUpAt: startedAt + 1_400}
}

// newQueue returns a queue before a target that completes a request every 25 ms.
func newQueue() *Queue[int] {
	q := New[int]()
	q.SetCapacity(Capacity{Slots: 2, ServiceTime: 50, OpeningTime: 5})
	return q
}

// drain returns the payloads in the order in which the flows take slots at one point in time.
func drain(q *Queue[int], now cherviltide.Millis) []int {
	var order []int
	for {
		f, ok := q.Next(now, false)
		if !ok {
			return order
		}
		n, _ := q.Remove(f.Key)
		order = append(order, n)
	}
}

// TestOrder guards against flows that miss their goal behind less urgent ones, and behind ones that have missed theirs.
func TestOrder(t *testing.T) {
	for name, test := range map[string]struct {
		flows []Flow
		now   cherviltide.Millis
		want  []int
	}{
		"priority first":                   {[]Flow{flowOf(0, 2, 0, 300), flowOf(1, 1, 0, 900)}, 10, []int{1, 0}},
		"earliest start within a priority": {[]Flow{flowOf(0, 2, 0, 900), flowOf(1, 2, 0, 300)}, 10, []int{1, 0}},
		"missed goal behind":               {[]Flow{flowOf(0, 1, 0, 200), flowOf(1, 2, 0, 900)}, 190, []int{1, 0}},
		"missed goals by the time to give up": {
			[]Flow{flowOf(0, 1, 100, 200), flowOf(1, 2, 0, 200)}, 400, []int{1, 0}},
		"no goal": {[]Flow{flowOf(0, 2, 0, 0), flowOf(1, 2, 0, 300)}, 10, []int{1, 0}},
	} {
		t.Run(name, func(t *testing.T) {
			q := newQueue()
			for i, f := range test.flows {
				_, verdict := q.Submit(0, f, i)
				require.NotEqual(t, VerdictRefused, verdict)
			}
			require.Equal(t, test.want, drain(q, test.now))
			require.Zero(t, q.Len())
		})
	}
}

// TestVerdicts guards against flows that wait although they cannot be served any more, and against refusals of flows that
// can.
func TestVerdicts(t *testing.T) {
	for name, test := range map[string]struct {
		// waiting is the number of flows with priority 2 before the flow, which asks at 0.
		waiting    int
		flow       Flow
		timelyLoad int
		want       Verdict
		wait       cherviltide.Millis
	}{
		"empty queue":                      {0, flowOf(-1, 2, 0, 250), 0, VerdictTimely, 25},
		"goal within reach":                {5, flowOf(-1, 2, 0, 250), 0, VerdictTimely, 150},
		"goal out of reach":                {8, flowOf(-1, 2, 0, 250), 0, VerdictLate, 225},
		"more urgent than those waiting":   {8, flowOf(-1, 1, 0, 200), 0, VerdictTimely, 25},
		"old flow":                         {0, flowOf(-1, 1, -600, 250), 0, VerdictLate, 25},
		"caller gives up before":           {8, flowOf(-1, 1, -1_300, 250), 0, VerdictRefused, 200},
		"no capacity left by timely flows": {8, flowOf(-1, 1, -800, 250), 1_000, VerdictRefused, 675},
	} {
		t.Run(name, func(t *testing.T) {
			q := newQueue()
			for i := range test.waiting {
				q.Submit(0, flowOf(i, 2, 0, 250), i)
			}
			for range test.timelyLoad {
				q.Started(0, flowOf(-2, 1, 0, 250))
			}
			wait, verdict := q.Submit(0, test.flow, -1)
			require.Equal(t, test.want, verdict)
			require.Equal(t, test.wait, wait)
			_, waits := q.Get(test.flow.Key)
			require.Equal(t, verdict != VerdictRefused, waits)
		})
	}
}

// TestRefusedWhileWaiting guards against callers that wait to the end for a flow that cannot be served any more.
func TestRefusedWhileWaiting(t *testing.T) {
	q := newQueue()
	q.Submit(0, flowOf(1, 1, 0, 250), 1)
	_, ok := q.NextRefused(1_300)
	require.False(t, ok)
	f, ok := q.NextRefused(1_396)
	require.True(t, ok, "the request would arrive after the caller gave up")
	require.Equal(t, keyOf(1), f.Key)
}

// TestBulkyFlowsStepAside guards against long transfers that take the slot that is kept for other flows.
func TestBulkyFlowsStepAside(t *testing.T) {
	q := newQueue()
	bulky := flowOf(1, 1, 0, 250)
	bulky.Bulky = true
	q.Submit(0, bulky, 1)
	_, ok := q.Next(0, true)
	require.False(t, ok)
	q.Submit(0, flowOf(2, 2, 0, 250), 2)
	f, ok := q.Next(0, true)
	require.True(t, ok)
	require.Equal(t, keyOf(2), f.Key)
}

// TestOverlap guards against slots that stay empty for the round trip of each new flow.
func TestOverlap(t *testing.T) {
	for name, test := range map[string]struct {
		capacity Capacity
		want     int
	}{
		"unknown":        {Capacity{Slots: 2}, 0},
		"long requests":  {Capacity{Slots: 7, ServiceTime: 55, OpeningTime: 5}, 1},
		"short requests": {Capacity{Slots: 2, ServiceTime: 5, OpeningTime: 4}, 2},
		"slow callers":   {Capacity{Slots: 2, ServiceTime: 5, OpeningTime: 400}, 2},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, test.want, test.capacity.Overlap()) })
	}
}

// TestQueueBound guards against memory that grows with the number of callers.
func TestQueueBound(t *testing.T) {
	q := newQueue()
	q.SetCapacity(Capacity{Slots: 2})
	for i := range MaxWaiting + 10 {
		q.Submit(0, flowOf(i, 1, 0, 250), i)
	}
	require.Equal(t, MaxWaiting, q.Len())
}

// TestQueueInvariants guards against flows that are lost, kept twice or out of order after any sequence of calls.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newQueue()
		waiting := map[int]bool{}
		now, next := cherviltide.Millis(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += cherviltide.Millis(rapid.IntRange(0, 120).Draw(t, "pause"))
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				f := flowOf(next, rapid.IntRange(1, 3).Draw(t, "priority"), now-cherviltide.Millis(rapid.IntRange(0, 700).Draw(t, "age")), 300)
				if _, verdict := q.Submit(now, f, next); verdict != VerdictRefused {
					waiting[next] = true
				}
				next++
			case 2:
				if f, ok := q.Next(now, false); ok {
					n, ok := q.Remove(f.Key)
					require.True(t, ok && waiting[n])
					delete(waiting, n)
				}
			case 3:
				if f, ok := q.NextRefused(now); ok {
					n, ok := q.Remove(f.Key)
					require.True(t, ok && waiting[n])
					delete(waiting, n)
				}
			}
			require.Equal(t, len(waiting), q.Len())
			require.Equal(t, len(waiting), len(q.timely)+len(q.late))
			require.True(t, slices.IsSortedFunc(q.timely, func(a, b *entry[int]) int {
				if a.flow.Priority != b.flow.Priority {
					return a.flow.Priority - b.flow.Priority
				}
				return int(a.startBy - b.startBy)
			}))
			require.True(t, slices.IsSortedFunc(q.late, func(a, b *entry[int]) int { return int(a.flow.GiveUpAt - b.flow.GiveUpAt) }))
		}
	})
}

// BenchmarkPredict measures the decision about a new flow while 1,000 flows wait.
func BenchmarkPredict(b *testing.B) {
	q := New[int]()
	q.SetCapacity(Capacity{Slots: 50, ServiceTime: 10})
	for i := range 1_000 {
		q.Submit(0, flowOf(i, i%3, 0, cherviltide.Millis(200+i%700)), i)
	}
	f := flowOf(-1, 1, 0, 600)
	b.ReportAllocs()
	for b.Loop() {
		q.Predict(1, f)
	}
}
