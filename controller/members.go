package controller

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/distributor"
	"cherviltide.example/cherviltide/logger"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/registrar"
	"cherviltide.example/cherviltide/tracker"
)

// maxListedDead is the highest number of dead members in a status response.
const maxListedDead = 100

var (
	errNoLeader     = errors.New("no leader of the membership group is known")
	errRoleMismatch = errors.New("the role of the member differs from that of the caller's certificate")
)

// membershipLog gives the control goroutine access to the log of the membership group. Committed entries are applied to the
// tracker in order, on the control goroutine, and are then published.
type membershipLog interface {
	// Propose proposes an entry without waiting for it. The entry may be lost; the tracker then proposes it again.
	Propose(entry []byte)
	// ProposeAndReport proposes an entry and calls done on the control goroutine: with nil after the entry was committed and
	// applied, or with an error when it was not appended or was lost.
	ProposeAndReport(entry []byte, done func(error))
	// IsLeader reports whether this instance leads the group.
	IsLeader() bool
	// IsCurrent reports whether this instance was recently in contact with a leader that a majority confirms. An instance
	// that is not current rejects its followers.
	IsCurrent() bool
	// Leader returns the leader's base URL and a client for it. The URL is empty when no leader is known.
	Leader() (base string, client *http.Client)
}

// members has the membership state that the controller holds in addition to the tracker. Only the control goroutine uses it.
type members struct {
	log membershipLog
	// announcements has the last announcement of each member to this instance.
	announcements map[string]messenger.AnnounceRequest
	// configuration is the newest revision that was parsed, and rules are its rules. The registrar may have a newer one for
	// as long as parsing it takes.
	configuration registrar.Revision
	rules         cherviltide.Rules
	// parsing is the number of the revision that is being parsed; 0 if none is.
	parsing uint64
	// orders has the orders about failure domains that this leader has proposed and that are not committed yet.
	orders map[orderKey]*order
	// lastEvacuated is the list of evacuated domains that was logged last.
	lastEvacuated string
	// lastHeld is the list of held groups that was logged last.
	lastHeld string
	// stale is true if this instance was not current at the last check.
	stale bool
}

func newMembers(log membershipLog) members {
	return members{log: log, announcements: map[string]messenger.AnnounceRequest{}, orders: map[orderKey]*order{}}
}

// proposeEvents logs member events and proposes them to the membership group.
func (c *Controller) proposeEvents(events []cherviltide.MemberEvent) {
	for _, e := range events {
		entry, err := tracker.Encode(e)
		if err != nil {
			c.config.Log.Error("EventNotEncoded", zap.Error(err))
			continue
		}
		c.config.Log.Info("MemberEvent", zap.String("Type", string(e.Type)), zap.String("Member", e.Member.Name),
			zap.String("Service", e.Member.Service))
		c.members.log.Propose(entry)
	}
}

// tickMembers updates the tracker after a change of leadership, checks the leases, defines the tables of the rules' services
// and drops the announcements of members that are no longer alive.
func (c *Controller) tickMembers() {
	now := c.config.Clock.Now()
	if leads := c.members.log.IsLeader(); leads != c.tracker.IsLeader() {
		if leads {
			c.tracker.StartLeadership(now)
		} else {
			c.tracker.EndLeadership()
		}
		clear(c.members.orders)
		c.config.Log.Info("MembershipLeadership", zap.Bool("Leads", leads))
	}
	c.proposeEvents(c.tracker.Tick(now))
	c.proposeEvents(c.tracker.ReconcileTables(now, c.members.rules.Services))
	c.logHeldGroups()
	if stale := !c.members.log.IsCurrent(); stale != c.members.stale {
		c.members.stale = stale
		c.config.Log.Warn("ControlCurrent", zap.Bool("Current", !stale))
		c.publish()
	}
	for name, announcement := range c.members.announcements {
		if !c.tracker.IsAlive(announcement.Member) {
			delete(c.members.announcements, name)
		}
	}
}

