package follower

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/hedger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/runner"
)

const (
	// streamTimeout is how long a stream may deliver no bytes, not even of a heartbeat, before it is closed as broken.
	streamTimeout cherviltide.Millis = 1_500
	// messageTimeout is how long a stream may deliver no whole message. A large one takes seconds on a thin link that is in use; on
	// another stream it would begin again.
	messageTimeout cherviltide.Millis = 10_000
)

// Config describes the process that follows.
type Config struct {
	Member cherviltide.Member
	// Service limits membership to one service; empty means all.
	Service string
	// WithoutRules is true when the process needs only the control instances, so that rules take nothing of its link.
	WithoutRules bool
	// Control has the base URLs of the control instances; it is never empty.
	Control []string
	// CurrentControlURLs returns the base URLs of the current settings; nil means that Control never changes.
	CurrentControlURLs func() []string
	// Parse reads rules from the operators' configuration; nil means the rules file.
	Parse cherviltide.RulesParser
	// WaitForMember is true when there is no member to announce before StartMember is called.
	WaitForMember bool
	// NewClient returns a client that shares no connections with other clients.
	NewClient func() *http.Client
	// FillAnnouncement sets the fields of an announcement that the data path knows.
	FillAnnouncement func(*messenger.AnnounceRequest)
	Log              *zap.Logger
}

// Follower keeps a View up to date and announces the process.
type Follower struct {
	config  Config
	control instances
	member  atomic.Pointer[cherviltide.Member]
	view    atomic.Pointer[View]
	leaving atomic.Bool
	paused  atomic.Bool
	ended   atomic.Bool
	// noMember is true while there is no member to announce. memberEnded is true once the member has ended; the next
	// accepted announcement then reports it and sets noMember.
	noMember, memberEnded atomic.Bool
	// started is when New was called, in milliseconds since the Unix epoch.
	started cherviltide.Millis
	// wake interrupts the wait between two announcements.
	wake  chan struct{}
	lease lease
	// currentLease is renewed only when the view includes everything that the leader had applied when it granted the lease.
	currentLease lease
	// drainRequested is closed once, when control tells the process to leave.
	drainRequested chan struct{}
	drainOnce      sync.Once
	// needTables makes the next request ask for a snapshot of the tables, needText for the whole rules text.
	needTables atomic.Bool
	needText   atomic.Bool
}

// New returns a follower that has not started.
func New(config Config) *Follower {
	if config.Parse == nil {
		config.Parse = parser.Parse
	}
	if config.CurrentControlURLs == nil {
		config.CurrentControlURLs = func() []string { return config.Control }
	}
	f := &Follower{
		control:        instances{configured: config.CurrentControlURLs},
		config:         config,
		started:        cherviltide.Millis(time.Now().UnixMilli()),
		wake:           make(chan struct{}, 1),
		drainRequested: make(chan struct{}),
	}
	f.member.Store(&config.Member)
	f.noMember.Store(config.WaitForMember)
	f.view.Store(NewView())
	return f
}

// View returns the current view. It is safe for concurrent use and never nil.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Member returns the member as it is announced. Its incarnation grows when control has expelled the process.
func (f *Follower) Member() cherviltide.Member {
	return *f.member.Load()
}

// VoterURLs returns the base URLs of the voters that control has announced.
func (f *Follower) VoterURLs() []string {
	return f.control.voters()
}

// Leaving reports whether the process has asked to receive no new work.
func (f *Follower) Leaving() bool {
	return f.leaving.Load()
}

// IsLeavingOrPaused reports whether the process has asked to receive no new work, either for good (Leave) or until Resume
// or a restart (Pause).
func (f *Follower) IsLeavingOrPaused() bool {
	return f.leaving.Load() || f.paused.Load()
}

// DrainRequested returns a channel that is closed when control tells the process to leave because an operator drains it.
func (f *Follower) DrainRequested() <-chan struct{} {
	return f.drainRequested
}

// Run follows control and announces the process until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group := runner.NewGroup(ctx, 2)
	group.Go("follow", f.followLoop)
	group.Go("announce", f.announceLoop)
	return group.Wait()
}

const (
	// followDelay is how long a control instance may leave a subscription unanswered before another one is asked as well. A
	// connection and a request within a region take a few milliseconds.
	followDelay = 150 * time.Millisecond
	// followsInFlight is the highest number of instances that are asked at the same time.
	followsInFlight = 4
)

// followLoop keeps one subscription open and moves to another instance when it ends.
func (f *Follower) followLoop(ctx context.Context) error {
	retryDelays := backoff{random: rand.Int64N}
	search := hedger.New(followDelay, followsInFlight)
	for ctx.Err() == nil {
		started := time.Now()
		base, err := search.Call(ctx, f.control.toFollow(), f.follow)
		if ctx.Err() != nil {
			return nil
		}
		hasNew := f.control.takeHasNew()
		if hasNew || (base != "" && time.Since(started) > 2*streamTimeout.Duration()) {
			retryDelays.reset()
		}
		wait := retryDelays.next(retryAfter(err))
		f.config.Log.Info("ControlStreamEnded", zap.String("Control", base), zap.Error(err),
			zap.Int64("WaitMs", int64(wait)))
		_ = runner.Sleep(ctx, wait.Duration())
	}
	return nil
}

// retryAfter returns the retry delay that a rejection requests, or 0.
func retryAfter(err error) cherviltide.Millis {
	var remote *messenger.Error
	if errors.As(err, &remote) {
		return remote.RetryDelay
	}
	return 0
}

// follow runs one subscription on a new connection. It wins with the first update that is not a referral to other instances.
func (f *Follower) follow(ctx context.Context, base string, win func() bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(streamTimeout.Duration(), func() { cancel(errStreamTimeout) })
	defer watchdog.Stop()
	messageWatchdog := time.AfterFunc(messageTimeout.Duration(), func() { cancel(errMessageTimeout) })
	defer messageWatchdog.Stop()
	client := f.config.NewClient()
	defer client.CloseIdleConnections()
	receipt := messenger.WithReceipt(ctx, func() { watchdog.Reset(streamTimeout.Duration()) })
	err := messenger.Follow.Call(receipt, client, base, f.followRequest(), func(u *messenger.FollowUpdate) error {
		watchdog.Reset(streamTimeout.Duration())
		messageWatchdog.Reset(messageTimeout.Duration())
		if u.IsReferral() {
			f.control.refer(u.ControlURLs)
			return nil
		}
		if !win() {
			return context.Canceled
		}
		f.control.setFollowed(base)
		return f.acceptUpdate(u)
	})
	if cause := context.Cause(ctx); errors.Is(cause, errStreamTimeout) || errors.Is(cause, errMessageTimeout) {
		err = &Error{cherviltide.Fault{Op: "follower.follow", Kind: cherviltide.KindUnavailable, Err: cause}}
	}
	return err
}

// followRequest describes the state that the process has, so that control sends only what is missing.
func (f *Follower) followRequest() *messenger.FollowRequest {
	view := f.View()
	req := &messenger.FollowRequest{
		Name:     f.config.Member.Name,
		Revision: view.receivedRevision,
		Base:     view.Base,
		Position: view.Position,
		Service:  f.config.Service,

		WithoutRules:       f.config.WithoutRules,
		AcceptsPackedRules: true,
		AcceptsGreeting:    true,
	}
	if f.needTables.Load() {
		req.Position = 0
	}
	if !f.needText.Load() {
		req.RulesDigest = messenger.TextDigest(view.text)
	}
	return req
}
