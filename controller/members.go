package controller

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// listedDead is how many dead members a status lists.
const listedDead = 100

var (
	errNoLeader = errors.New("no leader of the membership group is known")
	errRole     = errors.New("the member has another role than the caller's certificate")
)

// membershipLog is the log of the membership group as the control goroutine sees it. Its committed entries come back
// in order through the tracker's Apply, on the control goroutine, and are then published.
type membershipLog interface {
	// Record proposes an entry without waiting for it. The entry may be lost; the tracker then proposes it again.
	Record(entry []byte)
	// Leads reports whether this instance leads the group.
	Leads() bool
	// Current reports whether this instance has heard lately from a leader that a majority confirms. Followers of an
	// instance that is not current are sent away.
	Current() bool
	// Leader returns the leader's base URL and a client for it. The URL is empty when no leader is known.
	Leader() (base string, client *http.Client)
}

// members is the controller's part of membership beside the tracker. It belongs to the control goroutine.
type members struct {
	log membershipLog
	// reports has the last announcement of each member to this instance.
	reports map[string]messenger.AnnounceRequest
	// rules are those of the registrar's current revision.
	rules cherviltide.Rules
	held  string
	stale bool
}

func newMembers(log membershipLog) members {
	return members{log: log, reports: map[string]messenger.AnnounceRequest{}}
}

// record proposes member events.
func (c *Controller) record(events []cherviltide.MemberEvent) {
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			c.config.Log.Error("EventNotEncoded", zap.Error(err))
			continue
		}
		c.config.Log.Info("MemberEvent", zap.String("Type", string(e.Type)), zap.String("Member", e.Member.Name),
			zap.String("Service", e.Member.Service))
		c.members.log.Record(entry)
	}
}

// tickMembers follows the leadership, checks the leases and defines the tables of the rules' services.
func (c *Controller) tickMembers() {
	now := c.config.Clock.Now()
	if leads := c.members.log.Leads(); leads != c.tracker.IsLeader() {
		if leads {
			c.tracker.StartLeadership(now)
		} else {
			c.tracker.EndLeadership()
		}
		c.config.Log.Info("MembershipLeadership", zap.Bool("Leads", leads))
	}
	c.record(c.tracker.Tick(now))
	c.record(c.tracker.ReconcileTables(now, c.members.rules.Services))
	c.reportHeld()
	if stale := !c.members.log.Current(); stale != c.members.stale {
		c.members.stale = stale
		c.config.Log.Warn("ControlCurrent", zap.Bool("Current", !stale))
		c.publish()
	}
	for name, report := range c.members.reports {
		if !c.tracker.IsAlive(report.Member) {
			delete(c.members.reports, name)
		}
	}
}

// reportHeld logs when silent members are kept or no longer kept.
func (c *Controller) reportHeld() {
	held := strings.Join(c.tracker.HeldGroups(), " ")
	if held == c.members.held {
		return
	}
	c.members.held = held
	c.config.Log.Warn("FailStatic", zap.String("Held", held))
}

// publish gives the newest state to the distributor, after defining the tables of new services.
func (c *Controller) publish() {
	current := c.registrar.Current()
	if current.Number != c.members.rules.Revision {
		rules, err := c.config.Parse(current.Edit.Text)
		if err != nil {
			c.config.Log.Error("RulesNotParsed", zap.Uint64("Revision", current.Number), zap.Error(err))
		}
		c.members.rules = rules.WithRevision(current.Number)
		c.record(c.tracker.ReconcileTables(c.config.Clock.Now(), c.members.rules.Services))
	}
	events, oldest := c.tracker.Events()
	c.distributor.Publish(distributor.State{
		Revision:    current.Number,
		Text:        current.Edit.Text,
		Former:      current.Edit.Former,
		Base:        c.tracker.Base(),
		Position:    c.tracker.Position(),
		EventsSince: oldest,
		Events:      events,
		Tables:      c.tracker.Tables(),
		Control:     c.controlURLs(),
		Key:         c.tracker.PacketKey(),
		Stale:       !c.members.log.Current(),
	})
}

