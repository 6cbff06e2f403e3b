package replayer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/shaper"
)

// knownDirections has the setting of an entry that knows whether the directions of its link are separate.
var knownDirections = map[bool]shaper.Directions{false: shaper.DirectionsShared, true: shaper.DirectionsSeparate}

// TestThinLinks guards against links that deliver less the more uploads there are, against uploads that miss their goal although
// the link could carry them, and against small requests behind uploads. Entries that forward in the order of arrival miss the
// bounds from a load of 1.0 on.
func TestThinLinks(t *testing.T) {
	for load, bounds := range map[float64]struct {
		// The lowest goodput relative to what the links carry, and the lowest shares within the goal.
		goodput, upload, post float64
		baselineFails         bool
	}{
		0.5: {0.48, 0.95, 0.99, false},
		0.8: {0.78, 0.80, 0.99, false},
		1.0: {0.87, 0.65, 0.99, true},
		1.3: {0.95, 0.35, 0.99, true},
	} {
		for name, separate := range map[string]bool{"shared": false, "separate": true} {
			t.Run(fmt.Sprintf("%s, %.1f", name, load), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(2) {
					p := ThinLinks(load, separate)
					p.Duration, p.Directions = 10_000, knownDirections[separate]
					r := RunLinks(p, seed)
					require.GreaterOrEqual(t, r.Goodput/r.Offered*load, bounds.goodput, "goodput, seed %d", seed)
					require.GreaterOrEqual(t, r.Kinds["upload"].TimelyShare(), bounds.upload, "uploads, seed %d", seed)
					require.GreaterOrEqual(t, r.Kinds["post"].TimelyShare(), bounds.post, "small requests, seed %d", seed)
					require.Less(t, r.LongestWaitMs, openingTimeout, "seed %d", seed)
					if !bounds.baselineFails {
						continue
					}
					p.ArrivalOrder = true
					baseline := RunLinks(p, seed)
					require.Less(t, baseline.Goodput/baseline.Offered*load, bounds.goodput, "goodput of the baseline, seed %d", seed)
					require.Less(t, baseline.Kinds["upload"].TimelyShare(), bounds.upload, "uploads of the baseline, seed %d", seed)
					require.Less(t, baseline.Kinds["post"].TimelyShare(), bounds.post, "small requests of the baseline, seed %d", seed)
				}
			})
		}
	}
}

// TestMeasuredDirections guards against entries that make worse of a link than order of arrival because nobody has told them
// whether its directions share the rate. Uploads within their goal, relative to entries that know.
func TestMeasuredDirections(t *testing.T) {
	for name, test := range map[string]struct {
		separate bool
		load     float64
		lowest   float64
	}{
		"separate, 0.5": {true, 0.5, 0.99}, "separate, 1.0": {true, 1, 0.99},
		"shared, 0.8": {false, 0.8, 0.6}, "shared, 1.0": {false, 1, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			p := ThinLinks(test.load, test.separate)
			measured := RunLinks(p, 1).Kinds["upload"].Timely
			p.Directions = knownDirections[test.separate]
			require.GreaterOrEqual(t, float64(measured), test.lowest*float64(RunLinks(p, 1).Kinds["upload"].Timely))
			p.ArrivalOrder = true
			require.GreaterOrEqual(t, measured, RunLinks(p, 1).Kinds["upload"].Timely)
		})
	}
}
