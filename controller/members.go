package controller

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// record proposes member events. An event that is under way is not proposed again.
func (c *Controller) record(events []cherviltide.MemberEvent) {
	for _, e := range events {
		key := fmt.Sprintf("%s %s %d %d", e.Type, e.Member.Name, e.Member.Incarnation, e.Generation)
		if c.pending[key] {
			continue
		}
		entry, err := tracker.Encode(e)
		if err != nil {
			c.config.Log.Error("EventNotEncoded", zap.Error(err))
			continue
		}
		c.pending[key] = true
		c.membership.propose(entry, func(err error) {
			delete(c.pending, key)
			c.config.Log.Info("MemberEvent", zap.String("Type", string(e.Type)), zap.String("Member", e.Member.Name),
				zap.Error(err))
		})
	}
}

// applyMembership publishes after membership entries were applied.
func (c *Controller) applyMembership() {
	c.position = c.membership.voter.Applied()
	c.publish()
}

// leadMembership grants a full lease to each member, because the times of an earlier leadership are old.
func (c *Controller) leadMembership() {
	c.pending = map[string]bool{}
	state, err := c.tracker.Snapshot()
	if err == nil {
		err = c.tracker.Restore(c.position, state)
	}
	if err != nil {
		c.config.Log.Error("LeasesNotRenewed", zap.Error(err))
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
	r, err := c.routeTo(ctx, c.membership)
	if err != nil {
		return nil, err
	}
	if !r.here && (req.Forwarded || r.url == "") {
		return nil, fault("controller.announce", cherviltide.KindUnavailable, errNoMajority)
	}
	if !r.here {
		passed := *req
		passed.Forwarded = true
		return forward(ctx, c, messenger.Announce, r.url, &passed)
	}
	err = c.do(ctx, func() {
		c.reports[req.Member.Name] = *req
		c.record(c.tracker.Announce(c.config.Clock.Now(), tracker.Announcement{
			Member:           req.Member,
			Leaving:          req.Leaving,
			Ended:            req.Ended,
			Generation:       req.Generation,
			OldestGeneration: req.OldestGeneration,
		}))
	})
	return &messenger.AnnounceResponse{Lease: tracker.Lease}, err
}

func (c *Controller) status(ctx context.Context, req *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	r, err := c.routeTo(ctx, c.membership)
	if err != nil {
		return nil, err
	}
	if r.url != "" && !req.Forwarded {
		if res, err := forward(ctx, c, messenger.Status, r.url, &messenger.StatusRequest{Forwarded: true}); err == nil {
			return res, nil
		}
	}
	res := &messenger.StatusResponse{Confirmed: r.here && c.confirmed(ctx, c.membership)}
	err = c.do(ctx, func() {
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
