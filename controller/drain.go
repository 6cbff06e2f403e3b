package controller

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

// Timing of a drain request.
const (
	// drainTimeout bounds the wait for a majority to commit the event.
	drainTimeout      = 3 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

var (
	errNoMember     = errors.New("no member has this name")
	errNotCommitted = errors.New("the membership log did not commit the drain in time; it may still do so")
)

// drain adds the event Leaving of a member to the membership log, so that the member receives no new work. The response to
// the member's next announcement tells it to finish and end. Since the event is in the replicated log, the drain survives
// the loss of a control instance. drain returns after a majority has stored the event, or at once when the member is dead.
// A drain may be repeated.
func (c *Controller) drain(ctx context.Context, req *messenger.DrainRequest) (*messenger.DrainResponse, error) {
	leads := false
	var state cherviltide.MemberState
	if err := c.runInLoop(ctx, func() { leads, state = c.tracker.IsLeader(), c.proposeLeaving(req) }); err != nil {
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
		case <-time.After(drainPollInterval):
		}
		if err := c.runInLoop(ctx, func() { state = c.memberState(req.Member) }); err != nil {
			return nil, &Error{cherviltide.Fault{Op: "controller.drain", Kind: cherviltide.KindInternal, Err: errNotCommitted}}
		}
	}
	return &messenger.DrainResponse{State: state}, nil
}

// proposeLeaving proposes the event Leaving if this instance leads, and returns the member's state, which is empty for an
// unknown member.
func (c *Controller) proposeLeaving(req *messenger.DrainRequest) cherviltide.MemberState {
	record, ok := c.tracker.Lookup(req.Member)
	if ok && c.tracker.IsLeader() && record.State != cherviltide.StateLeaving {
		c.config.Log.Info("DrainAsked", zap.String("Member", req.Member), zap.String("Operator", req.Operator))
		c.proposeEvents([]cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: record.Member}})
	}
	return c.memberState(req.Member)
}

// memberState returns the state of a member; it is empty for a name that the membership state does not contain.
func (c *Controller) memberState(name string) cherviltide.MemberState {
	if record, ok := c.tracker.Lookup(name); ok {
		return record.State
	}
	if incarnation, _ := c.tracker.NewestIncarnation(cherviltide.Member{Name: name}); incarnation > 0 {
		return cherviltide.StateDead
	}
	return ""
}

// forwardDrain forwards a drain to the leader.
func (c *Controller) forwardDrain(ctx context.Context, req *messenger.DrainRequest) (*messenger.DrainResponse, error) {
	if req.Forwarded {
		return nil, unavailableError("controller.drain", errNoLeader)
	}
	base, client, err := c.membershipLeader(ctx)
	if err != nil {
		return nil, err
	}
	forwarded := *req
	forwarded.Forwarded = true
	return messenger.Drain.Call(ctx, client, base, &forwarded)
}

// mustLeave reports whether a member is in the state Leaving but has not announced that it leaves.
func (c *Controller) mustLeave(req *messenger.AnnounceRequest) bool {
	record, ok := c.tracker.Lookup(req.Member.Name)
	return ok && !req.Leaving && record.State == cherviltide.StateLeaving && record.Member.Incarnation == req.Member.Incarnation
}
