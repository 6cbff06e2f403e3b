package controller

import (
	"context"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/reporter"
)

// mergeCounters adds a member's counters to the service-level report. It ignores counters of other services than the
// member's own.
func (c *Controller) mergeCounters(req *messenger.AnnounceRequest) {
	counters := slices.DeleteFunc(slices.Clone(req.Counters), func(k cherviltide.KindCounts) bool {
		return k.Service != req.Member.Service
	})
	c.counterMerger.Merge(c.config.Clock.Now(), reporter.Announcement{
		Member: req.Member.Name, Incarnation: req.Member.Incarnation, Started: req.Started, Counters: counters,
	})
}

// report returns the report of the leader, which receives all announcements. Without a leader it builds the report from the
// announcements that this instance has received, and marks it as not confirmed.
func (c *Controller) report(ctx context.Context, req *messenger.ReportRequest) (*messenger.ReportResponse, error) {
	res := &messenger.ReportResponse{}
	err := c.runInLoop(ctx, func() {
		res.Confirmed = c.tracker.IsLeader()
		res.Report = c.counterMerger.Build(c.config.Clock.Now(), c.members.rules)
	})
	if err != nil || res.Confirmed || req.Forwarded {
		return res, err
	}
	base, client, err := c.membershipLeader(ctx)
	if err != nil {
		return res, nil
	}
	if fromLeader, err := messenger.Report.Call(ctx, client, base, &messenger.ReportRequest{Forwarded: true}); err == nil {
		return fromLeader, nil
	}
	return res, nil
}
