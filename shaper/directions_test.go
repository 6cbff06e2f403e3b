package shaper

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestDirections guards against a link that is taken for shared although it carries more, for separate although callers send data
// twice, or for shared because the process did not run, and against directions that are never evaluated again.
func TestDirections(t *testing.T) {
	for name, c := range map[string]struct {
		// Each step of 10 ms, a share of the rate arrives as new data, and a share of the packets are copies.
		rate, copies float64
		// frozen is the length of a step that follows each 10 others.
		frozen cherviltide.Millis
		// sharedAt is when the link is taken for shared, 0 for never.
		sharedAt cherviltide.Millis
	}{
		"separate":                       {0.9, 0, 0, 0},
		"shared, within the window time": {0.47, 0, 0, 2_000},
		"shared and congested":           {0.3, 0.4, 0, 250},
		"separate and lossy":             {0.8, 0.2, 0, 0},
		"the process does not run":       {0.9, 0, 80, 0},
	} {
		t.Run(name, func(t *testing.T) {
			m, now, sharedAt := newDirectionMeter(DirectionsMeasured), cherviltide.Millis(0), cherviltide.Millis(0)
			step := func(elapsed cherviltide.Millis) {
				now += elapsed
				m.count(int(c.rate*thinRate/100), false)
				if int(now/10)%10 < int(10*c.copies) {
					m.count(fullPayload, true)
				}
				if m.update(now, true, thinRate) && !m.separate && sharedAt == 0 {
					sharedAt = now
				}
			}
			m.update(now, true, thinRate)
			for i := range 1_000 {
				step(10)
				if c.frozen > 0 && i%10 == 0 {
					step(c.frozen)
				}
			}
			require.Equal(t, c.sharedAt, sharedAt)
			if sharedAt > 0 {
				require.True(t, m.update(sharedAt+firstTrialDelay, true, thinRate))
				require.True(t, m.separate, "no second trial")
			}
		})
	}
	for directions, separate := range map[Directions]bool{DirectionsShared: false, DirectionsSeparate: true} {
		m := newDirectionMeter(directions)
		for now := range 10 * evaluationTime {
			require.False(t, m.update(now, true, thinRate))
		}
		require.Equal(t, separate, m.separate)
	}
}