// logHeldGroups logs a change of the held groups: those whose members are kept although their leases expired.
func (c *Controller) logHeldGroups() {
	held := strings.Join(c.tracker.HeldGroups(), " ")
	if held == c.members.lastHeld {
		return
	}
	c.members.lastHeld = held
	c.config.Log.Warn("FailStatic", zap.String("Held", held))
}

// updateRules takes the rules of the registrar's current revision into use. Rules that no edit at this instance has parsed are
// parsed by another goroutine, since that takes time that grows with their text; the next call of publish has them.
func (c *Controller) updateRules() {
	current := c.registrar.Current()
	if current.Number == c.members.configuration.Number {
		return
	}
	rules, parsed := c.parsed.Cached(current.Edit.Text)
	if !parsed && c.members.configuration.Number > 0 && c.startParse != nil {
		if c.members.parsing == 0 {
			c.members.parsing = current.Number
			c.startParse(current)
		}
		return
	}
	if !parsed {
		rules = c.parse(current)
	}
	c.useRules(current, rules)
}

// parse returns the rules of an accepted revision, or no rules if this version of the program cannot read its text.
func (c *Controller) parse(revision registrar.Revision) cherviltide.Rules {
	if revision.Number == 0 {
		return cherviltide.Rules{}
	}
	rules, err := c.parsed.Parse(revision.Edit.Text)
	if err != nil {
		c.config.Log.Error("RulesNotParsed", zap.Uint64("Revision", revision.Number), zap.Error(err))
	}
	return rules
}

func (c *Controller) useRules(revision registrar.Revision, rules cherviltide.Rules) {
	c.members.configuration, c.members.rules = revision, rules.WithRevision(revision.Number)
	_, leads := c.configuration.isLeader()
	c.config.Log.Info("RulesPublished", zap.Uint64("Revision", revision.Number), logger.EditNumber("Number", revision.Edit.Number),
		zap.Int("Bytes", len(revision.Edit.Text)), zap.Bool("Leads", leads), zap.Bool("Current", c.members.log.IsCurrent()))
	c.proposeEvents(c.tracker.ReconcileTables(c.config.Clock.Now(), c.members.rules.Services))
}

// parseBeside parses a revision beside the control goroutine, and publishes it unless a newer one was published meanwhile.
func (c *Controller) parseBeside(ctx context.Context, revision registrar.Revision) error {
	rules := c.parse(revision)
	return c.runInLoop(ctx, func() {
		c.members.parsing = 0
		if revision.Number > c.members.configuration.Number {
			c.useRules(revision, rules)
		}
		c.publish()
	})
}

// publish gives the newest state to the distributor.
func (c *Controller) publish() {
	c.updateRules()
	c.logEvacuations()
	events, oldest := c.tracker.Events()
	c.distributor.Publish(distributor.State{
		Revision:    c.members.configuration.Number,
		Text:        c.members.configuration.Edit.Text,
		Former:      c.members.configuration.Edit.Former,
		Base:        c.tracker.Base(),
		Position:    c.tracker.Position(),
		EventsSince: oldest,
		Events:      events,
		Tables:      c.tracker.Tables(),
		Evacuated:   c.tracker.EvacuatedDomains(),
		Control:     c.voterURLs(),
		Key:         c.tracker.PacketKey(),
		Stale:       !c.members.log.IsCurrent(),
	})
}

