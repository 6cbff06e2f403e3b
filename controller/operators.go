package controller

import (
	"context"
	"net/http"
	"sync"

	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/registrar"
)

// handleOperators registers the remote procedures for operators.
func (c *Controller) handleOperators(mux *http.ServeMux) {
	messenger.Rules.Handle(mux, c.rules)
	messenger.History.Handle(mux, c.history)
	messenger.Drain.Handle(mux, c.drain)
	messenger.Evacuate.Handle(mux, c.Evacuate)
	messenger.Report.Handle(mux, c.report)
}

// keptHistory returns the accepted revisions that this instance keeps.
func (c *Controller) keptHistory(ctx context.Context) (registrar.History, error) {
	var h registrar.History
	err := c.runInLoop(ctx, func() { h = c.registrar.History() })
	return h, err
}

// confirmedRevision returns a revision that a majority confirms as accepted, or false when none could be confirmed. The
// history of this instance is up to date when its newest revision is not older. The leader returns 0, since its own history
// is the newest.
func (c *Controller) confirmedRevision(ctx context.Context) (uint64, bool) {
	r, err := c.locateLeader(ctx, c.configuration)
	if err != nil {
		return 0, false
	}
	if r.isSelf {
		return 0, c.confirmLeadership(ctx, c.configuration)
	}
	if r.url == "" {
		return 0, false
	}
	res, err := forwardToLeader(ctx, c, messenger.Current, r.url, &messenger.CurrentRequest{Forwarded: true})
	if err != nil {
		return 0, false
	}
	return res.Revision, res.Confirmed
}

// rules returns the origins of the rules from the leader of the configuration group; without a leader it uses the history of
// this instance. It compares the files outside the loop, so that a long history does not delay announcements.
func (c *Controller) rules(ctx context.Context, req *messenger.RulesRequest) (*messenger.RulesResponse, error) {
	if r, err := c.locateLeader(ctx, c.configuration); err == nil && r.url != "" && !req.Forwarded {
		if res, err := forwardToLeader(ctx, c, messenger.Rules, r.url, &messenger.RulesRequest{Forwarded: true}); err == nil {
			return res, nil
		}
	}
	newest, confirmed := c.confirmedRevision(ctx)
	h, err := c.keptHistory(ctx)
	if err != nil {
		return nil, err
	}
	res := &messenger.RulesResponse{Confirmed: confirmed && h.NewestRevision() >= newest}
	var list []registrar.Origin
	res.Revision, list = c.originFinder.find(h)
	for _, o := range list {
		res.Rules = append(res.Rules, messenger.RuleOrigin(o))
	}
	return res, nil
}

// sharedOriginFinder makes an OriginFinder safe for concurrent requests. The zero value is ready to use.
type sharedOriginFinder struct {
	mu     sync.Mutex
	finder registrar.OriginFinder
}

func (o *sharedOriginFinder) find(h registrar.History) (uint64, []registrar.Origin) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.finder.Origins(h)
}

// maxHistoryTextBytes is the size of texts from which on a response has no older revisions. The caller continues with Newest.
const maxHistoryTextBytes = 4 << 20

// history returns the accepted revisions from the leader of the configuration group; without a leader it uses the history of
// this instance. Like rules, it compares the files outside the loop.
func (c *Controller) history(ctx context.Context, req *messenger.HistoryRequest) (*messenger.HistoryResponse, error) {
	if r, err := c.locateLeader(ctx, c.configuration); err == nil && r.url != "" && !req.Forwarded {
		forwarded := *req
		forwarded.Forwarded = true
		if res, err := forwardToLeader(ctx, c, messenger.History, r.url, &forwarded); err == nil {
			return res, nil
		}
	}
	accepted, confirmed := c.confirmedRevision(ctx)
	h, err := c.keptHistory(ctx)
	if err != nil {
		return nil, err
	}
	newest := h.NewestRevision()
	res := &messenger.HistoryResponse{Confirmed: confirmed && newest >= accepted}
	if req.Newest > 0 {
		newest = min(newest, req.Newest)
	}
	textBytes := 0
	h.Backward(func(r registrar.Revision, before string) bool {
		if r.Number <= newest {
			s := summarize(before, r, req.WithText)
			res.Revisions = append(res.Revisions, s)
			textBytes += len(s.Text)
		}
		return textBytes < maxHistoryTextBytes && (req.Limit <= 0 || len(res.Revisions) < req.Limit)
	})
	return res, nil
}

func summarize(before string, r registrar.Revision, withText bool) messenger.RevisionSummary {
	s := messenger.RevisionSummary{
		Revision: r.Number, Base: r.Edit.Base, EditID: r.Edit.ID, Operator: r.Edit.Operator, Time: r.Edit.Time,
	}
	s.Added, s.Removed = parser.Diff(before, r.Edit.Text).CountChanges()
	if withText {
		s.Text = r.Edit.Text
	}
	return s
}
