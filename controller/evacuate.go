package controller

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/tracker"
)

// evacuateTimeout bounds the wait for a majority to commit an order. Operators wait for about a second; one who sends the order
// again joins it, so that the short wait costs nothing.
const evacuateTimeout = 900 * time.Millisecond

var (
	errOrderNotCommitted  = errors.New("no majority has synced the order in time; it may still do so, and the order may be sent again")
	errNoMembershipLog    = errors.New("the membership log is not bootstrapped yet")
	errTooManyEvacuations = errors.New("too many failure domains are evacuated")
)

// orderKey identifies an order about a failure domain.
type orderKey struct {
	domain   string
	withdraw bool
}

// order is an order on its way to a majority.
type order struct {
	// done is closed when position or err is set.
	done chan struct{}
	// position is a position of the log that includes the order.
	position uint64
	err      error
}

// Evacuate ends new flows to the targets of a failure domain, or allows them again. It returns after a majority has synced the
// event in the membership log. An order that is in force already is committed again, because only a commit shows that this
// instance still leads. Another instance than the leader forwards the request. After an error of kind Internal a majority may
// have synced the order.
func (c *Controller) Evacuate(ctx context.Context, req *messenger.EvacuateRequest) (*messenger.EvacuateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	leads, known := false, false
	var o *order
	err := c.runInLoop(ctx, func() {
		leads, known = c.tracker.IsLeader(), c.isKnownDomain(req.FailureDomain)
		if leads && known {
			o = c.proposeOrder(req)
		}
	})
	switch {
	case err != nil:
		return nil, err
	case !leads:
		return c.forwardOrder(ctx, req)
	case !known:
		return nil, c.refuseUnknownDomain(ctx, req)
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		return nil, fault("controller.Evacuate", cherviltide.KindInternal, errOrderNotCommitted)
	}
	if errors.Is(o.err, errEntryLost) {
		// A snapshot of the next leader may include the entry.
		return nil, fault("controller.Evacuate", cherviltide.KindInternal, o.err)
	}
	if o.err != nil {
		return nil, unavailableError("controller.Evacuate", o.err)
	}
	return &messenger.EvacuateResponse{Position: o.position}, nil
}

// proposeOrder proposes an order, or returns the same one if it is on its way already: on slow disks, an order that began anew
// with each attempt would not be acknowledged within the time of one attempt.
func (c *Controller) proposeOrder(req *messenger.EvacuateRequest) *order {
	key := orderKey{domain: req.FailureDomain, withdraw: req.Withdraw}
	if o := c.members.orders[key]; o != nil {
		return o
	}
	o := &order{done: make(chan struct{})}
	finish := func(err error) {
		o.position, o.err = c.tracker.Position(), err
		if c.members.orders[key] == o {
			delete(c.members.orders, key)
		}
		close(o.done)
	}
	entry, err := tracker.Encode(c.orderEvent(req))
	switch {
	case err != nil:
		finish(err)
	case c.tracker.Base() == 0:
		finish(errNoMembershipLog)
	case !req.Withdraw && !c.tracker.IsEvacuated(req.FailureDomain) && len(c.tracker.Evacuations()) >= tracker.MaxEvacuations:
		finish(errTooManyEvacuations)
	default:
		c.config.Log.Info("EvacuationOrdered", zap.String("FailureDomain", req.FailureDomain), zap.Bool("Withdraw", req.Withdraw),
			zap.String("Operator", req.Operator))
		// A repetition of the opposite order that arrives from now on must come after this one in the log.
		delete(c.members.orders, orderKey{domain: key.domain, withdraw: !key.withdraw})
		c.members.orders[key] = o
		c.members.log.ProposeAndReport(entry, finish)
	}
	return o
}

// orderEvent returns the event of an order.
func (c *Controller) orderEvent(req *messenger.EvacuateRequest) cherviltide.MemberEvent {
	e := cherviltide.MemberEvent{
		Type: cherviltide.EventEvacuated, Member: cherviltide.Member{FailureDomain: req.FailureDomain}, Operator: req.Operator,
		Time: c.config.Clock.Now(),
	}
	if req.Withdraw {
		e.Type = cherviltide.EventRestored
	}
	return e
}

// forwardOrder forwards an order to the leader.
func (c *Controller) forwardOrder(ctx context.Context, req *messenger.EvacuateRequest) (*messenger.EvacuateResponse, error) {
	if req.Forwarded {
		return nil, unavailableError("controller.Evacuate", errNoLeader)
	}
	base, _, err := c.membershipLeader(ctx)
	if err != nil {
		return nil, err
	}
	forwarded := *req
	forwarded.Forwarded = true
	res, err := forwardToLeader(ctx, c, messenger.Evacuate, base, &forwarded)
	if err != nil && !messenger.IsResponse(err) {
		return nil, fault("controller.Evacuate", cherviltide.KindInternal, fmt.Errorf("%w: %w", errOrderNotCommitted, err))
	}
	return res, err
}

// knownDomains returns the failure domains that may be evacuated, in the order of their names.
func (c *Controller) knownDomains() []string {
	list := slices.Concat(c.config.FailureDomains, c.tracker.FailureDomains(), c.tracker.EvacuatedDomains())
	slices.Sort(list)
	return slices.Compact(list)
}

func (c *Controller) isKnownDomain(domain string) bool {
	return domain != "" && slices.Contains(c.knownDomains(), domain)
}

// refuseUnknownDomain returns the error for an order about an unknown domain. The refusal is final, so it needs a majority
// that confirms that this leader has applied all members.
func (c *Controller) refuseUnknownDomain(ctx context.Context, req *messenger.EvacuateRequest) error {
	if !c.confirmLeadership(ctx, c.membership) {
		return unavailableError("controller.Evacuate", errNoMajority)
	}
	var known []string
	if err := c.runInLoop(ctx, func() { known = c.knownDomains() }); err != nil {
		return err
	}
	if slices.Contains(known, req.FailureDomain) {
		return unavailableError("controller.Evacuate", errNoMajority)
	}
	err := fmt.Errorf("failure domain %q is not known; known are: %s", req.FailureDomain, strings.Join(known, ", "))
	return fault("controller.Evacuate", cherviltide.KindInvalid, err)
}

// evacuationStatus returns the evacuated failure domains, with the flows that are still open there.
func (c *Controller) evacuationStatus() []messenger.EvacuationStatus {
	var list []messenger.EvacuationStatus
	for _, e := range c.tracker.Evacuations() {
		s := messenger.EvacuationStatus{FailureDomain: e.FailureDomain, Operator: e.Operator, Since: e.Since}
		for _, x := range c.tracker.LiveMembers() {
			if x.Member.FailureDomain == e.FailureDomain && x.Member.Role == cherviltide.RoleAgent {
				s.Agents++
				s.OpenFlows += c.members.announcements[x.Member.Name].OpenFlows
			}
		}
		list = append(list, s)
	}
	return list
}

// logEvacuations logs a change of the evacuated failure domains.
func (c *Controller) logEvacuations() {
	evacuated := strings.Join(c.tracker.EvacuatedDomains(), " ")
	if evacuated == c.members.lastEvacuated {
		return
	}
	c.members.lastEvacuated = evacuated
	c.config.Log.Info("EvacuationsChanged", zap.String("Evacuated", evacuated), zap.Uint64("Position", c.tracker.Position()))
}
