// Package distributor sends configuration and membership to the processes that follow a control instance.
package distributor

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// Timing of streams.
const (
	// Heartbeat is the longest time between two messages of a stream. Followers close a stream that is silent for longer.
	Heartbeat = 500 * time.Millisecond
	// pace is the shortest time between two messages of a stream, so that a burst of events is one message.
	pace = 20 * time.Millisecond
	// settleTime is how long a new log is kept from followers of another one. Members announce themselves to it in this
	// time; without it the followers would exchange their tables for empty ones.
	settleTime cherviltide.Millis = 5_000
)

var (
	errUnsettled = errors.New("this control instance has a new membership log that members have yet to join")
	errStale     = errors.New("this control instance has lost its majority")
	errBehind    = errors.New("this control instance is behind the follower")
)

// State is what followers are to know. It is immutable.
type State struct {
	Revision uint64
	Text     string
	// Former has the services that routes had under earlier rules.
	Former []cherviltide.FormerServices
	// Base and Position are of the membership log; both are 0 before the log is founded.
	Base     uint64
	Position uint64
	// EventsSince is a position after which no event is missing in Events.
	EventsSince uint64
	// Events are the newest events in the order of their positions.
	Events []cherviltide.PositionedEvent
	// Tables has the table of each defined service at Position.
	Tables map[string]*picker.Table
	// Control has the base URLs of the control instances.
	Control []string
	// Key is the packet key of the membership log.
	Key []byte
	// Stale is set when the instance cannot know whether the state is the newest.
	Stale bool
}

// published is a state with what is derived from it once for all streams.
type published struct {
	State
	history *history
	// digest is over all tables.
	digest func() uint64
	// snapshots has what encodes each table, once for all streams and for all states that share the table.
	snapshots map[string]encoded
	// since is when this instance first published the log's base.
	since cherviltide.Millis
}

// Distributor publishes states to streams. It is safe for concurrent use.
type Distributor struct {
	mu        sync.Mutex
	state     *published
	changed   chan struct{}
	admission *admission
	now       func() cherviltide.Millis
}

// New returns a distributor with an empty state and the default limits.
func New() *Distributor {
	return WithLimits(DefaultLimits)
}

// WithLimits returns a distributor with an empty state.
func WithLimits(limits Limits) *Distributor {
	started := time.Now()
	return &Distributor{
		changed:   make(chan struct{}),
		admission: newAdmission(limits),
		state:     &published{history: &history{}, digest: func() uint64 { return 0 }},
		now:       func() cherviltide.Millis { return cherviltide.MillisOf(time.Since(started)) },
	}
}

// Publish replaces the state and wakes the streams.
func (d *Distributor) Publish(state State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	since := d.state.since
	if state.Base != d.state.Base {
		since = d.now()
	}
	d.state = &published{
		State:     state,
		since:     since,
		snapshots: encode(state.Tables, d.state.snapshots),
		history:   d.state.history.with(d.state.Text, state.Revision, state.Text),
		digest:    sync.OnceValue(func() uint64 { return Digest(state.Tables) }),
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Distributor) current() (*published, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// Serve sends updates to one follower until ctx ends, sending fails or the instance becomes stale. An error of kind
// Unavailable means that the follower is to try another instance, after the time that the error names.
func (d *Distributor) Serve(ctx context.Context, req *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	state := d.awaitMajority(ctx)
	leave, err := d.admission.enter(d.now(), !state.covers(req))
	if err != nil {
		return err
	}
	defer leave()
	return d.stream(ctx, *req, send)
}

// staleWait is how long a new stream waits for an instance that lacks a majority. An election takes less; after a loss of
// power all followers come back before it is over, and a refusal would cost each a retry of several hundred milliseconds.
const staleWait = 300 * time.Millisecond

// awaitMajority returns the state once the instance has a majority, or as it is after the wait.
func (d *Distributor) awaitMajority(ctx context.Context) *published {
	timer := time.NewTimer(staleWait)
	defer timer.Stop()
	for {
		state, changed := d.current()
		if !state.Stale {
			return state
		}
		select {
		case <-ctx.Done():
			return state
		case <-timer.C:
			return state
		case <-changed:
		}
	}
}

func (d *Distributor) stream(ctx context.Context, held messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	var control []string
	var key []byte
	for heartbeat := true; ; {
		state, changed := d.current()
		if err := state.refuses(d.now(), &held); err != nil {
			return err
		}
		u, err := state.update(&held, heartbeat)
		if err != nil {
			return err
		}
		if !bytes.Equal(key, state.Key) {
			key, u.PacketKey = state.Key, state.Key
		}
		if !slices.Equal(control, state.Control) {
			control, u.ControlURLs = state.Control, state.Control
		}
		if err := send(u); err != nil {
			return err
		}
		heartbeat = false
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pace):
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
			heartbeat = true
		}
	}
}

// refuses returns why a follower is better served by another instance.
func (p *published) refuses(now cherviltide.Millis, held *messenger.FollowRequest) error {
	switch {
	case held.Base != 0 && p.Base == 0, held.Base != 0 && p.Base != held.Base && now-p.since < settleTime:
		return refusal("distributor.Serve", errUnsettled, staleRetry)
	case p.Stale:
		return refusal("distributor.Serve", errStale, staleRetry)
	case p.Base == held.Base && p.Position < held.Position:
		return refusal("distributor.Serve", errBehind, staleRetry)
	}
	return nil
}
