package replayer

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// pattern returns the pattern with a name.
func pattern(t *testing.T, patterns []Pattern, name string) Pattern {
	t.Helper()
	i := slices.IndexFunc(patterns, func(p Pattern) bool { return p.Name == name })
	require.NotEqual(t, -1, i, "no pattern %s", name)
	return patterns[i]
}

// TestWorstLoads guards against a backlog that makes the requests after it late too, and against urgent requests that wait
// behind others although they alone fit the capacity. The bounds are shares within the goal; flows that wait in the targets'
// own queues miss them in the patterns with a baseline.
func TestWorstLoads(t *testing.T) {
	for name, test := range map[string]struct {
		// Seconds of arrival, and the lowest shares of timely requests among them.
		from, to   int
		view, edit float64
		// baselineFails is true when the targets' own queues miss the bounds.
		baselineFails bool
	}{
		"outage":       {6, 8, 0.8, 0.95, true},
		"burst":        {4, 7, 0.5, 0.95, true},
		"overload":     {4, 12, 0.4, 0.95, true},
		"bulky":        {4, 6, 0.95, 0.95, false},
		"targets-lost": {6, 8, 0.95, 0.95, false},
		"slow-target":  {5, 8, 0.9, 0.9, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				p := pattern(t, Patterns(), name)
				r := Run(p, seed)
				require.GreaterOrEqual(t, r.Sum(test.from, test.to, "edit").TimelyShare(), test.edit, "edit, seed %d", seed)
				require.GreaterOrEqual(t, r.Sum(test.from, test.to, "view").TimelyShare(), test.view, "view, seed %d", seed)
				require.Zero(t, r.Doubled, "attempts that ran at two targets, seed %d", seed)
				require.Zero(t, r.FalseRefusals, "attempts that ran although they were refused, seed %d", seed)
				require.Zero(t, r.LeftWaiting, "flows that wait for ever, seed %d", seed)
				require.LessOrEqual(t, r.LongestWaitMs, openingTimeout, "flows opened after their callers gave up, seed %d", seed)
				if !test.baselineFails {
					continue
				}
				p.TargetQueues = true
				baseline := Run(p, seed)
				missed := baseline.Sum(test.from, test.to, "edit").TimelyShare() < test.edit ||
					baseline.Sum(test.from, test.to, "view").TimelyShare() < test.view
				require.True(t, missed, "the baseline meets the bounds, seed %d", seed)
			}
		})
	}
}
