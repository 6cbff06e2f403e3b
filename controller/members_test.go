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

// elsewhere is the membership log of an instance that does not lead.
type elsewhere struct {
	leader string
	client *http.Client
}

func (e *elsewhere) Record([]byte)                  {}
func (e *elsewhere) Leads() bool                    { return false }
func (e *elsewhere) Current() bool                  { return true }
func (e *elsewhere) Leader() (string, *http.Client) { return e.leader, e.client }

// serve runs a control instance and returns its base URL. It leads unless it has another log.
func serve(t testing.TB, log membershipLog) string {
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

// TestForwarding guards against announcements that are lost, or status lists that are empty, at an instance that does not
// lead, and against requests that are passed on more than once.
func TestForwarding(t *testing.T) {
	client := messenger.NewClient(nil)
	defer client.CloseIdleConnections()
	leader := serve(t, nil)
	follower := serve(t, &elsewhere{leader: leader, client: client})
	lost := serve(t, &elsewhere{client: client})
	chain := serve(t, &elsewhere{leader: follower, client: client})
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
	for _, base := range []string{lost, chain} {
		_, err := announce(base)
		var e *messenger.Error
		require.True(t, errors.As(err, &e))
		require.Equal(t, cherviltide.KindUnavailable, e.Kind)
	}
	status, err := messenger.Status.Call(t.Context(), client, lost, &messenger.StatusRequest{})
	require.NoError(t, err)
	require.False(t, status.Confirmed, "a list without a leader counts as confirmed")
	req.Member.Incarnation = 4
	res, err := announce(follower)
	require.NoError(t, err)
	require.True(t, res.Expelled)
	require.Equal(t, uint64(5), res.Incarnation)
}

// TestMembershipSnapshots guards against a restart that applies the whole membership log, which on small machines took so
// long that leaders were given up one after the other.
func TestMembershipSnapshots(t *testing.T) {
	c, ctx := started(t)
	for i := range 5 * snapshotEvery[groupMembership] {
		req := &messenger.AnnounceRequest{Member: cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry, Incarnation: i + 1}}
		_, err := c.announce(ctx, req)
		require.NoError(t, err)
		require.NoError(t, c.do(ctx, func() {
			c.record([]cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: req.Member}})
			require.LessOrEqual(t, c.membership.voter.Unsnapshotted(), snapshotEvery[groupMembership])
		}))
	}
	require.NoError(t, c.do(ctx, func() { require.Positive(t, c.membership.voter.AppliedIndex()-c.membership.voter.Unsnapshotted()) }))
}
