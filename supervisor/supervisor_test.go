package supervisor

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
)

// TestEndsInTime guards against a process that outlives its grace because control does not take its last announcement.
func TestEndsInTime(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = silent.Close() }()
	f := follower.New(follower.Config{
		Member:    cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry, Incarnation: 1},
		Control:   []string{"http://" + silent.Addr().String()},
		NewClient: func() *http.Client { return messenger.NewClient(nil) },
		Report:    func(*messenger.AnnounceRequest) {}, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	work := Work{
		Serve: func(ctx context.Context) error { <-ctx.Done(); return nil },
		Pace:  Pace{Grace: 100, Quiet: 100, Limit: 200, End: 200},
	}
	ended := make(chan error, 1)
	go func() { ended <- work.Run(ctx, f, zap.NewNop()) }()
	cancel()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(time.Second):
		t.Fatal("the process still runs after twice its limits")
	}
}
