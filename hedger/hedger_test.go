package hedger

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var errFailed = errors.New("failed")

// attemptFor returns an attempt that counts its calls. The first letter of a target tells whether it fails, hangs, lives, or
// accepts the call and ends with an error.
func attemptFor(started *atomic.Int64) Attempt {
	return func(ctx context.Context, target string, win func() bool) error {
		started.Add(1)
		switch target[0] {
		case 'f':
			return errFailed
		case 'h':
			<-ctx.Done()
			return ctx.Err()
		case 'l':
			if !win() {
				return context.Canceled
			}
			return nil
		}
		win()
		return fmt.Errorf("stream of %s ended: %w", target, errFailed)
	}
}

// TestCall guards against a call that waits for targets that do not answer, and against results of an attempt that has not won.
func TestCall(t *testing.T) {
	tests := map[string]struct {
		targets []string
		winner  string
		fails   bool
		started int64
	}{
		"first one lives":               {[]string{"live", "hang"}, "live", false, 1},
		"failures":                      {[]string{"f1", "f2", "f3", "f4", "f5", "live"}, "live", false, 6},
		"hanging targets":               {[]string{"h1", "h2", "h3", "live"}, "live", false, 4},
		"failures among hanging":        {[]string{"h1", "f1", "h2", "f2", "f3", "h3", "f4", "live"}, "live", false, 8},
		"winner that ends with failure": {[]string{"f1", "ends", "live"}, "ends", true, 2},
		"all fail":                      {[]string{"f1", "f2", "f3"}, "", true, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var started atomic.Int64
			winner, err := New(time.Millisecond, 4).Call(t.Context(), test.targets, attemptFor(&started))
			require.Equal(t, test.winner, winner)
			require.Equal(t, test.fails, errors.Is(err, errFailed))
			if !test.fails {
				require.NoError(t, err)
			}
			require.EqualValues(t, test.started, started.Load())
		})
	}
}

// TestOnlyOneWins guards against two attempts that both take effect, and against attempts that go on after another has won.
func TestOnlyOneWins(t *testing.T) {
	for range 200 {
		var wins, running atomic.Int64
		_, err := New(0, 8).Call(t.Context(), []string{"a", "b", "c", "d"}, func(ctx context.Context, _ string, win func() bool) error {
			running.Add(1)
			defer running.Add(-1)
			if win() {
				wins.Add(1)
				return nil
			}
			<-ctx.Done()
			return ctx.Err()
		})
		require.NoError(t, err)
		require.EqualValues(t, 1, wins.Load())
		require.Zero(t, running.Load())
	}
}

// TestInFlightIsBounded guards against a call that dials all targets at once.
func TestInFlightIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var started atomic.Int64
	ended := make(chan error, 1)
	go func() {
		_, err := New(time.Millisecond, 3).Call(ctx, []string{"h1", "h2", "h3", "h4", "h5"}, attemptFor(&started))
		ended <- err
	}()
	require.Eventually(t, func() bool { return started.Load() == 3 }, 10*time.Second, time.Millisecond)
	require.Never(t, func() bool { return started.Load() > 3 }, 50*time.Millisecond, time.Millisecond)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	_, err := New(0, 1).Call(t.Context(), nil, attemptFor(&started))
	require.ErrorIs(t, err, errNoTarget)
}
