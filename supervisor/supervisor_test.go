package supervisor

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
)

// unreachableControl is the transport to a control instance that cannot be reached. It records the shortest time until the
// deadline of a call.
type unreachableControl struct {
	mu       sync.Mutex
	shortest time.Duration
}

func (u *unreachableControl) RoundTrip(req *http.Request) (*http.Response, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if deadline, ok := req.Context().Deadline(); ok {
		u.shortest = min(u.shortest, time.Until(deadline))
	}
	return nil, errors.New("unreachable")
}

// TestLastAnnouncementTimeout guards against a process that outlives its grace period because control does not accept its
// last announcement.
func TestLastAnnouncementTimeout(t *testing.T) {
	control := &unreachableControl{shortest: time.Hour}
	f := follower.New(follower.Config{
		Member:           cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry, Incarnation: 1},
		Control:          []string{"http://127.0.0.1:1"},
		NewClient:        func() *http.Client { return &http.Client{Transport: control} },
		FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	daemon := Daemon{
		Serve:      func(ctx context.Context) error { <-ctx.Done(); return nil },
		StopTiming: StopTiming{MinDrain: 100, QuietPeriod: 100, MaxDrain: 100, LastAnnouncementTimeout: 70},
	}
	cancel()
	require.NoError(t, daemon.Run(ctx, f, zap.NewNop()))
	control.mu.Lock()
	defer control.mu.Unlock()
	require.LessOrEqual(t, control.shortest, daemon.StopTiming.LastAnnouncementTimeout.Duration(), "time given to the last announcement")
}
