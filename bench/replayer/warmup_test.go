package replayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestColdTargets guards against targets that are flooded while they are cold or that stay below their share for long. The
// baselines, which do not have the pacer, miss a bound.
func TestColdTargets(t *testing.T) {
	const seeds = 2
	for name, test := range map[string]struct {
		// timely is the lowest share of timely requests, and fullShare the longest time until the targets have their share.
		timely    float64
		fullShare cherviltide.Millis
		// baseline misses a bound; empty when both meet them.
		baseline Ramp
	}{
		"one-restart":             {0.998, 6_000, RampNone},
		"domain-restart":          {0.990, 6_000, RampNone},
		"slower-target":           {0.998, 1_500, RampLinear},
		"slower-target-and-agent": {0.998, 6_000, ""},
		"slow-while-cold":         {0.998, 6_000, RampNone},
		"hidden-warm-up":          {0.995, 6_000, RampNone},
		"claimed-warm-up":         {0.998, 6_000, RampLinear},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			run := func(ramp Ramp) (timely float64, fullShare cherviltide.Millis) {
				p := pattern(t, WarmUpPatterns(ramp), name)
				for seed := range uint64(seeds) {
					r := RunWarmUp(p, seed)
					require.GreaterOrEqual(t, r.ToFullShare, cherviltide.Millis(0), "no full share, seed %d", seed)
					if ramp == RampAdaptive {
						require.LessOrEqual(t, r.Report.ColdDeliveries, 35, "opening packets in a second at a cold target, seed %d", seed)
						require.Zero(t, r.Report.Doubled+r.Report.FalseRefusals, "seed %d", seed)
					}
					timely += r.Requests.TimelyShare() / seeds
					fullShare += r.ToFullShare / seeds
				}
				return timely, fullShare
			}
			timely, fullShare := run(RampAdaptive)
			require.GreaterOrEqual(t, timely, test.timely)
			require.LessOrEqual(t, fullShare, test.fullShare)
			if test.baseline != "" {
				timely, fullShare = run(test.baseline)
				require.False(t, timely >= test.timely && fullShare <= test.fullShare, "the baseline meets the bounds: %.4f, %d ms", timely, fullShare)
			}
		})
	}
}
