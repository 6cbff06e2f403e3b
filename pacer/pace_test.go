package pacer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

const warmUpTime cherviltide.Millis = 4_000

// timeToFullPace returns when a busy target has its full pace. serviceTime returns the service time with a number of concurrent
// requests, in milliseconds; 0 means no answer.
func timeToFullPace(t *testing.T, p *Pacer, serviceTime func(cherviltide.Millis, int) cherviltide.Millis) cherviltide.Millis {
	now := cherviltide.Millis(0)
	for now < 60_000 && p.pace.active {
		limit := p.Limit(now)
		require.GreaterOrEqual(t, limit, 1, "the target is idle")
		took := serviceTime(now, limit)
		if took == 0 {
			now += 500
			p.Unanswered(now)
			continue
		}
		now += max(took/cherviltide.Millis(limit), 1)
		p.Observe(now, took)
	}
	return now
}

func constant(t cherviltide.Millis) func(cherviltide.Millis, int) cherviltide.Millis {
	return func(cherviltide.Millis, int) cherviltide.Millis { return t }
}

// TestPace guards against a target that is flooded while it is cold, one that stays below its slots although fewer requests
// would not make it faster, and one that never gets all its slots.
func TestPace(t *testing.T) {
	// congested is 40 ms for one request, and grows with each further one while the target is cold.
	congested := func(now cherviltide.Millis, concurrent int) cherviltide.Millis {
		if now < warmUpTime {
			return cherviltide.Millis(40 * concurrent)
		}
		return 40
	}
	for name, test := range map[string]struct {
		slots              int
		warmTime, peerTime float64
		serviceTime        func(cherviltide.Millis, int) cherviltide.Millis
		// from and to are the times between which the target must reach its full pace.
		from, to cherviltide.Millis
	}{
		"answers like its peers":                {2, 0, 40, constant(40), 1, 500},
		"answers as when it was warm":           {8, 40, 0, constant(45), 1, 1_000},
		"2.4 times slower than its peers, warm": {2, 96, 40, constant(96), 1, 500},
		"the same after a restart of the agent": {8, 0, 40, constant(96), 1, 3_000},
		"nothing is known":                      {2, 0, 0, constant(40), 1, 500},
		"slow only while cold": {4, 40, 40, func(now cherviltide.Millis, _ int) cherviltide.Millis {
			return 40 + max(400-now/5, 0)
		}, 800, 3_000},
		"delayed by concurrent requests while cold": {8, 40, 40, congested, 3_000, 6_000},
		"answers nothing for 3 s": {4, 40, 40, func(now cherviltide.Millis, _ int) cherviltide.Millis {
			return 40 * min(now/3_000, 1)
		}, 3_000, 4_000},
		"gets slower for ever": {4, 40, 40, func(now cherviltide.Millis, concurrent int) cherviltide.Millis {
			return 40 + now/10*cherviltide.Millis(concurrent)
		}, 1, 2*warmUpTime + 500},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Bound{}, 0)
			p.pace.warmTime = test.warmTime
			p.SetService(0, cherviltide.WarmUp{Duration: warmUpTime}, test.peerTime)
			p.SetTarget(0, State{Slots: test.slots, Available: true, HasAge: true, Started: true})
			require.Equal(t, 1, p.Limit(0))
			full := timeToFullPace(t, p, test.serviceTime)
			require.Equal(t, test.slots, p.Limit(full))
			require.GreaterOrEqual(t, full, test.from)
			require.LessOrEqual(t, full, test.to)
			changes := p.TakeChanges()
			require.Len(t, changes, 2)
			require.Equal(t, CauseStarted, changes[0].Cause)
			require.True(t, changes[1].Full)
			require.Equal(t, full, changes[1].Took)
		})
	}
}

// TestPaceBegins guards against targets that get all their slots although they may be cold, and against a pace for warm ones.
func TestPaceBegins(t *testing.T) {
	warm, warmUp := State{Slots: 4, Available: true, HasAge: true, Age: 60_000}, cherviltide.WarmUp{Duration: warmUpTime}
	observe := func(p *Pacer, requests int, serviceTime cherviltide.Millis) {
		for range requests {
			p.Observe(1, serviceTime)
		}
	}
	for name, test := range map[string]struct {
		warmUp cherviltide.WarmUp
		change func(p *Pacer)
		want   int
	}{
		"warm target, agent has started":   {warmUp, func(*Pacer) {}, 4},
		"service without warm-up":          {cherviltide.WarmUp{}, func(p *Pacer) { p.SetTarget(1, State{Slots: 4, Available: true, Started: true}); p.Unanswered(2) }, 4},
		"start seen":                       {warmUp, func(p *Pacer) { p.SetTarget(1, State{Slots: 4, Available: true, Started: true}) }, 1},
		"report says cold":                 {warmUp, func(p *Pacer) { p.SetTarget(1, State{Slots: 4, Available: true, WarmUpLeft: 10}) }, 1},
		"silent, then back":                {warmUp, func(p *Pacer) { p.SetTarget(1, State{Slots: 4}); p.SetTarget(2, warm) }, 1},
		"silent":                           {warmUp, func(p *Pacer) { p.SetTarget(1, State{Slots: 4}) }, 4},
		"request without an answer":        {warmUp, func(p *Pacer) { p.Unanswered(1) }, 2},
		"three requests without an answer": {warmUp, func(p *Pacer) { p.Unanswered(1); p.Unanswered(2); p.Unanswered(3) }, 1},
		"much slower than before":          {warmUp, func(p *Pacer) { observe(p, 3*warmRound, 20); observe(p, warmRound, 120) }, 2},
		"one request that took very long":  {warmUp, func(p *Pacer) { observe(p, 4*warmRound-1, 20); observe(p, 1, 10_020) }, 4},
		"evacuation withdrawn":             {warmUp, func(p *Pacer) { p.Restart(1) }, 1},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Bound{}, 0)
			p.SetService(0, test.warmUp, 0)
			p.SetTarget(0, warm)
			test.change(p)
			require.Equal(t, test.want, p.Limit(3))
		})
	}
}
