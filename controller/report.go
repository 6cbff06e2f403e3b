package controller

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/parser"
	"cherviltide.example/cherviltide/reporter"
)

// merge adds a member's counters to the service-level report. A member counts for its own service only.
func (c *Controller) merge(req *messenger.AnnounceRequest) {
	counters := slices.DeleteFunc(slices.Clone(req.Counters), func(k cherviltide.KindCounts) bool {
		return k.Service != req.Member.Service
	})
	c.burn.Merge(c.config.Clock.Now(), reporter.Announcement{
		Member: req.Member.Name, Incarnation: req.Member.Incarnation, Started: req.Started, Counters: counters,
	})
}

func (c *Controller) report(ctx context.Context, _ *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	res := &messenger.ReportResponse{Confirmed: true}
	err := c.do(ctx, func() {
		current := c.registrar.Current()
		rules, err := parser.Parse(current.Edit.Text)
		if err != nil {
			c.config.Log.Error("RulesNotParsed", zap.Uint64("Revision", current.Number), zap.Error(err))
		}
		res.Report = c.burn.Build(c.config.Clock.Now(), rules.WithRevision(current.Number))
	})
	return res, err
}
