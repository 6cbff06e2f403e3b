package controller

import (
	"context"
	"net/http"
	"sync"

	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/registrar"
)

// handleOperators registers the procedures for operators.
func (c *Controller) handleOperators(mux *http.ServeMux) {
	messenger.Rules.Handle(mux, c.rules)
	messenger.History.Handle(mux, c.history)
	messenger.Drain.Handle(mux, c.drain)
	messenger.Report.Handle(mux, c.report)
}

// past returns the accepted revisions.
func (c *Controller) past(ctx context.Context) (registrar.History, error) {
	var h registrar.History
	err := c.do(ctx, func() { h = c.registrar.History() })
	return h, err
}

// newest returns a revision that a majority confirms as accepted, or false when none could be confirmed. What this
// instance holds is current when it is not older.
func (c *Controller) newest(ctx context.Context) (uint64, bool) {
	r, err := c.routeTo(ctx, c.configuration)
	if err != nil {
		return 0, false
	}
	if r.here {
		return 0, c.confirmed(ctx, c.configuration)
	}
	if r.url == "" {
		return 0, false
	}
	res, err := forward(ctx, c, messenger.Current, r.url, &messenger.CurrentRequest{Forwarded: true})
	if err != nil {
		return 0, false
	}
	return res.Revision, res.Confirmed
}

// rules answers by the leader of the configuration, as history does; without one it shows what this instance has. Files
// are compared outside the loop, so that a long history delays no announcement.
func (c *Controller) rules(ctx context.Context, req *messenger.RulesRequest) (*messenger.RulesResponse, error) {
	if r, err := c.routeTo(ctx, c.configuration); err == nil && r.url != "" && !req.Forwarded {
		if res, err := forward(ctx, c, messenger.Rules, r.url, &messenger.RulesRequest{Forwarded: true}); err == nil {
			return res, nil
		}
	}
	newest, confirmed := c.newest(ctx)
	h, err := c.past(ctx)
	if err != nil {
		return nil, err
	}
	res := &messenger.RulesResponse{Confirmed: confirmed && h.NewestRevision() >= newest}
	var list []registrar.Origin
	res.Revision, list = c.origins.of(h)
	for _, o := range list {
		res.Rules = append(res.Rules, messenger.RuleOrigin(o))
	}
	return res, nil
}

// origins is a tracer that several calls of operators share. The zero value is ready.
type origins struct {
	mu     sync.Mutex
	tracer registrar.OriginFinder
}

func (o *origins) of(h registrar.History) (uint64, []registrar.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracer.Origins(h)
}

// history compares files outside the loop.
func (c *Controller) history(ctx context.Context, req *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	if r, err := c.routeTo(ctx, c.configuration); err == nil && r.url != "" && !req.Forwarded {
		passed := *req
		passed.Forwarded = true
		if res, err := forward(ctx, c, messenger.History, r.url, &passed); err == nil {
			return res, nil
		}
	}
	accepted, confirmed := c.newest(ctx)
	h, err := c.past(ctx)
	if err != nil {
		return nil, err
	}
	newest := h.NewestRevision()
	res := &messenger.HistoryResponse{Confirmed: confirmed && newest >= accepted}
	if req.Newest > 0 {
		newest = min(newest, req.Newest)
	}
	h.Backward(func(r registrar.Revision, before string) bool {
		if r.Number <= newest {
			res.Revisions = append(res.Revisions, summary(before, r, req.WithText))
		}
		return req.Limit <= 0 || len(res.Revisions) < req.Limit
	})
	return res, nil
}

func summary(before string, r registrar.Revision, withText bool) messenger.RevisionSummary {
	s := messenger.RevisionSummary{
		Revision: r.Number, Base: r.Edit.Base, EditID: r.Edit.ID, Operator: r.Edit.Operator, Time: r.Edit.Time,
	}
	s.Added, s.Removed = parser.Diff(before, r.Edit.Text).Count()
	if withText {
		s.Text = r.Edit.Text
	}
	return s
}
