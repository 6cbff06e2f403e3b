package replayer

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestGreyTargets guards against targets that go on failing a share of the requests because they still send heartbeats. Without
// quarantine the bounds of new flows are missed in the modes that fail requests.
func TestGreyTargets(t *testing.T) {
	bounds := map[string]struct {
		new           float64
		baselineFails bool
	}{
		"reset": {0.985, true}, "hang": {0.995, true}, "mute": {0.995, false}, "slow": {0.985, false},
	}
	for _, p := range GreyPatterns() {
		t.Run(p.Name, func(t *testing.T) {
			bound := bounds[p.Name]
			r := Run(p, 0)
			require.GreaterOrEqual(t, r.Sum(5, 35, "small").TimelyShare(), bound.new)
			require.Positive(t, r.Paused, "no target was taken out of service")
			require.GreaterOrEqual(t, r.Sum(36, 40).TimelyShare(), 0.999, "the targets did not come back")
			require.Zero(t, r.Doubled+r.FalseRefusals+r.LeftWaiting)
			p.QuarantineShare = 0
			if baseline := Run(p, 0); bound.baselineFails {
				require.Less(t, baseline.Sum(5, 35, "small").TimelyShare(), bound.new, "the baseline meets the bound")
			}
		})
	}
}

// TestSoundTargetsStay guards against targets that are taken out of service because they are overloaded, or slower than others.
func TestSoundTargetsStay(t *testing.T) {
	uneven := GreyPatterns()[0]
	uneven.Name, uneven.Grey, uneven.Duration = "uneven", Grey{}, 25_000
	uneven.Speeds = append([]float64{0.12, 0.4}, uneven.Speeds[2:]...)
	uneven.Burst, uneven.BurstFactor = Interval{10_000, 20_000}, 2.5
	stalled := pattern(t, TransferPatterns(), "stalled-uploads")
	for _, p := range []Pattern{uneven, pattern(t, Patterns(), "overload"), pattern(t, Patterns(), "outage"), stalled} {
		t.Run(p.Name, func(t *testing.T) {
			p.QuarantineShare = 0.2
			require.Zero(t, Run(p, 0).Paused)
		})
	}
}
