package pacer

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// TestBoundOfAnySecond guards against more deliveries to a cold target in any second than the hard bound allows, whatever the
// order of deliveries, reports, starts of the target and of the agent, and changes of the rules.
func TestBoundOfAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		excess := rapid.SampledFrom([]float64{0, 0.5, 1, 1.3}).Draw(t, "excess")
		bound := Bound{Enabled: true, Excess: excess, Margin: rapid.Float64Range(0, 5).Draw(t, "margin")}
		warmUp := cherviltide.WarmUp{Duration: 20_000, Rate: rapid.Float64Range(0, 100).Draw(t, "rate"), HasRate: true}
		allowed := int(warmUp.Rate*bound.Excess + bound.Margin)
		now, targetStart := cherviltide.Millis(0), cherviltide.Millis(0)
		// delivered has the deliveries to the present target, which is always cold.
		var delivered []cherviltide.Millis
		var p *Pacer
		report := func(started bool) {
			if started {
				targetStart, delivered = now, nil
			}
			left := rapid.SampledFrom([]cherviltide.Millis{0, 500, 30_000}).Draw(t, "left")
			p.SetTarget(now, State{Slots: 4, Available: true, HasAge: true, Age: now - targetStart, WarmUpLeft: left, Started: started})
		}
		startAgent := func() {
			p = New(bound, now)
			p.SetService(now, warmUp, 0)
			report(false)
		}
		startAgent()
		for range rapid.IntRange(10, 400).Draw(t, "steps") {
			now += rapid.SampledFrom([]cherviltide.Millis{0, 0, 1, 5, 40, 300, 1_000}).Draw(t, "pause")
			if now-targetStart >= warmUp.Duration-2_000 {
				report(true)
			}
			switch rapid.IntRange(0, 12).Draw(t, "action") {
			case 0:
				report(true)
			case 1:
				startAgent()
			case 2:
				report(false)
			case 3:
				p.Observe(now, 30)
			case 4:
				p.Unanswered(now)
			case 5:
				now += p.WaitBehind(now, rapid.IntRange(0, 3).Draw(t, "ahead"))
			case 6:
				// The rules change for a moment.
				p.SetService(now, cherviltide.WarmUp{Duration: 1_000, Rate: rapid.Float64Range(0, 5_000).Draw(t, "other rate"), HasRate: true}, 0)
				p.SetService(now, warmUp, 0)
			default:
				for range rapid.IntRange(1, 30).Draw(t, "packets") {
					if p.Allow(now) {
						p.Record(now)
						delivered = append(delivered, now)
						require.NotZero(t, allowed)
						if i := len(delivered) - 1 - allowed; i >= 0 {
							require.GreaterOrEqual(t, now-delivered[i], windowLength, "delivery %d, allowed %d", len(delivered), allowed)
						}
					}
				}
			}
		}
	})
}

// TestBound guards against a bound for targets that are warm or have none, against one that a misreport lifts or keeps for
// ever, and against deliveries in the second after the agent's start that the agent before may have used up.
func TestBound(t *testing.T) {
	rated := cherviltide.WarmUp{Duration: 5_000, Rate: 10, HasRate: true}
	bound := Bound{Enabled: true, Excess: 1.2, Margin: 3}
	for name, test := range map[string]struct {
		bound  Bound
		warmUp cherviltide.WarmUp
		state  State
		now    cherviltide.Millis
		want   int
	}{
		"cold by age":                          {bound, rated, State{HasAge: true, Age: 1_000}, 2_000, 15},
		"cold by report, age not known":        {bound, rated, State{WarmUpLeft: 2_000}, 1_900, 15},
		"reported warm-up is over":             {bound, rated, State{WarmUpLeft: 2_000}, 2_001, 100},
		"report hides the warm-up":             {bound, rated, State{HasAge: true, Age: 0, WarmUpLeft: 0}, 4_000, 15},
		"report claims a warm-up for ever":     {bound, rated, State{HasAge: true, Age: 3_100, WarmUpLeft: 1 << 40}, 1_901, 100},
		"no duration, cold by report":          {bound, cherviltide.WarmUp{Rate: 10, HasRate: true}, State{WarmUpLeft: 5_000}, 2_000, 15},
		"rate of 0":                            {bound, cherviltide.WarmUp{Duration: 5_000, HasRate: true}, State{HasAge: true}, 2_000, 3},
		"nothing allowed":                      {Bound{Enabled: true, Excess: 1}, cherviltide.WarmUp{Duration: 5_000, HasRate: true}, State{HasAge: true}, 2_000, 0},
		"no rate":                              {bound, cherviltide.WarmUp{Duration: 5_000}, State{HasAge: true}, 2_000, 100},
		"no bound in the settings":             {Bound{}, rated, State{HasAge: true}, 2_000, 100},
		"second after the agent's start":       {bound, rated, State{HasAge: true, Age: 100}, 1_000, 0},
		"target that no agent has served":      {bound, rated, State{HasAge: true, Age: 100, Unserved: true}, 10, 15},
		"target started right after its agent": {bound, rated, State{HasAge: true, Age: 0, Started: true}, 10, 15},
		"start before the agent's own":         {bound, rated, State{HasAge: true, Age: 100, Started: true}, 10, 0},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(test.bound, 0)
			test.state.Slots, test.state.Available = 4, true
			p.SetTarget(1, test.state)
			p.SetService(0, test.warmUp, 0)
			count := 0
			for ; count < 100 && p.Allow(test.now); count++ {
				p.Record(test.now)
			}
			require.Equal(t, test.want, count)
		})
	}
}

// TestWaitIsHonest guards against predictions of the bound that are shorter or longer than the wait that follows.
func TestWaitIsHonest(t *testing.T) {
	p := New(Bound{Enabled: true, Excess: 1, Margin: 0}, 0)
	p.SetService(0, cherviltide.WarmUp{Duration: 60_000, Rate: 3, HasRate: true}, 0)
	p.SetTarget(0, State{Slots: 4, Available: true, HasAge: true})
	require.Equal(t, windowLength, p.Wait(0))
	now := cherviltide.Millis(2_000)
	for _, at := range []cherviltide.Millis{0, 100, 300} {
		require.Zero(t, p.Wait(now+at))
		p.Record(now + at)
	}
	for ahead, want := range []cherviltide.Millis{2_000, 2_100, 2_300, 2_000 + windowLength, 2_100 + windowLength} {
		require.Equal(t, want+windowLength-300, p.WaitBehind(now+300, ahead)+2_000, "%d ahead", ahead)
	}
}

// TestGrowingLimit guards against deliveries that are forgotten when a change of the rules raises the limit.
func TestGrowingLimit(t *testing.T) {
	p := New(Bound{Enabled: true, Excess: 1, Margin: 0}, 0)
	p.SetTarget(0, State{Slots: 4, Available: true, WarmUpLeft: 60_000})
	for range 500 {
		p.Record(2_000)
	}
	p.SetService(2_001, cherviltide.WarmUp{Rate: 200, HasRate: true}, 0)
	require.False(t, p.Allow(2_001))
	require.False(t, p.Allow(2_000+windowLength-1))
	require.True(t, p.Allow(2_000+windowLength))
}
