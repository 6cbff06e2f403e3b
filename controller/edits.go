package controller

import (
	"context"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/registrar"
)

// Apply accepts an edit in the same way as the remote procedure Apply.
func (c *Controller) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	return c.apply(ctx, req)
}

// CurrentConfiguration returns the accepted configuration. It is marked as confirmed when a majority has confirmed that it
// is the newest.
func (c *Controller) CurrentConfiguration(ctx context.Context) (*messenger.CurrentResponse, error) {
	return c.current(ctx, &messenger.CurrentRequest{})
}

// apply accepts an edit if this instance leads the configuration group, and forwards it to the leader otherwise.
func (c *Controller) apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	rules, err := c.config.Parse(req.Text)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	r, err := c.locateLeader(ctx, c.configuration)
	if err != nil {
		return nil, err
	}
	if r.isSelf && req.Number > 0 {
		return c.acceptNumberedEdit(ctx, req, rules)
	}
	if r.isSelf {
		return c.acceptEdit(ctx, req, rules)
	}
	if req.Forwarded || r.url == "" {
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
	}
	forwarded := *req
	forwarded.Forwarded = true
	return forwardToLeader(ctx, c, messenger.Apply, r.url, &forwarded)
}

// acceptEdit proposes an edit. It proposes only after a majority has confirmed that this instance leads, so an error for
// lack of a majority means that the edit was not accepted.
func (c *Controller) acceptEdit(ctx context.Context, req *messenger.ApplyRequest, rules cherviltide.Rules) (*messenger.ApplyResponse, error) {
	if !c.confirmLeadership(ctx, c.configuration) {
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
	}
	edit := registrar.Edit{ID: req.EditID, Operator: req.Operator, Base: req.Base, Text: req.Text, Time: c.config.Clock.Now()}
	answer := make(chan error, 1)
	var number uint64
	err := c.runInLoop(ctx, func() {
		edit.Former = c.formerServices(rules)
		c.proposeEdit(edit, func(n uint64, err error) { number = n; answer <- err })
	})
	if err != nil {
		return nil, err
	}
	select {
	case err = <-answer:
		return &messenger.ApplyResponse{Revision: number}, err
	case <-ctx.Done():
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errOutcomeUnknown)
	}
}

// acceptNumberedEdit proposes an edit whose number is above that of the accepted file, and repeats this until the edit or
// one with a higher number is accepted. For any other number it returns the accepted revision. It compares the numbers only
// after a majority has confirmed that this instance leads, so that it compares with the newest accepted file.
func (c *Controller) acceptNumberedEdit(ctx context.Context, req *messenger.ApplyRequest, rules cherviltide.Rules) (*messenger.ApplyResponse, error) {
	for ctx.Err() == nil {
		if !c.confirmLeadership(ctx, c.configuration) {
			return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
		}
		answer := make(chan error, 1)
		var current registrar.Revision
		err := c.runInLoop(ctx, func() {
			if current = c.registrar.Current(); current.Edit.Number < req.Number {
				edit := registrar.Edit{ID: uuid.NewString(), Operator: req.Operator, Base: current.Number, Number: req.Number,
					Text: req.Text, Time: c.config.Clock.Now(), Former: c.formerServices(rules)}
				c.proposeEdit(edit, func(_ uint64, err error) { answer <- err })
			}
		})
		if err != nil {
			return nil, err
		}
		if current.Edit.Number >= req.Number {
			if current.Edit.Number > req.Number {
				c.config.Log.Info("EditOvertaken", zap.Uint64("Number", req.Number), zap.Uint64("Accepted", current.Edit.Number),
					zap.Uint64("Revision", current.Number))
			}
			return &messenger.ApplyResponse{Revision: current.Number}, nil
		}
		select {
		case err = <-answer:
		case <-ctx.Done():
		}
		if err != nil {
			c.config.Log.Info("EditRepeated", zap.Uint64("Number", req.Number), zap.Error(err))
		}
	}
	return nil, fault("controller.apply", cherviltide.KindUnavailable, errOutcomeUnknown)
}

// formerServices returns the former services of the routes for the time after next replaces the current rules.
func (c *Controller) formerServices(next cherviltide.Rules) []cherviltide.FormerServices {
	return cherviltide.UpdateFormerServices(c.members.rules.Routes, next.Routes, c.registrar.Current().Edit.Former)
}

// proposeEdit calls done from the loop with the revision that the edit became or the error for which it was rejected.
func (c *Controller) proposeEdit(edit registrar.Edit, done func(uint64, error)) {
	if c.registrar.HasEdit(edit.ID) || edit.Base != c.registrar.Current().Number {
		done(c.registrar.EditResult(edit))
		return
	}
	entry, err := c.registrar.Encode(edit)
	if err != nil {
		done(0, err)
		return
	}
	c.configuration.propose(entry, func(err error) {
		if err != nil {
			done(0, err)
			return
		}
		done(c.registrar.EditResult(edit))
	})
}

// current returns the accepted rules file. Without a majority it returns the newest file that this instance has, marked as
// not confirmed.
func (c *Controller) current(ctx context.Context, req *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
	r, err := c.locateLeader(ctx, c.configuration)
	if err != nil {
		return nil, err
	}
	if r.url != "" && !req.Forwarded {
		forwarded := messenger.CurrentRequest{Forwarded: true}
		if res, err := forwardToLeader(ctx, c, messenger.Current, r.url, &forwarded); err == nil {
			return res, nil
		}
	}
	res := &messenger.CurrentResponse{Confirmed: r.isSelf && c.confirmLeadership(ctx, c.configuration)}
	err = c.runInLoop(ctx, func() {
		current := c.registrar.Current()
		res.Revision, res.Text, res.Number = current.Number, current.Edit.Text, current.Edit.Number
	})
	return res, err
}

// forwardTimeout bounds a request that is forwarded to the leader.
const forwardTimeout = 3 * time.Second

// forwardToLeader sends a request to the leader on a new connection, since a pooled one may be dead without being closed.
func forwardToLeader[Req, Res any](ctx context.Context, c *Controller, p messenger.Procedure[Req, Res], url string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	client := c.config.NewClient()
	defer client.CloseIdleConnections()
	return p.Call(ctx, client, url, req)
}
