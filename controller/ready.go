package controller

import (
	"context"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/prober"
)

// readyTimeout bounds the wait for the control goroutine, which answers at once unless it hangs.
const readyTimeout = time.Second

// Ready returns nil while the control goroutine answers and a leader of the membership group is known.
func (c *Controller) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	known := false
	err := c.do(ctx, func() {
		base, _ := c.members.log.Leader()
		known = base != "" || c.members.log.Leads()
	})
	if err == nil && !known {
		err = unavailable("controller.Ready", errNoLeader)
	}
	return err
}

// RegisterMetrics adds the controller's metrics to a prober.
func (c *Controller) RegisterMetrics(p *prober.Prober) {
	p.Metric("Rules.Revision", c.measure(func() any { return c.registrar.Current().Number }))
	p.Metric("Membership.Position", c.measure(func() any { return c.tracker.Position() }))
	p.Metric("Disk.SyncMs", c.syncs.Value)
	for name, g := range map[string]func() *group{
		"Configuration": func() *group { return c.configuration }, "Membership": func() *group { return c.membership },
	} {
		p.Metric(name+".Leads", c.measure(func() any { _, leads := g().leads(); return leads }))
		p.Metric(name+".Unsnapshotted", c.measure(func() any { return g().voter.Unsnapshotted() }))
		p.Metric(name+".Voters", c.measure(func() any { return len(g().voter.Voters()) }))
	}
	p.Metric("Membership.Members", c.measure(func() any {
		states := map[cherviltide.MemberState]int{}
		for _, e := range c.tracker.LiveMembers() {
			states[e.State]++
		}
		return states
	}))
}

// measure reads a value on the control goroutine; the metric is null when that goroutine does not answer.
func (c *Controller) measure(read func() any) func() any {
	return func() any {
		ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
		defer cancel()
		var value any
		_ = c.do(ctx, func() { value = read() })
		return value
	}
}
