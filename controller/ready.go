package controller

import (
	"context"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/prober"
)

// readyTimeout bounds the wait for the control goroutine, which responds at once unless it hangs.
const readyTimeout = time.Second

// Ready returns nil while the control goroutine responds and a leader of the membership group is known.
func (c *Controller) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	known := false
	err := c.runInLoop(ctx, func() {
		base, _ := c.members.log.Leader()
		known = base != "" || c.members.log.IsLeader()
	})
	if err == nil && !known {
		err = unavailableError("controller.Ready", errNoLeader)
	}
	return err
}

// RegisterMetrics registers the controller's metrics with a prober.
func (c *Controller) RegisterMetrics(p *prober.Prober) {
	p.Metric("Rules.Revision", c.loopMetric(func() any { return c.registrar.Current().Number }))
	p.Metric("Membership.Position", c.loopMetric(func() any { return c.tracker.Position() }))
	p.Metric("Membership.Evacuated", c.loopMetric(func() any { return len(c.tracker.Evacuations()) }))
	p.Metric("Disk.SyncMs", c.syncTimes.Value)
	p.Metric("Edits", func() any { return c.edits.Counts() })
	c.times.registerMetrics(p)
	c.distributor.RegisterMetrics(p)
	p.Metric("Rules.OldestInForce", c.loopMetric(func() any { return c.oldestInForce() }))
	for name, g := range map[string]func() *group{
		"Configuration": func() *group { return c.configuration }, "Membership": func() *group { return c.membership },
	} {
		p.Metric(name+".Leads", c.loopMetric(func() any { _, leads := g().isLeader(); return leads }))
		p.Metric(name+".Unsnapshotted", c.loopMetric(func() any { return g().voter.Unsnapshotted() }))
		p.Metric(name+".UnsnapshottedBytes", c.loopMetric(func() any { return g().voter.UnsnapshottedBytes() }))
		p.Metric(name+".NotAdmittedMs", c.loopMetric(func() any { w := &g().watched; return w.notAdmitted.duration(w.now) }))
		p.Metric(name+".VotersMissingMs", c.loopMetric(func() any { w := &g().watched; return w.incomplete.duration(w.now) }))
		p.Metric(name+".Voters", c.loopMetric(func() any { return len(g().voter.Voters()) }))
	}
	p.Metric("Membership.Members", c.loopMetric(func() any {
		states := map[cherviltide.MemberState]int{}
		for _, e := range c.tracker.LiveMembers() {
			states[e.State]++
		}
		return states
	}))
}

// loopMetric returns a metric that reads its value on the control goroutine. The value is null when that goroutine does not
// respond within readyTimeout.
func (c *Controller) loopMetric(read func() any) func() any {
	return func() any {
		ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
		defer cancel()
		var value any
		_ = c.runInLoop(ctx, func() { value = read() })
		return value
	}
}
