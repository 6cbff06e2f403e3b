package replayer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTransfers guards against uploads and downloads that take the slots of idle targets while their bytes are under way, so
// that they and small requests are refused or late, and against too many downloads at a target that holds a slot until the end
// of an answer.
//
// Agents that count whole uploads miss the bounds in the same run. Agents that count whole downloads serve 0.32 of them within
// the goal at targets that give slots back.
func TestTransfers(t *testing.T) {
	for name, test := range map[string]struct {
		// Seconds of arrival, and the lowest shares within the goal among them by kind.
		from, to int
		lowest   map[string]float64
		// baselineFails is true when agents that count whole uploads miss the bounds and refuse uploads.
		baselineFails bool
	}{
		"uploads": {1, 12, map[string]float64{"small": 0.99, "upload": 0.99}, true},
		// A fifth of the callers never complete their request.
		"stalled-uploads": {1, 12, map[string]float64{"small": 0.99, "upload": 0.75}, true},
		"downloads":       {1, 12, map[string]float64{"small": 0.995, "download": 0.95}, false},
		"held-downloads":  {1, 12, map[string]float64{"small": 0.995, "download": 0.15}, false},
		"long-flows":      {3, 34, map[string]float64{"small": 0.995, "long": 0.999}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				p := pattern(t, TransferPatterns(), name)
				missed := func(r *Report) (kinds []string) {
					for kind, lowest := range test.lowest {
						if r.Sum(test.from, test.to, kind).TimelyShare() < lowest {
							kinds = append(kinds, kind)
						}
					}
					return kinds
				}
				r := Run(p, seed)
				require.Empty(t, missed(r), "seed %d: %+v", seed, r.PerSecond)
				require.Zero(t, r.Doubled+r.FalseRefusals+r.LeftWaiting, "run twice, refused and run, or left waiting, seed %d", seed)
				require.True(t, p.Kinds[1].Name != "download" || r.LongestQueue <= 4, "requests wait in the targets, seed %d", seed)
				if !test.baselineFails {
					continue
				}
				require.Zero(t, r.Sum(test.from, test.to).Refused, "seed %d", seed)
				p.WholeFlows = true
				baseline := Run(p, seed)
				require.NotEmpty(t, missed(baseline), "the baseline meets the bounds, seed %d", seed)
				require.Positive(t, baseline.Sum(test.from, test.to, "upload").Refused, "the baseline refuses no upload, seed %d", seed)
				require.Less(t, baseline.Busy, 0.7, "the baseline's targets are busy, seed %d", seed)
			}
		})
	}
}
