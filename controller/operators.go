package controller

import (
	"context"
	"net/http"

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
	err := c.do(ctx, func() { list = c.registrar.History() })
	return list, err
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

// covers reports whether a history reaches a revision.
func covers(list []registrar.Revision, revision uint64) bool {
	return revision == 0 || (len(list) > 0 && list[len(list)-1].Number >= revision)
}

// rules compares files outside the loop, so that a long history delays no announcement.
func (c *Controller) rules(ctx context.Context, _ *messenger.RulesRequest) (*messenger.RulesResponse, error) {
	newest, confirmed := c.newest(ctx)
	list, err := c.revisions(ctx)
	if err != nil {
		return nil, err
	}
	res := &messenger.RulesResponse{Confirmed: confirmed && covers(list, newest)}
	if len(list) > 0 {
		res.Revision = list[len(list)-1].Number
	}
	for _, o := range registrar.Origins(list) {
		res.Rules = append(res.Rules, messenger.RuleOrigin{
			Line: o.Line, Text: o.Text, Requester: o.Requester, Revision: o.Revision.Number,
			EditID: o.Revision.Edit.ID, Operator: o.Revision.Edit.Operator, Time: o.Revision.Edit.Time,
		})
	}
	return res, nil
}

func (c *Controller) history(ctx context.Context, req *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	newest, confirmed := c.newest(ctx)
	list, err := c.revisions(ctx)
	if err != nil {
		return nil, err
	}
	res := &messenger.HistoryResponse{Confirmed: confirmed && covers(list, newest)}
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
