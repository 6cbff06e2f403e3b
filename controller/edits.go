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

// Apply accepts an edit, as the procedure for operators does.
func (c *Controller) Apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	return c.apply(ctx, req)
}

// CurrentConfiguration returns the accepted configuration. It is confirmed when a majority says that there is no newer one.
func (c *Controller) CurrentConfiguration(ctx context.Context) (*messenger.CurrentResponse, error) {
	return c.current(ctx, &messenger.CurrentRequest{})
}

// apply accepts an edit at the leader; another instance passes it on.
func (c *Controller) apply(ctx context.Context, req *messenger.ApplyRequest) (*messenger.ApplyResponse, error) {
	rules, err := c.config.Parse(req.Text)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	r, err := c.routeTo(ctx, c.configuration)
	if err != nil {
		return nil, err
	}
	if r.here && req.Number > 0 {
		return c.acceptNumbered(ctx, req, rules)
	}
	if r.here {
		return c.acceptEdit(ctx, req, rules)
	}
	if req.Forwarded || r.url == "" {
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
	}
	passed := *req
	passed.Forwarded = true
	return forward(ctx, c, messenger.Apply, r.url, &passed)
}

// acceptEdit proposes an edit. Nothing is proposed before a majority has confirmed this instance, so a refusal without a
// majority means that the edit was not accepted.
func (c *Controller) acceptEdit(ctx context.Context, req *messenger.ApplyRequest, rules cherviltide.Rules) (*messenger.ApplyResponse, error) {
	if !c.confirmed(ctx, c.configuration) {
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
	}
	edit := registrar.Edit{ID: req.EditID, Operator: req.Operator, Base: req.Base, Text: req.Text, Time: c.config.Clock.Now()}
	answer := make(chan error, 1)
	var number uint64
	err := c.do(ctx, func() {
		edit.Former = c.former(rules)
		c.propose(edit, func(n uint64, err error) { number = n; answer <- err })
	})
	if err != nil {
		return nil, err
	}
	select {
	case err = <-answer:
		return &messenger.ApplyResponse{Revision: number}, err
	case <-ctx.Done():
		return nil, fault("controller.apply", cherviltide.KindUnavailable, errUnknown)
	}
}

// acceptNumbered proposes an edit whose number is above that of the accepted file, until it or a higher one is accepted.
// An edit with another number is answered only after a majority has confirmed this instance, so that what it compares with
// is the newest.
func (c *Controller) acceptNumbered(ctx context.Context, req *messenger.ApplyRequest, rules cherviltide.Rules) (*messenger.ApplyResponse, error) {
	for ctx.Err() == nil {
		if !c.confirmed(ctx, c.configuration) {
			return nil, fault("controller.apply", cherviltide.KindUnavailable, errNoMajority)
		}
		answer := make(chan error, 1)
		var current registrar.Revision
		err := c.do(ctx, func() {
			if current = c.registrar.Current(); current.Edit.Number < req.Number {
				edit := registrar.Edit{ID: uuid.NewString(), Operator: req.Operator, Base: current.Number, Number: req.Number,
					Text: req.Text, Time: c.config.Clock.Now(), Former: c.former(rules)}
				c.propose(edit, func(_ uint64, err error) { answer <- err })
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
	return nil, fault("controller.apply", cherviltide.KindUnavailable, errUnknown)
}

// former returns the services that routes would have had before the current rules are replaced.
func (c *Controller) former(next cherviltide.Rules) []cherviltide.FormerServices {
	return cherviltide.UpdateFormerServices(c.members.rules.Routes, next.Routes, c.registrar.Current().Edit.Former)
}

// propose calls done from the loop with the revision that the edit became or the reason of its refusal.
func (c *Controller) propose(edit registrar.Edit, done func(uint64, error)) {
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

// current returns the accepted rules file. Without a majority it is what this instance has, and is not confirmed.
func (c *Controller) current(ctx context.Context, req *messenger.CurrentRequest) (*messenger.CurrentResponse, error) {
	r, err := c.routeTo(ctx, c.configuration)
	if err != nil {
		return nil, err
	}
	if r.url != "" && !req.Forwarded {
		passed := messenger.CurrentRequest{Forwarded: true}
		if res, err := forward(ctx, c, messenger.Current, r.url, &passed); err == nil {
			return res, nil
		}
	}
	res := &messenger.CurrentResponse{Confirmed: r.here && c.confirmed(ctx, c.configuration)}
	err = c.do(ctx, func() {
		current := c.registrar.Current()
		res.Revision, res.Text, res.Number = current.Number, current.Edit.Text, current.Edit.Number
	})
	return res, err
}

// forwardTimeout bounds a request that is passed to the leader.
const forwardTimeout = 3 * time.Second

// forward passes a request to the leader on a connection of its own, since a pooled one may be silently dead.
func forward[Req, Res any](ctx context.Context, c *Controller, p messenger.Procedure[Req, Res], url string, req *Req) (*Res, error) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	client := c.config.NewClient()
	defer client.CloseIdleConnections()
	return p.Call(ctx, client, url, req)
}
