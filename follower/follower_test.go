package follower_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/faultproxy"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// eventTimeout bounds the wait for something that must happen; no test depends on how soon it happens.
const eventTimeout = 40 * time.Second

// testControl is a control instance that only has a tracker and a distributor, without replication. It is safe for
// concurrent use.
type testControl struct {
	mu          sync.Mutex
	tracker     *tracker.Tracker
	distributor *distributor.Distributor
	index       uint64
	revision    uint64
	text        string
	address     string
	mux         *http.ServeMux
	close       func()
	// expelled is the newest incarnation that the instance treats as dead.
	expelled atomic.Uint64
	// editUpdate changes each update before it is sent.
	editUpdate func(*messenger.FollowUpdate)
}

func newTestControl(t *testing.T, bootstrappedAt cherviltide.Millis) *testControl {
	x := &testControl{tracker: tracker.New(), distributor: distributor.New()}
	mux := http.NewServeMux()
	messenger.Follow.Handle(mux, func(ctx context.Context, req *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
		return x.distributor.Serve(ctx, req, func(u *messenger.FollowUpdate) error {
			x.mu.Lock()
			if x.editUpdate != nil {
				x.editUpdate(u)
			}
			x.mu.Unlock()
			return send(u)
		})
	})
	messenger.Announce.Handle(mux, func(_ context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
		if known := x.expelled.Load(); req.Member.Incarnation <= known {
			return &messenger.AnnounceResponse{Expelled: true, Incarnation: known}, nil
		}
		return &messenger.AnnounceResponse{Lease: tracker.LeaseDuration}, nil
	})
	x.mux, x.address = mux, "127.0.0.1:0"
	x.serve(t)
	x.commit(tracker.NewFoundedEvent(bootstrappedAt), cherviltide.MemberEvent{
		Type: cherviltide.EventDefined, Member: cherviltide.Member{Service: "desk"}, Buckets: 64,
	})
	return x
}

// serve listens on the instance's address until close.
func (x *testControl) serve(t *testing.T) {
	listener, err := net.Listen("tcp", x.address)
	require.NoError(t, err)
	server := messenger.NewServer(x.mux, nil)
	go func() { _ = server.Serve(listener) }()
	x.address, x.close = listener.Addr().String(), func() { _ = server.Close() }
	t.Cleanup(x.close)
}

// commit appends events to the membership log and publishes the state.
func (x *testControl) commit(events ...cherviltide.MemberEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			panic(err)
		}
		x.index++
		x.tracker.Apply(x.index, entry)
	}
	x.publish()
}

// apply accepts revisions up to the given one; each appends a customer.
func (x *testControl) apply(revision uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for x.revision < revision {
		x.revision++
		if x.text == "" {
			x.text = "Service desk Address 127.9.0.1:443 Buckets 64 # requested by test\n"
		}
		x.text += fmt.Sprintf("Customer c%d Services desk # requested by test\n", x.revision)
		x.publish()
	}
}

func (x *testControl) publish() {
	events, oldest := x.tracker.Events()
	x.distributor.Publish(distributor.State{
		Revision: x.revision, Text: x.text, Base: x.tracker.Base(), Position: x.tracker.Position(),
		EventsSince: oldest, Events: events, Tables: x.tracker.Tables(), Evacuated: x.tracker.EvacuatedDomains(),
	})
}

// has reports whether a view is equal to the instance's state.
func (x *testControl) has(view *follower.View) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	table, ok := view.Tables["desk"]
	return ok && view.Rules.Revision == x.revision && view.Position == x.tracker.Position() &&
		len(view.Rules.Customers) == int(x.revision) && table.Digest() == x.tracker.Tables()["desk"].Digest()
}

func joined(i int, incarnation uint64) cherviltide.MemberEvent {
	return cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: cherviltide.Member{
		Name: fmt.Sprintf("desk-%d", i), Role: cherviltide.RoleAgent, Service: "desk", Weight: 1000,
		Incarnation: incarnation, Address: netip.MustParseAddrPort("127.0.0.1:1000"),
	}}
}

func newFollower(addresses ...string) *follower.Follower {
	var urls []string
	for _, a := range addresses {
		urls = append(urls, "http://"+a)
	}
	return follower.New(follower.Config{
		Member: cherviltide.Member{Name: "entry-1", Role: cherviltide.RoleEntry}, Control: urls,
		NewClient:        func() *http.Client { return messenger.NewClient(nil) },
		FillAnnouncement: func(*messenger.AnnounceRequest) {}, Log: zap.NewNop(),
	})
}

// start runs a follower and returns a function that stops it.
func start(t *testing.T, f *follower.Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	stop = sync.OnceFunc(func() { cancel(); require.NoError(t, <-done) })
	t.Cleanup(stop)
	return stop
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, eventTimeout, 10*time.Millisecond, what)
}

