package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// nonLeaderLog is the membership log of an instance that does not lead.
type nonLeaderLog struct {
	leader string
	client *http.Client
}

func (l *nonLeaderLog) Propose([]byte)                       {}
func (l *nonLeaderLog) ProposeAndReport([]byte, func(error)) {}
func (l *nonLeaderLog) IsLeader() bool                       { return false }
func (l *nonLeaderLog) IsCurrent() bool                      { return true }
func (l *nonLeaderLog) Leader() (string, *http.Client)       { return l.leader, l.client }

// startServer runs a control instance and returns its base URL. The instance leads unless a log is given.
func startServer(t testing.TB, log membershipLog) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())
	c := New(Config{
		Name: "control", Listen: address, Clock: clock.NewSystem(), Log: zap.NewNop(), Data: t.TempDir(),
		Files: journaler.NewOSFileSystem(), Voters: []Voter{{Name: "control"}}, Bootstrap: true,
	})
	if log != nil {
		c.members.log = log
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	t.Cleanup(func() { cancel(); require.NoError(t, <-ended) })
	return "http://" + address.String()
}

// TestForwarding guards against an instance that does not lead and loses announcements or returns an empty status, and
// against requests that are forwarded more than once.
func TestForwarding(t *testing.T) {
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	leader := startServer(t, nil)
	follower := startServer(t, &nonLeaderLog{leader: leader, client: client})
	withoutLeader := startServer(t, &nonLeaderLog{client: client})
	twoHopsAway := startServer(t, &nonLeaderLog{leader: follower, client: client})
	req := &messenger.AnnounceRequest{Member: cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry, Incarnation: 5}}
	announce := func(base string) (*messenger.AnnounceResponse, error) {
		return messenger.Announce.Call(t.Context(), client, base, req)
	}
	require.Eventually(t, func() bool {
		res, err := announce(follower)
		return err == nil && res.Lease == tracker.LeaseDuration
	}, 30*time.Second, 20*time.Millisecond)
	for _, base := range []string{leader, follower} {
		status, err := messenger.Status.Call(t.Context(), client, base, &messenger.StatusRequest{})
		require.NoError(t, err)
		require.True(t, status.Confirmed)
		require.Equal(t, "entry-1", status.Members[0].Member.Name)
	}
	for _, base := range []string{withoutLeader, twoHopsAway} {
		_, err := announce(base)
		var e *messenger.Error
		require.True(t, errors.As(err, &e))
		require.Equal(t, cherviltide.KindUnavailable, e.Kind)
	}
	status, err := messenger.Status.Call(t.Context(), client, withoutLeader, &messenger.StatusRequest{})
	require.NoError(t, err)
	require.False(t, status.Confirmed, "a status without a leader is marked as confirmed")
	req.Member.Incarnation = 4
	res, err := announce(follower)
	require.NoError(t, err)
	require.True(t, res.Expelled)
	require.Equal(t, uint64(5), res.Incarnation)
}

// TestMembershipSnapshots guards against a restart that applies the whole membership log. On small machines this took so
// long that one leader after the other lost its leadership.
func TestMembershipSnapshots(t *testing.T) {
	c, ctx := startController(t)
	for i := range 5 * snapshotIntervals[groupMembership] {
		req := &messenger.AnnounceRequest{Member: cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry, Incarnation: i + 1}}
		_, err := c.announce(ctx, req)
		require.NoError(t, err)
		require.NoError(t, c.runInLoop(ctx, func() {
			c.proposeEvents([]cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: req.Member}})
			require.LessOrEqual(t, c.membership.voter.Unsnapshotted(), snapshotIntervals[groupMembership])
		}))
	}
	require.NoError(t, c.runInLoop(ctx, func() { require.Positive(t, c.membership.voter.AppliedIndex()-c.membership.voter.Unsnapshotted()) }))
}
