package quarantiner

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// load is what a target with two slots shows: in each 40 ms a request, of which failed out of ten fail, and answers with a
// service time. A request waits if working is above 2; the agent sees no service time then, and an answer each interval.
type load struct {
	failed                       int
	serviceTime, interval, peers cherviltide.Millis
	working                      int
	// long makes each twentieth request take this time.
	long cherviltide.Millis
}

// play shows the load to a target for a time, and lets the table follow.
func play(q *Quarantiner, now *cherviltide.Millis, duration cherviltide.Millis, l load) {
	peers := Peers{Members: 10, ServiceTime: float64(l.peers)}
	for end := *now + duration; *now < end; *now += 10 {
		n := int(*now / l.interval)
		if *now%l.interval == 0 && q.Allows() {
			q.Opened()
			switch {
			case n*7%10 < l.failed:
				q.Failed(*now)
			case l.working > 2:
				q.Answered(*now, l.serviceTime*cherviltide.Millis(l.working), 0)
			case l.long > 0 && n%20 == 0:
				q.Answered(*now, l.long, l.long)
			case l.serviceTime > 0:
				q.Answered(*now, l.serviceTime, l.serviceTime)
			}
		}
		if *now%250 == 0 {
			peers.Out = q.WantsPause()
			q.Tick(*now, 2, l.working, peers)
		}
	}
}

// TestTargets guards against grey targets that stay in service, and against sound ones that are taken out because they are
// slower than others or overloaded.
func TestTargets(t *testing.T) {
	usual := load{serviceTime: 30, interval: 40, peers: 30}
	for name, test := range map[string]struct {
		before, then load
		want         Reason
	}{
		"sound":                         {usual, usual, ReasonNone},
		"resets all":                    {usual, load{failed: 10, interval: 40}, ReasonFailures},
		"resets 70%":                    {usual, load{failed: 7, serviceTime: 30, interval: 40}, ReasonShare},
		"resets 20%":                    {usual, load{failed: 2, serviceTime: 30, interval: 40}, ReasonNone},
		"hangs":                         {usual, load{interval: 40, working: 2}, ReasonSilence},
		"hangs with one request":        {usual, load{interval: 40, working: 1}, ReasonNone},
		"overloaded":                    {usual, load{serviceTime: 30, interval: 20, working: 12, peers: 30}, ReasonNone},
		"answers less often while busy": {usual, load{serviceTime: 240, interval: 120, working: 12, peers: 30}, ReasonSlow},
		"eight times slower":            {usual, load{serviceTime: 240, interval: 120, peers: 30}, ReasonSlow},
		"all peers are slow as well":    {usual, load{serviceTime: 240, interval: 120, peers: 200}, ReasonNone},
		"peers are not known":           {usual, load{serviceTime: 240, interval: 120}, ReasonSlow},
		"always slower":                 {load{serviceTime: 240, interval: 120, peers: 30}, load{serviceTime: 240, interval: 120, peers: 30}, ReasonNone},
		"slower by 2.4":                 {load{serviceTime: 60, interval: 40, peers: 60}, load{serviceTime: 144, interval: 80, peers: 60}, ReasonNone},
		"very short service times":      {load{serviceTime: 2, interval: 40, peers: 2}, load{serviceTime: 16, interval: 40, peers: 2}, ReasonNone},
		"always slower, and now more":   {load{serviceTime: 100, interval: 80, peers: 25}, load{serviceTime: 250, interval: 120, peers: 25}, ReasonNone},
		"two long requests at once":     {load{serviceTime: 30, interval: 40, long: 900, peers: 30}, load{interval: 1_500, serviceTime: 900, working: 2, peers: 200}, ReasonNone},
	} {
		t.Run(name, func(t *testing.T) {
			q, now := New(0.2), cherviltide.Millis(0)
			play(q, &now, 60_000, test.before)
			require.Equal(t, StateInService, q.State())
			for now < 90_000 && q.State() == StateInService {
				play(q, &now, 10, test.then)
			}
			require.Equal(t, test.want, q.Reason(), q.Reason().String())
		})
	}
}

