// Package distributor streams the configuration and the membership to the processes that follow a control instance.
package distributor

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/prober"
)

// Timing of streams.
const (
	// HeartbeatInterval is the longest time between two messages of a stream. Followers close a stream on which they receive
	// nothing for several intervals.
	HeartbeatInterval = 500 * time.Millisecond
	// minUpdateInterval is the shortest time between two messages of a stream, so that a burst of events is sent as one.
	minUpdateInterval = 20 * time.Millisecond
	// newLogDelay is how long a new membership log is withheld from followers of another log. Members announce themselves to
	// the new log meanwhile; without the delay followers would replace their tables by empty ones.
	newLogDelay cherviltide.Millis = 5_000
)

var (
	errNewLog = errors.New("this control instance has a new membership log that members have not joined yet")
	errStale  = errors.New("this control instance has no contact to a majority")
	errBehind = errors.New("this control instance is behind the follower")
)

// State is the configuration and membership to distribute. It is immutable.
type State struct {
	Revision uint64
	Text     string
	// Former has the services that routes had under earlier rules.
	Former []cherviltide.FormerServices
	// Base and Position are those of the membership log; both are 0 before the log is bootstrapped.
	Base     uint64
	Position uint64
	// EventsSince is a position after which Events is complete.
	EventsSince uint64
	// Events are the newest events in the order of their positions.
	Events []cherviltide.PositionedEvent
	// Tables has the table of each defined service at Position.
	Tables map[string]*picker.Table
	// Evacuated has the evacuated failure domains at Position, in the order of their names.
	Evacuated []string
	// Control has the base URLs of the control instances.
	Control []string
	// Key is the packet key of the membership log.
	Key []byte
	// Stale is set while the instance has no contact to a majority of the configuration or of the membership and so cannot
	// tell whether the state is the newest.
	Stale bool
}

// publishedState is a state with the data that is derived from it once for all streams.
type publishedState struct {
	State
	history *history
	// tablesDigest returns the digest of all tables.
	tablesDigest func() uint64
	// snapshots has the tables with their encoded forms, which all streams and all states with the same table share.
	snapshots map[string]encodedTable
	// rules has the rules updates to the revision, which all states with the same revision share.
	rules *sharedRules
	// baseSince is when this instance first published the log's base.
	baseSince cherviltide.Millis
}

// Distributor sends published states to the streams of followers. It is safe for concurrent use.
type Distributor struct {
	mu        sync.Mutex
	state     *publishedState
	changed   chan struct{}
	admission *admission
	// inFlight has the bytes of rules and tables that may be sent at the same time.
	inFlight *semaphore.Weighted
	// rulesSent has the time that each update with rules took until the follower's connection had accepted it.
	rulesSent *prober.Histogram
	now       func() cherviltide.Millis
}

// New returns a distributor with an empty state and the default limits.
func New() *Distributor {
	return NewWithLimits(DefaultLimits)
}

// NewWithLimits returns a distributor with an empty state and the given limits.
func NewWithLimits(limits Limits) *Distributor {
	started := time.Now()
	return &Distributor{
		changed:   make(chan struct{}),
		admission: newAdmission(limits),
		inFlight:  semaphore.NewWeighted(maxBytesInFlight),
		rulesSent: prober.NewHistogram(),
		state:     &publishedState{history: &history{}, tablesDigest: func() uint64 { return 0 }, rules: newSharedRules()},
		now:       func() cherviltide.Millis { return cherviltide.MillisOf(time.Since(started)) },
	}
}

// Publish replaces the state and wakes the streams.
func (d *Distributor) Publish(state State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	baseSince := d.state.baseSince
	if state.Base != d.state.Base {
		baseSince = d.now()
	}
	rules := d.state.rules
	if state.Revision != d.state.Revision || state.Text != d.state.Text {
		rules = newSharedRules()
	}
	d.state = &publishedState{
		State:        state,
		baseSince:    baseSince,
		rules:        rules,
		snapshots:    encodeTables(state.Tables, d.state.snapshots),
		history:      d.state.history.withText(d.state.Text, state.Revision, state.Text),
		tablesDigest: sync.OnceValue(func() uint64 { return Digest(state.Tables) }),
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Distributor) current() (*publishedState, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// Serve sends updates to one follower until ctx ends, sending fails or the instance becomes stale. After an error of kind
// Unavailable the follower has to try another instance, no earlier than the delay in the error.
func (d *Distributor) Serve(ctx context.Context, req *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	state := d.awaitMajority(ctx)
	release, err := d.admission.admit(d.now(), !state.hasEventsFor(req))
	if err != nil {
		return err
	}
	defer release()
	if req.AcceptsGreeting {
		refusal := state.refusalFor(d.now(), req)
		if refusal == nil || len(state.Control) > 0 {
			if err := send(&messenger.FollowUpdate{Greeting: refusal == nil, ControlURLs: state.Control}); err != nil {
				return err
			}
		}
		if refusal != nil {
			return refusal
		}
	}
	return d.stream(ctx, *req, send)
}

// majorityTimeout is how long a new stream waits on an instance without a majority. An election takes less. After a power
// failure all followers reconnect before the election is over; rejecting them would cost each a retry of several hundred
// milliseconds.
const majorityTimeout = 300 * time.Millisecond

// awaitMajority returns the state once the instance has a majority, or the current state after majorityTimeout.
func (d *Distributor) awaitMajority(ctx context.Context) *publishedState {
	timer := time.NewTimer(majorityTimeout)
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

// stream sends updates to an admitted follower. held is what the follower has received so far.
func (d *Distributor) stream(ctx context.Context, held messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	var control []string
	var key []byte
	for heartbeat := true; ; {
		state, changed := d.current()
		if err := state.refusalFor(d.now(), &held); err != nil {
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
		if err := d.sendLimited(ctx, u, send); err != nil {
			return err
		}
		heartbeat = false
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(minUpdateInterval):
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

// maxBytesInFlight bounds the rules and tables that are being sent to all followers together. A follower that accepts no bytes
// occupies its share until its connection is closed.
const maxBytesInFlight = 8 << 20

// sendLimited sends an update once its rules and tables fit the bound of bytes in flight.
func (d *Distributor) sendLimited(ctx context.Context, u *messenger.FollowUpdate, send func(*messenger.FollowUpdate) error) error {
	if u.HasRules() {
		defer func(started time.Time) { d.rulesSent.Record(cherviltide.MillisOf(time.Since(started))) }(time.Now())
	}
	size := int64(min(u.Size(), maxBytesInFlight))
	if err := d.inFlight.Acquire(ctx, size); err != nil {
		return nil // The stream has ended.
	}
	defer d.inFlight.Release(size)
	return send(u)
}

// RegisterMetrics registers the distributor's metrics with a prober.
func (d *Distributor) RegisterMetrics(p *prober.Prober) {
	p.Metric("Rules.SendMs", d.rulesSent.Value)
}

// refusalFor returns the reason why a follower has to use another instance, or nil.
func (p *publishedState) refusalFor(now cherviltide.Millis, held *messenger.FollowRequest) error {
	switch {
	case held.Base != 0 && p.Base == 0, held.Base != 0 && p.Base != held.Base && now-p.baseSince < newLogDelay:
		return newRefusal("distributor.Serve", errNewLog, staleRetryDelay)
	case p.Stale:
		return newRefusal("distributor.Serve", errStale, staleRetryDelay)
	case p.Base == held.Base && (p.Position < held.Position || p.Revision < held.Revision):
		return newRefusal("distributor.Serve", errBehind, staleRetryDelay)
	}
	return nil
}
