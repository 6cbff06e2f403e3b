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

// Timing of subscriptions.
const (
	// silence is how long a stream may bring nothing, heartbeats included, before it counts as broken.
	silence cherviltide.Millis = 3_000
	// retryBase and retryMax bound the wait before the next attempt at another control instance.
	retryBase cherviltide.Millis = 100
	retryMax  cherviltide.Millis = 5_000
	// announceInterval is the time between two announcements.
	announceInterval cherviltide.Millis = 1_000
)

var errSilent = errors.New("control stream is silent")

// Config describes the process that follows.
type Config struct {
	Member cherviltide.Member
	// Service limits membership to one service; empty means all.
	Service string
	// Control has the base URLs of the control instances; it is never empty.
	Control []string
	// NewClient returns a client with connections of its own.
	NewClient func() *http.Client
	// Report fills in the data path's part of an announcement.
	Report func(*messenger.AnnounceRequest)
	Log    *zap.Logger
}

// Follower keeps a View current.
type Follower struct {
	config  Config
	view    atomic.Pointer[View]
	leaving atomic.Bool
	ended   atomic.Bool
	started cherviltide.Millis
	wake    chan struct{}
	leaseMs atomic.Int64
	// drained is closed once, when control tells the process to leave.
	drained   chan struct{}
	drainOnce sync.Once
}

// New returns a follower that has not started.
func New(config Config) *Follower {
	f := &Follower{config: config, started: cherviltide.Millis(time.Now().UnixMilli()), wake: make(chan struct{}, 1), drained: make(chan struct{})}
	f.view.Store(NewView())
	return f
}

// View returns the current view. It is safe for concurrent use and never nil.
func (f *Follower) View() *View {
	return f.view.Load()
}

// Leave asks control to send the process nothing new.
func (f *Follower) Leave() {
	f.leaving.Store(true)
	f.signal()
}

// Leaving reports whether the process has asked to receive nothing new.
func (f *Follower) Leaving() bool {
	return f.leaving.Load()
}

// Drained returns a channel that is closed when an operator has asked control to make the process leave.
func (f *Follower) Drained() <-chan struct{} {
	return f.drained
}

// End tells control that the process has finished. It returns after control has answered or ctx has ended.
func (f *Follower) End(ctx context.Context) error {
	f.ended.Store(true)
	return f.announce(ctx, f.config.NewClient(), f.pick(0))
}

// Run follows and announces until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	group := runner.NewGroup(ctx, 2)
	group.Go("follow", f.followLoop)
	group.Go("announce", f.announceLoop)
	return group.Wait()
}

func (f *Follower) signal() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

func (f *Follower) pick(attempt int) string {
	return f.config.Control[attempt%len(f.config.Control)]
}

// followLoop holds one subscription at a time and moves to another instance when it breaks.
func (f *Follower) followLoop(ctx context.Context) error {
	attempt := rand.IntN(len(f.config.Control))
	wait := retryBase
	for ctx.Err() == nil {
		started := time.Now()
		err := f.follow(ctx, f.pick(attempt))
		if ctx.Err() != nil {
			return nil
		}
		if time.Since(started) > silence.Duration() {
			wait = retryBase
		}
		f.config.Log.Info("ControlStreamEnded", zap.String("Control", f.pick(attempt)), zap.Error(err))
		attempt++
		sleep(ctx, cherviltide.Millis(rand.Int64N(int64(wait))+1))
		wait = min(wait*2, retryMax)
	}
	return nil
}

// follow runs one subscription on a connection of its own.
func (f *Follower) follow(ctx context.Context, base string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	client := f.config.NewClient()
	defer client.CloseIdleConnections()
	watchdog := time.AfterFunc(silence.Duration(), func() { cancel(errSilent) })
	defer watchdog.Stop()
	view := f.View()
	req := &messenger.FollowRequest{
		Name:     f.config.Member.Name,
		Revision: view.Rules.Revision,
		Position: view.Position,
		Service:  f.config.Service,
	}
	err := messenger.Follow.Call(ctx, client, base, req, func(u *messenger.FollowUpdate) error {
		watchdog.Reset(silence.Duration())
		return f.accept(u)
	})
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, context.Canceled) {
		err = cause
	}
	return err
}

// accept publishes the view after an update.
func (f *Follower) accept(u *messenger.FollowUpdate) error {
	view := f.View()
	if u.Rules != nil {
		rules, err := parser.Parse(u.Rules.Text)
		if err != nil {
			return &Error{cherviltide.Fault{Op: "follower.accept", Kind: cherviltide.KindDamaged, Err: err}}
		}
		view = view.WithRules(rules.WithRevision(u.Rules.Revision))
	}
	if len(u.Events) > 0 {
		view = view.WithEvents(u.Events)
	}
	if u.Position > view.Position {
		next := *view
		next.Position = u.Position
		view = &next
	}
	f.view.Store(view)
	return nil
}

// announceLoop renews the lease and tries another control instance after each failure.
func (f *Follower) announceLoop(ctx context.Context) error {
	client := f.config.NewClient()
	attempt := rand.IntN(len(f.config.Control))
	for ctx.Err() == nil {
		if err := f.announce(ctx, client, f.pick(attempt)); err != nil && ctx.Err() == nil {
			f.config.Log.Info("AnnounceFailed", zap.String("Control", f.pick(attempt)), zap.Error(err))
			attempt++
			client.CloseIdleConnections()
			client = f.config.NewClient()
		}
		f.pause(ctx)
	}
	return nil
}

func (f *Follower) pause(ctx context.Context) {
	timer := time.NewTimer(announceInterval.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

func (f *Follower) announce(ctx context.Context, client *http.Client, base string) error {
	ctx, cancel := context.WithTimeout(ctx, silence.Duration())
	defer cancel()
	req := &messenger.AnnounceRequest{
		Member:       f.config.Member,
		Leaving:      f.leaving.Load(),
		Ended:        f.ended.Load(),
		RevisionSeen: f.View().Rules.Revision,
		Started:      f.started,
	}
	f.config.Report(req)
	res, err := messenger.Announce.Call(ctx, client, base, req)
	if err != nil {
		return err
	}
	f.leaseMs.Store(int64(res.Lease))
	if res.Leave {
		f.drainOnce.Do(func() { close(f.drained) })
	}
	return nil
}

func sleep(ctx context.Context, span cherviltide.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