// TestLossAtOnce guards against a target that is taken out because all its flows ended in one moment.
func TestLossAtOnce(t *testing.T) {
	q, now := New(0.2), cherviltide.Millis(0)
	play(q, &now, 10_000, load{serviceTime: 30, interval: 40, peers: 30})
	for range 40 {
		q.Failed(now)
	}
	q.Tick(now, 2, 0, Peers{Members: 10})
	require.Equal(t, StateInService, q.State())
}

// TestReturn guards against a target that gets all its flows at once when it comes back, and against one that comes back for
// good while it still fails.
func TestReturn(t *testing.T) {
	q, now := New(0.2), cherviltide.Millis(0)
	var outs []cherviltide.Millis
	for state := q.State(); now < 60_000; state = q.State() {
		play(q, &now, 10, load{failed: 10, interval: 40})
		if q.IsOut() && state != StateOut {
			outs = append(outs, q.outTime)
		}
	}
	require.Equal(t, []cherviltide.Millis{2_000, 4_000, 8_000, 16_000, 30_000}, outs)
	for q.State() != StateProbation {
		play(q, &now, 10, load{serviceTime: 30, interval: 1_000_000})
	}
	for _, flows := range []int{1, 2, 4} {
		for range flows {
			require.True(t, q.Allows())
			q.Opened()
		}
		require.False(t, q.Allows())
		for range flows {
			q.Answered(now, 30, 30)
		}
		now += 250
		q.Tick(now, 2, 0, Peers{Members: 10})
	}
	require.Equal(t, StateInService, q.State())
}

// TestClaims guards against more targets out of service than the share allows, and against a claim that control never sees.
func TestClaims(t *testing.T) {
	for name, test := range map[string]struct {
		peers, later Peers
		want         State
	}{
		"second of two places":   {Peers{Members: 10, Out: true, OutBefore: 1}, Peers{Members: 10, Out: true, OutBefore: 1}, StateOut},
		"no place":               {Peers{Members: 10, Out: true, OutBefore: 2}, Peers{Members: 10, Out: true, OutBefore: 2}, StateInService},
		"small service":          {Peers{Members: 3, Out: true}, Peers{Members: 3, Out: true}, StateOut},
		"two targets":            {Peers{Members: 2, Out: true}, Peers{Members: 2, Out: true}, StateInService},
		"table does not follow":  {Peers{Members: 10}, Peers{Members: 10}, StateInService},
		"the place goes another": {Peers{Members: 10, Out: true}, Peers{Members: 10, Out: true, OutBefore: 2}, StateProbation},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(0.2)
			for i := range 20 {
				q.Failed(cherviltide.Millis(100 * i))
			}
			q.Tick(2_000, 2, 0, test.peers)
			q.Tick(2_250, 2, 0, test.peers)
			q.Tick(4_000, 2, 0, test.later)
			require.Equal(t, test.want, q.State(), q.State().String())
		})
	}
}

// TestStates guards against states that no sequence of events should reach: a target out of service without a claim in the
// table or beyond the share, with a share of 0, or with more flows in probation than the step allows.
func TestStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q, now, peers := New(rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "share")), cherviltide.Millis(0), Peers{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += cherviltide.Millis(rapid.IntRange(0, 400).Draw(t, "pause"))
			before := q.State()
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				q.Failed(now)
			case 1:
				took := cherviltide.Millis(rapid.IntRange(1, 2_000).Draw(t, "took"))
				q.Answered(now, took, took)
			case 2:
				if q.Allows() {
					q.Opened()
				}
			default:
				peers = Peers{Members: rapid.IntRange(1, 12).Draw(t, "members"), OutBefore: rapid.IntRange(0, 3).Draw(t, "out"), Out: rapid.Bool().Draw(t, "listed")}
				q.Tick(now, 2, rapid.IntRange(0, 4).Draw(t, "working"), peers)
			}
			require.True(t, q.share > 0 || q.State() == StateInService)
			require.False(t, q.IsOut() && q.Allows())
			if q.IsOut() && before != StateOut {
				require.Less(t, peers.OutBefore, q.places())
				require.True(t, before == StateProbation || peers.Out, "out without a claim in the table")
			}
			require.True(t, q.State() != StateProbation || q.opened <= q.limit)
		}
	})
}
