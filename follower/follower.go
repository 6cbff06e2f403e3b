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
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/runner"
)

// silence is how long a stream may bring nothing, heartbeats included, before it counts as broken.
const silence cherviltide.Millis = 1_500

// Config describes the process that follows.
type Config struct {
	Member cherviltide.Member
	// Service limits membership to one service; empty means all.
	Service string
	// Control has the base URLs of the control instances; it is never empty.
	Control []string
	// CurrentControlURLs returns the base URLs after a change of the settings; nil means that Control stays as it is.
	CurrentControlURLs func() []string
	// Parse reads rules from the operators' configuration; nil means the rules file.
	Parse cherviltide.RulesParser
	// WaitForMember is true when there is nothing to announce until StartMember.
	WaitForMember bool
	// NewClient returns a client with connections of its own.
	NewClient func() *http.Client
	// FillAnnouncement fills in the data path's part of an announcement.
	FillAnnouncement func(*messenger.AnnounceRequest)
	Log              *zap.Logger
}

// Follower keeps a View current.
type Follower struct {
	config  Config
	control instances
	member  atomic.Pointer[cherviltide.Member]
	view    atomic.Pointer[View]
	leaving atomic.Bool
	paused  atomic.Bool
	ended   atomic.Bool
	// absent is true while there is nothing to announce, gone until control has heard that the member has ended.
	absent, gone atomic.Bool
	started      cherviltide.Millis
	// wake interrupts the wait between two announcements.
	wake  chan struct{}
	lease lease
	// current is the lease as far as the view included all that the leader had applied when it granted it.
	current lease
	// drained is closed once, when control tells the process to leave.
	drained   chan struct{}
	drainOnce sync.Once
	// resync asks for a snapshot of the tables, wholeText for the whole rules text.
	resync    atomic.Bool
	wholeText atomic.Bool
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
		control: instances{configured: config.CurrentControlURLs},
		config:  config,
		started: cherviltide.Millis(time.Now().UnixMilli()),
		wake:    make(chan struct{}, 1),
		drained: make(chan struct{}),
	}
	f.member.Store(&config.Member)
	f.absent.Store(config.WaitForMember)
	f.view.Store(NewView())
	return f
}

// View returns the current view. It is safe for concurrent use and never nil.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Member returns the process as it announces itself. Its incarnation grows when control has expelled the process.
func (f *Follower) Member() cherviltide.Member {
	return *f.member.Load()
}

// VoterURLs returns the base URLs of the control instances with a disk that control has named.
func (f *Follower) VoterURLs() []string {
	return f.control.named()
}

// Leaving reports whether the process has asked to receive nothing new.
func (f *Follower) Leaving() bool {
	return f.leaving.Load()
}

// IsLeavingOrPaused reports whether the process has asked to receive nothing new, for good or until it has started again.
func (f *Follower) IsLeavingOrPaused() bool {
	return f.leaving.Load() || f.paused.Load()
}

// Drained returns a channel that is closed when an operator has asked control to make the process leave.
func (f *Follower) Drained() <-chan struct{} {
	return f.drained
}

// Run follows and announces until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group := runner.NewGroup(ctx, 2)
	group.Go("follow", f.followLoop)
	group.Go("announce", f.announceLoop)
	return group.Wait()
}

// pick returns the control instance of an attempt.
func (f *Follower) pick(attempt int) string {
	return f.control.pick(attempt)
}

// followLoop holds one subscription at a time and moves to another instance when it breaks.
func (f *Follower) followLoop(ctx context.Context) error {
	attempt := rand.IntN(len(f.config.Control))
	waits := backoff{random: rand.Int64N}
	for ctx.Err() == nil {
		started := time.Now()
		base := f.pick(attempt)
		err := f.follow(ctx, base)
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(started) > 2*silence.Duration() {
			waits.reset()
		}
		if f.control.changed() {
			// The instance named others to follow.
			waits.reset()
			attempt = -1
		}
		wait := waits.next(retryAfter(err))
		f.config.Log.Info("ControlStreamEnded", zap.String("Control", base), zap.Error(err),
			zap.Int64("WaitMs", int64(wait)))
		attempt++
		_ = runner.Sleep(ctx, wait.Duration())
	}
	return nil
}

// retryAfter returns the wait that a refusal asks for, or 0.
func retryAfter(err error) cherviltide.Millis {
	var remote *messenger.Error
	if errors.As(err, &remote) {
		return remote.RetryDelay
	}
	return 0
}

// follow runs one subscription on a connection of its own.
func (f *Follower) follow(ctx context.Context, base string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := f.config.NewClient()
	defer client.CloseIdleConnections()
	watchdog := time.AfterFunc(silence.Duration(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	err := messenger.Follow.Call(ctx, client, base, f.request(), func(u *messenger.FollowUpdate) error {
		watchdog.Reset(silence.Duration())
		return f.accept(u)
	})
	if errors.Is(context.Cause(ctx), errSilent) {
		return &Error{cherviltide.Fault{Op: "follower.follow", Kind: cherviltide.KindUnavailable, Err: errSilent}}
	}
	return err
}

// request tells what the process holds, so that control sends the rest.
func (f *Follower) request() *messenger.FollowRequest {
	view := f.View()
	req := &messenger.FollowRequest{
		Name:     f.config.Member.Name,
		Revision: view.received,
		Base:     view.Base,
		Position: view.Position,
		Service:  f.config.Service,
	}
	if f.resync.Load() {
		req.Position = 0
	}
	if !f.wholeText.Load() {
		req.RulesDigest = messenger.TextDigest(view.text)
	}
	return req
}
