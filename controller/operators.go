package controller

import (
	"context"
	"net/http"
	"slices"
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

// revisions returns the accepted revisions, oldest first.
func (c *Controller) revisions(ctx context.Context) ([]registrar.Revision, error) {
	var list []registrar.Revision
	err := c.do(ctx, func() { list = slices.Clone(c.registrar.History()) })
	return list, err
}

// rules compares files outside the loop, so that a long history delays no announcement.
func (c *Controller) rules(ctx context.Context, _ *messenger.RulesRequest) (*messenger.RulesResponse, error) {
	list, err := c.revisions(ctx)
	if err != nil {
		return nil, err
	}
	res := &messenger.RulesResponse{Confirmed: true}
	if len(list) > 0 {
		res.Revision = list[len(list)-1].Number
	}
	for _, o := range c.origins.of(list) {
		res.Rules = append(res.Rules, messenger.RuleOrigin(o))
	}
	return res, nil
}

// origins is a tracer that several calls of operators share. The zero value is ready.
type origins struct {
	mu     sync.Mutex
	tracer registrar.Tracer
}

func (o *origins) of(history []registrar.Revision) []registrar.Origin {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracer.Origins(history)
}

func (c *Controller) history(ctx context.Context, req *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	list, err := c.revisions(ctx)
	if err != nil {
		return nil, err
	}
	res := &messenger.HistoryResponse{Confirmed: true}
	for i := len(list) - 1; i >= 0; i-- {
		if req.Newest > 0 && list[i].Number > req.Newest {
			continue
		}
		if req.Limit > 0 && len(res.Revisions) >= req.Limit {
			break
		}
		before := ""
		if i > 0 {
			before = list[i-1].Edit.Text
		}
		res.Revisions = append(res.Revisions, summary(before, list[i], req.WithText))
	}
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
