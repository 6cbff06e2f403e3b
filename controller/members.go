package controller

import (
	"context"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// record appends member events to the log.
func (c *Controller) record(events []cherviltide.MemberEvent) {
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			c.config.Log.Error("EventNotEncoded", zap.Error(err))
			continue
		}
		c.position++
		c.tracker.Apply(c.position, entry)
		c.config.Log.Info("MemberEvent", zap.String("Type", string(e.Type)), zap.String("Member", e.Member.Name),
			zap.Uint64("Position", c.position))
	}
	if len(events) > 0 {
		c.publish()
	}
}

func (c *Controller) publish() {
	current := c.registrar.Current()
	c.distributor.Publish(distributor.State{
		Revision: current.Number,
		Text:     current.Edit.Text,
		Position: c.position,
		Events:   c.tracker.Events(),
	})
}

func (c *Controller) announce(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	res := &messenger.AnnounceResponse{Lease: tracker.Lease}
	err := c.do(ctx, func() {
		c.reports[req.Member.Name] = *req
		c.merge(req)
		c.record(c.tracker.Announce(c.config.Clock.Now(), tracker.Announcement{
			Member:           req.Member,
			Leaving:          req.Leaving,
			Ended:            req.Ended,
			Generation:       req.Generation,
			OldestGeneration: req.OldestGeneration,
		}))
		res.Leave = c.mustLeave(req)
	})
	return res, err
}

func (c *Controller) status(ctx context.Context, _ *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	res := &messenger.StatusResponse{Confirmed: true}
	err := c.do(ctx, func() {
		res.Revision, res.Position = c.registrar.Current().Number, c.position
		for _, entry := range c.tracker.Entries() {
			report := c.reports[entry.Member.Name]
			res.Members = append(res.Members, messenger.MemberStatus{
				Member:          entry.Member,
				State:           entry.State,
				RevisionSeen:    report.RevisionSeen,
				RevisionInForce: report.RevisionInForce,
			})
		}
	})
	return res, err
}