// announce handles an announcement, or passes it on to the leader.
func (c *Controller) announce(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	if role, ok := messenger.CallerRole(ctx); ok && role != req.Member.Role && !(req.Forwarded && role == cherviltide.RoleControl) {
		return nil, &Error{cherviltide.Fault{Op: "controller.announce", Kind: cherviltide.KindForbidden, Err: errRole}}
	}
	res := &messenger.AnnounceResponse{}
	accepted := false
	err := c.do(ctx, func() {
		if accepted = c.tracker.IsLeader(); accepted {
			res = c.accept(req)
		}
	})
	if err != nil || accepted {
		return res, err
	}
	if req.Forwarded {
		return nil, unavailable("controller.announce", errNoLeader)
	}
	base, client, err := c.leader(ctx)
	if err != nil {
		return nil, err
	}
	forwarded := *req
	forwarded.Forwarded = true
	return messenger.Announce.Call(ctx, client, base, &forwarded)
}

// accept handles an announcement on the control goroutine of the leader.
func (c *Controller) accept(req *messenger.AnnounceRequest) *messenger.AnnounceResponse {
	if known, late := c.tracker.NewestIncarnation(req.Member); late {
		return &messenger.AnnounceResponse{Expelled: !req.Ended, Incarnation: known}
	}
	c.members.reports[req.Member.Name] = *req
	c.merge(req)
	c.record(c.tracker.HandleAnnouncement(c.config.Clock.Now(), tracker.Announcement{
		Member:           req.Member,
		Leaving:          req.Leaving,
		Paused:           req.Paused,
		Ended:            req.Ended,
		Rate:             req.Rate,
		Generation:       req.Generation,
		OldestGeneration: req.OldestGeneration,
	}))
	if !c.tracker.IsAlive(req.Member) {
		return &messenger.AnnounceResponse{}
	}
	return &messenger.AnnounceResponse{Lease: tracker.LeaseDuration, Leave: c.mustLeave(req), Position: c.tracker.Position()}
}

// leader returns how to reach the leader of the membership group.
func (c *Controller) leader(ctx context.Context) (base string, client *http.Client, err error) {
	err = c.do(ctx, func() { base, client = c.members.log.Leader() })
	if err == nil && base == "" {
		err = unavailable("controller.leader", errNoLeader)
	}
	return base, client, err
}

// status lists the members as the leader knows them. Without a leader it lists them as this instance knows them and
// marks the list as not confirmed.
func (c *Controller) status(ctx context.Context, req *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	res := &messenger.StatusResponse{}
	if err := c.do(ctx, func() { c.describe(res) }); err != nil {
		return nil, err
	}
	if res.Confirmed || req.Forwarded {
		return res, nil
	}
	base, client, err := c.leader(ctx)
	if err != nil {
		return res, nil
	}
	if led, err := messenger.Status.Call(ctx, client, base, &messenger.StatusRequest{Forwarded: true}); err == nil {
		return led, nil
	}
	return res, nil
}

// describe fills in a status on the control goroutine.
func (c *Controller) describe(res *messenger.StatusResponse) {
	res.Revision, res.Position = c.registrar.Current().Number, c.tracker.Position()
	res.Confirmed, res.Held = c.tracker.IsLeader(), c.tracker.HeldGroups()
	for _, entry := range append(c.tracker.LiveMembers(), c.tracker.RecentlyDead(listedDead)...) {
		report := c.members.reports[entry.Member.Name]
		res.Members = append(res.Members, messenger.MemberStatus{
			Member:          entry.Member,
			State:           entry.State,
			RevisionSeen:    report.RevisionSeen,
			RevisionInForce: report.RevisionInForce,
			Generation:      report.Generation,
			Lags:            entry.State != cherviltide.StateDead && report.RevisionInForce < res.Revision,
		})
	}
}

func unavailable(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindUnavailable, Err: err}}
}
