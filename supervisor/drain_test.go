package supervisor

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestDrain guards against an entry that stops while others still send to it, and against one that never stops.
func TestDrain(t *testing.T) {
	for name, test := range map[string]struct {
		// busy is until when datagrams arrive, in milliseconds after the signal.
		busy, want cherviltide.Millis
	}{
		"no traffic":            {0, DefaultStopTiming.MinDrain},
		"traffic ends at once":  {500, DefaultStopTiming.MinDrain},
		"traffic for 4 s":       {4_000, 4_000 + DefaultStopTiming.QuietPeriod},
		"traffic without end":   {60_000, DefaultStopTiming.MaxDrain},
		"traffic until the end": {DefaultStopTiming.MaxDrain - 500, DefaultStopTiming.MaxDrain},
	} {
		t.Run(name, func(t *testing.T) {
			const start = 1_000_000
			d, activity := newDrain(start, 7, DefaultStopTiming), uint64(7)
			now := cherviltide.Millis(start)
			for !d.done(now, activity) {
				now += 100
				if now-start <= test.busy {
					activity++
				}
			}
			require.Equal(t, test.want, now-start)
		})
	}
}