// announce handles an announcement if this instance leads the membership group, and forwards it to the leader otherwise.
func (c *Controller) announce(ctx context.Context, req *messenger.AnnounceRequest) (*messenger.AnnounceResponse, error) {
	if role, ok := messenger.CallerRole(ctx); ok && role != req.Member.Role && !(req.Forwarded && role == cherviltide.RoleControl) {
		return nil, &Error{cherviltide.Fault{Op: "controller.announce", Kind: cherviltide.KindForbidden, Err: errRoleMismatch}}
	}
	res := &messenger.AnnounceResponse{}
	accepted := false
	err := c.runInLoop(ctx, func() {
		if accepted = c.tracker.IsLeader(); accepted {
			res = c.acceptAnnouncement(req)
		}
	})
	if err != nil || accepted {
		return res, err
	}
	if req.Forwarded {
		return nil, unavailableError("controller.announce", errNoLeader)
	}
	base, client, err := c.membershipLeader(ctx)
	if err != nil {
		return nil, err
	}
	forwarded := *req
	forwarded.Forwarded = true
	return messenger.Announce.Call(ctx, client, base, &forwarded)
}

// acceptAnnouncement handles an announcement on the control goroutine of the leader.
func (c *Controller) acceptAnnouncement(req *messenger.AnnounceRequest) *messenger.AnnounceResponse {
	if known, outdated := c.tracker.NewestIncarnation(req.Member); outdated {
		return &messenger.AnnounceResponse{Expelled: !req.Ended, Incarnation: known}
	}
	c.members.announcements[req.Member.Name] = *req
	c.mergeCounters(req)
	c.proposeEvents(c.tracker.HandleAnnouncement(c.config.Clock.Now(), tracker.Announcement{
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

// membershipLeader returns the base URL of the leader of the membership group and a client for it.
func (c *Controller) membershipLeader(ctx context.Context) (base string, client *http.Client, err error) {
	err = c.runInLoop(ctx, func() { base, client = c.members.log.Leader() })
	if err == nil && base == "" {
		err = unavailableError("controller.membershipLeader", errNoLeader)
	}
	return base, client, err
}

// status lists the members from the state of the leader. Without a leader it lists them from the state of this instance and
// marks the list as not confirmed.
func (c *Controller) status(ctx context.Context, req *messenger.StatusRequest) (*messenger.StatusResponse, error) {
	res := &messenger.StatusResponse{}
	if err := c.runInLoop(ctx, func() { c.fillStatus(res) }); err != nil {
		return nil, err
	}
	if res.Confirmed || req.Forwarded {
		return res, nil
	}
	base, client, err := c.membershipLeader(ctx)
	if err != nil {
		return res, nil
	}
	if fromLeader, err := messenger.Status.Call(ctx, client, base, &messenger.StatusRequest{Forwarded: true}); err == nil {
		return fromLeader, nil
	}
	return res, nil
}

// fillStatus fills in a status response on the control goroutine.
func (c *Controller) fillStatus(res *messenger.StatusResponse) {
	res.Revision, res.Position = c.registrar.Current().Number, c.tracker.Position()
	res.Confirmed, res.Held = c.tracker.IsLeader(), c.tracker.HeldGroups()
	res.Evacuations = c.evacuationStatus()
	for _, record := range append(c.tracker.LiveMembers(), c.tracker.RecentlyDead(maxListedDead)...) {
		announcement := c.members.announcements[record.Member.Name]
		res.Members = append(res.Members, messenger.MemberStatus{
			Member:          record.Member,
			State:           record.State,
			RevisionSeen:    announcement.RevisionSeen,
			RevisionInForce: announcement.RevisionInForce,
			Generation:      announcement.Generation,
			OpenFlows:       announcement.OpenFlows,
			Lags:            record.State != cherviltide.StateDead && announcement.RevisionInForce < res.Revision,
			Unreached:       announcement.Unreached,
		})
	}
}

// oldestInForce returns the oldest revision that a live entry or agent has announced as in force; it is the newest revision if there is
// no such member. Only the leader of the membership group gets all announcements.
func (c *Controller) oldestInForce() uint64 {
	oldest := c.registrar.Current().Number
	for _, a := range c.members.announcements {
		if a.Member.Role != cherviltide.RoleControl && !a.Ended {
			oldest = min(oldest, a.RevisionInForce)
		}
	}
	return oldest
}

func unavailableError(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindUnavailable, Err: err}}
}
