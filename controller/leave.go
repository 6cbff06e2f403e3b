package controller

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
)

// Leave prepares the end of this instance: it asks the leaders to remove it from the voters of both groups, unless that
// reduces the number of failures that they tolerate. Until then it takes part in both groups. It returns the names of the
// groups that have removed it; their state on its disk is of no more use. After an error it may still be a voter.
func (c *Controller) Leave(ctx context.Context) ([]string, error) {
	err := c.runInLoop(ctx, func() {
		c.leaving = true
		for _, g := range c.groups {
			g.leaving = true
			g.voter.Leave()
		}
	})
	if err != nil {
		return nil, err
	}
	select {
	case removed := <-c.left:
		return removed, nil
	case <-ctx.Done():
		return nil, fault("controller.Leave", cherviltide.KindUnavailable, ctx.Err())
	}
}

// checkLeave completes a call of Leave once no group needs this instance as a voter.
func (c *Controller) checkLeave() {
	if !c.leaving {
		return
	}
	var removed []string
	for name, g := range c.groups {
		if !g.voter.HasLeft() {
			return
		}
		if g.voter.IsRemoved() {
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	c.config.Log.Info("VotersLeft", zap.Strings("Groups", removed), zap.Int("ConfigurationVoters", len(c.configuration.voter.Voters())),
		zap.Int("MembershipVoters", len(c.membership.voter.Voters())))
	c.leaving = false
	c.left <- removed
}