// TestSilentStream guards against a follower that waits forever on a stream that is open but delivers nothing.
func TestSilentStream(t *testing.T) {
	x := newTestControl(t, 1_000)
	x.apply(1)
	proxy, err := faultproxy.Listen(x.address)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- proxy.Run(ctx) }()
	f := newFollower(proxy.Address())
	stop := start(t, f)
	eventually(t, "first state", func() bool { return x.has(f.View()) })
	require.Positive(t, proxy.Blackhole())
	x.commit(joined(1, 1))
	x.apply(2)
	require.False(t, x.has(f.View()), "the silent stream still delivers")
	eventually(t, "state after the stream timeout", func() bool { return x.has(f.View()) })
	stop()
	cancel()
	require.NoError(t, <-ended)
}

// TestMissedChanges guards against a follower with a wrong state after it was disconnected during many changes, also more
// than control keeps.
func TestMissedChanges(t *testing.T) {
	tests := map[string]struct{ events, revisions int }{
		"hundreds of events":        {500, 1},
		"more events than are kept": {9_000, 1},
		"hundreds of revisions":     {1, 300},
		"more revisions than kept":  {1, 700},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			x := newTestControl(t, 1_000)
			x.apply(1)
			x.commit(joined(1, 1), joined(2, 1), joined(3, 1))
			f := newFollower(x.address)
			stop := start(t, f)
			eventually(t, "first state", func() bool { return x.has(f.View()) })
			stop()
			var missed []cherviltide.MemberEvent
			for i := range test.events {
				missed = append(missed, joined(i%5, uint64(2+i)))
			}
			x.commit(missed...)
			x.apply(uint64(1 + test.revisions))
			require.False(t, x.has(f.View()))
			start(t, f)
			eventually(t, "state after the reconnection", func() bool { return x.has(f.View()) })
		})
	}
}

// TestDivergence guards against a follower whose tables stay different from those of control. Without digests they do.
func TestDivergence(t *testing.T) {
	for name, digests := range map[string]bool{"digests": true, "without digests": false} {
		t.Run(name, func(t *testing.T) {
			x := newTestControl(t, 1_000)
			x.apply(1)
			heartbeats := make(chan struct{}, 100)
			x.editUpdate = func(u *messenger.FollowUpdate) {
				if u.Digest != 0 && len(heartbeats) < cap(heartbeats) {
					heartbeats <- struct{}{}
				}
				u.Events = nil
				if !digests {
					u.Digest = 0
				}
			}
			f := newFollower(x.address)
			start(t, f)
			eventually(t, "first state", func() bool { return x.has(f.View()) })
			x.commit(joined(1, 1))
			if digests {
				eventually(t, "corrected state", func() bool { return x.has(f.View()) })
				return
			}
			for range 4 {
				<-heartbeats
			}
			require.False(t, x.has(f.View()), "the state was corrected without digests")
		})
	}
}

// TestRevisionNeverLower guards against a follower that returns to an older configuration, and against one that drops its
// view when control is unreachable or has lost its logs.
func TestRevisionNeverLower(t *testing.T) {
	newer := newTestControl(t, 1_000)
	newer.apply(5)
	newer.commit(joined(1, 1))
	rebuilt := newTestControl(t, 2_000)
	rebuilt.close()
	f := newFollower(newer.address, rebuilt.address)
	start(t, f)
	eventually(t, "newer state", func() bool { return newer.has(f.View()) })
	newer.close()
	held := f.View()
	rebuilt.apply(3)
	rebuilt.commit(joined(2, 1))
	rebuilt.serve(t)
	eventually(t, "tables of the new log", func() bool { return f.View().Base != held.Base })
	require.Equal(t, uint64(5), f.View().Rules.Revision)
	require.Equal(t, rebuilt.tracker.Tables()["desk"].Digest(), f.View().Tables["desk"].Digest())
	rebuilt.apply(6)
	eventually(t, "revision above the held one", func() bool { return rebuilt.has(f.View()) })
	last := f.View()
	rebuilt.close()
	require.Same(t, last, f.View(), "the view changed without control")
}

// TestExpelled guards against a process that does not rejoin after control declared it dead, and against one that relies on
// a lease that it has lost.
func TestExpelled(t *testing.T) {
	x := newTestControl(t, 1_000)
	x.expelled.Store(1 << 63)
	f := newFollower(x.address)
	require.Zero(t, f.LeaseUntil(), "a lease before the first announcement")
	start(t, f)
	eventually(t, "lease under a newer incarnation", func() bool { return f.LeaseUntil() > 0 })
	require.Greater(t, f.Member().Incarnation, uint64(1<<63))
	x.expelled.Store(f.Member().Incarnation)
	eventually(t, "lease under another incarnation", func() bool {
		return f.Member().Incarnation > x.expelled.Load() && f.LeaseUntil() > 0
	})
	x.close()
	eventually(t, "end of the lease without control", func() bool { return f.LeaseUntil() == 0 })
}
