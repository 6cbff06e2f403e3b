// Package distributor sends configuration and membership to the processes that follow a control instance.
package distributor

import (
	"context"
	"sync"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// Heartbeat is the longest time between two messages of a stream. Followers close a stream that is silent for longer.
const Heartbeat = 500 * time.Millisecond

// State is what followers are to know. It is immutable.
type State struct {
	Revision uint64
	Text     string
	Position uint64
	// Events are the newest events in the order of their positions.
	Events []cherviltide.PlacedEvent
	// Tables has the table of each defined service at Position.
	Tables map[string]*picker.Table
}

// Distributor publishes states to streams. It is safe for concurrent use.
type Distributor struct {
	mu      sync.Mutex
	state   State
	changed chan struct{}
}

// New returns a distributor with an empty state.
func New() *Distributor {
	return &Distributor{changed: make(chan struct{})}
}

// Publish replaces the state and wakes the streams.
func (d *Distributor) Publish(state State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = state
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *Distributor) current() (State, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state, d.changed
}

// Serve sends updates to one follower until ctx ends or sending fails.
func (d *Distributor) Serve(ctx context.Context, req *messenger.FollowRequest, send func(*messenger.FollowUpdate) error) error {
	held := *req
	ticker := time.NewTicker(Heartbeat)
	defer ticker.Stop()
	for {
		state, changed := d.current()
		if err := send(update(state, &held)); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// update returns what a follower lacks and advances what it holds.
func update(state State, held *messenger.FollowRequest) *messenger.FollowUpdate {
	u := &messenger.FollowUpdate{Position: state.Position}
	if state.Revision > held.Revision {
		u.Rules = &messenger.RulesUpdate{Revision: state.Revision, Text: state.Text}
		held.Revision = state.Revision
	}
	for _, e := range state.Events {
		if e.Position <= held.Position || (held.Service != "" && e.Event.Member.Service != held.Service) {
			continue
		}
		u.Events = append(u.Events, e)
	}
	held.Position = max(held.Position, state.Position)
	return u
}
