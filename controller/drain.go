package controller

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
)

var (
	errNoMember = errors.New("no member has this name")
	errDead     = errors.New("the member is dead already")
)

// drain puts the event Leaving of a member into the membership log, so the member receives nothing new. The answer to
// the member's next announcement tells it to finish and end. The log carries the mark, so it survives a control instance.
func (c *Controller) drain(ctx context.Context, req *messenger.DrainRequest) (*messenger.DrainResponse, error) {
	res := &messenger.DrainResponse{}
	var refused error
	err := c.do(ctx, func() {
		entry, ok := c.tracker.Entry(req.Member)
		switch {
		case !ok:
			refused = &Error{cherviltide.Fault{Op: "controller.drain", Kind: cherviltide.KindInvalid, Err: errNoMember}}
			return
		case entry.State == cherviltide.StateDead:
			refused = &Error{cherviltide.Fault{Op: "controller.drain", Kind: cherviltide.KindConflict, Err: errDead}}
			return
		case entry.State != cherviltide.StateLeaving:
			c.config.Log.Info("DrainAsked", zap.String("Member", req.Member), zap.String("Operator", req.Operator))
			c.record([]cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: entry.Member}})
		}
		res.State = cherviltide.StateLeaving
	})
	if err == nil {
		err = refused
	}
	return res, err
}

// mustLeave reports whether a member that doesn't know it yet is to leave.
func (c *Controller) mustLeave(req *messenger.AnnounceRequest) bool {
	entry, ok := c.tracker.Entry(req.Member.Name)
	return ok && !req.Leaving && entry.State == cherviltide.StateLeaving && entry.Member.Incarnation == req.Member.Incarnation
}
