package controller

import (
	"context"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
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

// report returns the report of the leader, which hears all announcements. Without a leader it returns what this instance
// has heard and marks it as not confirmed.
func (c *Controller) report(ctx context.Context, req *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	res := &messenger.ReportResponse{}
	err := c.do(ctx, func() {
		res.Confirmed = c.tracker.IsLeader()
		res.Report = c.burn.Build(c.config.Clock.Now(), c.members.rules)
	})
	if err != nil || res.Confirmed || req.Forwarded {
		return res, err
	}
	base, client, err := c.leader(ctx)
	if err != nil {
		return res, nil
	}
	if led, err := messenger.Report.Call(ctx, client, base, &messenger.ReportRequest{Forwarded: true}); err == nil {
		return led, nil
	}
	return res, nil
}
