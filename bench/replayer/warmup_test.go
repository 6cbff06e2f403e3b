package replayer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestColdTargets guards against targets that are flooded while they are cold or that stay below their share for long. The
// baselines, which do not have the pacer, miss a bound in each pattern.
func TestColdTargets(t *testing.T) {
	for name, test := range map[string]struct {
		// timely is the lowest share of timely requests, and fullShare the longest time until the targets have their share.
		timely    float64
		fullShare cherviltide.Millis
		baseline  Ramp
	}{
		"one-restart":     {0.998, 6_000, RampNone},
		"domain-restart":  {0.988, 6_000, RampNone},
		"slower-target":   {0.994, 2_000, RampLinear},
		"slow-while-cold": {0.998, 6_000, RampNone},
		"hidden-warm-up":  {0.994, 6_000, RampNone},
		"claimed-warm-up": {0.998, 6_000, RampLinear},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				run := func(ramp Ramp) WarmUpResult {
					for _, p := range WarmUpPatterns(ramp) {
						if p.Name == name {
							return RunWarmUp(p, seed)
						}
					}
					require.Fail(t, "no such pattern")
					return WarmUpResult{}
				}
				meets := func(r WarmUpResult) bool {
					return r.Requests.TimelyShare() >= test.timely && r.ToFullShare >= 0 && r.ToFullShare <= test.fullShare
				}
				r := run(RampAdaptive)
				require.True(t, meets(r), "seed %d: timely %.4f, full share after %d ms", seed, r.Requests.TimelyShare(), r.ToFullShare)
				require.LessOrEqual(t, r.Report.ColdDeliveries, 35, "opening packets in a second at a cold target, seed %d", seed)
				require.Zero(t, r.Report.Doubled+r.Report.FalseRefusals, "seed %d", seed)
				require.False(t, meets(run(test.baseline)), "the baseline meets the bounds, seed %d", seed)
			}
		})
	}
}
