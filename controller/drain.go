package controller

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// Times of a drain.
const (
	// drainTimeout bounds the wait for the majority's agreement.
	drainTimeout = 3 * time.Second
	drainPoll    = 50 * time.Millisecond
)

var (
	errNoMember     = errors.New("no member has this name")
	errNotCommitted = errors.New("the membership log did not accept the drain in time; it may still do so")
)

// drain puts the event Leaving of a member into the membership log, so the member receives nothing new. The answer to
// the member's next announcement tells it to finish and end. The log carries the mark, so it survives a control instance.
// It returns after a majority has the event, or at once when the member is dead. A drain may be repeated.
func (c *Controller) drain(ctx context.Context, req *messenger.DrainRequest) (*messenger.DrainResponse, error) {
	leads := false
	var state cherviltide.MemberState
	if err := c.do(ctx, func() { leads, state = c.tracker.IsLeader(), c.markLeaving(req) }); err != nil {
		return nil, err
	}
	if !leads {
		return c.forwardDrain(ctx, req)
	}
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for state != cherviltide.StateLeaving && state != cherviltide.StateDead {
		if state == "" {
			return nil, &Error{cherviltide.Fault{Op: "controller.drain", Kind: cherviltide.KindInvalid, Err: errNoMember}}
		}
		select {
		case <-ctx.Done():
			return nil, &Error{cherviltide.Fault{Op: "controller.drain", Kind: cherviltide.KindInternal, Err: errNotCommitted}}
		case <-time.After(drainPoll):
		}
		if err := c.do(ctx, func() { state = c.memberState(req.Member) }); err != nil {
			return nil, &Error{cherviltide.Fault{Op: "controller.drain", Kind: cherviltide.KindInternal, Err: errNotCommitted}}
		}
	}
	return &messenger.DrainResponse{State: state}, nil
}

// markLeaving proposes the event on the leader and returns the member's state, which is empty for an unknown member.
func (c *Controller) markLeaving(req *messenger.DrainRequest) cherviltide.MemberState {
	entry, ok := c.tracker.Lookup(req.Member)
	if ok && c.tracker.IsLeader() && entry.State != cherviltide.StateLeaving {
		c.config.Log.Info("DrainAsked", zap.String("Member", req.Member), zap.String("Operator", req.Operator))
		c.record([]cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: entry.Member}})
	}
	return c.memberState(req.Member)
}

// memberState returns the state of a member; it is empty for a name that the membership log does not remember.
func (c *Controller) memberState(name string) cherviltide.MemberState {
	if entry, ok := c.tracker.Lookup(name); ok {
		return entry.State
	}
	if incarnation, _ := c.tracker.NewestIncarnation(cherviltide.Member{Name: name}); incarnation > 0 {
		return cherviltide.StateDead
	}
	return ""
}

// forwardDrain passes a drain on to the leader.
func (c *Controller) forwardDrain(ctx context.Context, req *messenger.DrainRequest) (*messenger.DrainResponse, error) {
	if req.Forwarded {
		return nil, unavailable("controller.drain", errNoLeader)
	}
	base, client, err := c.leader(ctx)
	if err != nil {
		return nil, err
	}
	forwarded := *req
	forwarded.Forwarded = true
	return messenger.Drain.Call(ctx, client, base, &forwarded)
}

// mustLeave reports whether a member that doesn't know it yet is to leave.
func (c *Controller) mustLeave(req *messenger.AnnounceRequest) bool {
	entry, ok := c.tracker.Lookup(req.Member.Name)
	return ok && !req.Leaving && entry.State == cherviltide.StateLeaving && entry.Member.Incarnation == req.Member.Incarnation
}
