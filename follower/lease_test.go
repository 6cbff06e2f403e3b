package follower

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// TestLeaseOfStaleView guards against a home agent of at-most-once keys that keeps deciding with a stale view because its
// announcements still succeed. The plain lease is renewed in all cases: without the protection, it would decide.
func TestLeaseOfStaleView(t *testing.T) {
	cases := map[string]struct {
		leader, view uint64
		current      bool
	}{
		"view at the leader's position": {leader: 7, view: 7, current: true},
		"view past it":                  {leader: 7, view: 8, current: true},
		"stale view":                    {leader: 8, view: 7, current: false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			mux := http.NewServeMux()
			messenger.Announce.Handle(mux, func(context.Context, *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
				return &messenger.AnnounceResponse{Lease: 3_600_000, Position: c.leader}, nil
			})
			server := httptest.NewUnstartedServer(mux)
			server.Config = messenger.NewServer(mux, nil)
			server.Start()
			defer server.Close()
			f := New(Config{Control: []string{server.URL}, FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.NewNop()})
			view := *NewView()
			view.Position = c.view
			f.view.Store(&view)
			require.NoError(t, f.announce(t.Context(), messenger.NewClient(nil), server.URL, func() bool { return true }))
			require.NotZero(t, f.LeaseUntil())
			require.Equal(t, c.current, f.CurrentViewUntil() != 0)
			require.Zero(t, f.currentLease.remaining(time.Now().Add(2*time.Hour)))
		})
	}
}

// TestLeavingMemberStartsAsLeaving guards against a process that control ends because its leaving member was first
// announced as one that does not leave.
func TestLeavingMemberStartsAsLeaving(t *testing.T) {
	announced := make(chan *messenger.AnnounceRequest, 100)
	mux := http.NewServeMux()
	messenger.Announce.Handle(mux, func(_ context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		announced <- req
		return &messenger.AnnounceResponse{Lease: 3_600_000, Leave: !req.Leaving}, nil
	})
	server := httptest.NewUnstartedServer(mux)
	server.Config = messenger.NewServer(mux, nil)
	server.Start()
	defer server.Close()
	f := New(Config{
		Control: []string{server.URL}, WaitForMember: true, NewClient: func() *http.Client { return messenger.NewClient(nil) },
		FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- f.Run(ctx) }()
	f.StartMember(cherviltide.Member{Name: "side-1", Role: cherviltide.RoleAgent, Incarnation: 7}, true)
	first := <-announced
	require.True(t, first.Leaving)
	require.EqualValues(t, 7, first.Member.Incarnation)
	cancel()
	require.NoError(t, <-ended)
	select {
	case <-f.DrainRequested():
		t.Fatal("control ended the process")
	default:
	}
}
