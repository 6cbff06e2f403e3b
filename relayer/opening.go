package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/queuer"
)

// Layout of the position in the header of an offer: the number of the attempt, from 0, the expected wait of the flow at the
// offering agent in steps of waitStep, and a bit that is set when that agent cannot serve the flow itself.
const (
	attemptMask                       = 3
	waitShift                         = 2
	maxWaitSteps                      = 31
	waitStep       cherviltide.Millis = 16
	cannotServeBit                    = 128
)

// offerPosition encodes the position of an offer.
func (d *Decider) offerPosition(in Input, a Arrival, attempt int) uint8 {
	wait, verdict := d.waitingQueue(in, a).Predict(in.Now, d.waitingFlow(in, a))
	position := uint8(attempt&attemptMask) | uint8(min(wait/waitStep, maxWaitSteps))<<waitShift
	if !d.acceptsNewFlows(in) || verdict == queuer.VerdictRefused && d.pacing.pacer.Wait(in.Now) > 0 {
		position |= cannotServeBit
	}
	return position
}

// offeredWait returns the expected wait at the offering agent.
func offeredWait(position uint8) cherviltide.Millis {
	return cherviltide.Millis(position&^cannotServeBit) >> waitShift * waitStep
}

// decideOpeningPacket decides about a packet that opens a flow.
func (d *Decider) decideOpeningPacket(in Input, a Arrival) Decision {
	d.updateCapacity()
	key := a.Header.Flow
	f := d.flows[key]
	if f != nil && !f.inferred && f.callerSequence == a.Packet.Sequence && (f.answered || !d.targetUnresponsive(in.Now)) {
		f.lastPacketAt = in.Now
		if !d.boundAllows(in.Now) {
			return Decision{Reason: ReasonPaced}
		}
		return d.deliverOpening(in, a)
	}
	if f != nil {
		// The caller uses the port again, or the target did not answer.
		if !f.answered && f.callerSequence == a.Packet.Sequence {
			d.recordEnd(in, f)
		}
		d.removeFlow(key, f)
	}
	if decision, ok := d.absorbCopy(a); ok {
		return decision
	}
	remote := d.remoteFlows.get(key, in.Now)
	switch a.Header.Flags {
	case framer.FlagProbe:
		if remote.state == remoteOffered && a.Header.Position != directPosition && remote.agent != a.Sender {
			return d.forward(in, a, remote.agent, framer.FlagProbe, directPosition, ReasonProbed)
		}
		return d.returnToSender(a, framer.FlagReturned, ReasonNotHeld)
	case framer.FlagOffered:
		return d.handleOffer(in, a)
	case framer.FlagDeclined:
		return d.handleDecline(in, a)
	case framer.FlagReturned:
		return d.searchHolder(in, a)
	}
	if a.Packet.Retransmission > 0 {
		// Another agent may have opened the flow for an earlier transmission of the packet.
		behindCut := !remote.confirmed && d.isClosedAgent(in, remote.agent)
		if remote.state == remoteHeld && remote.agent != a.Sender && !behindCut {
			return d.forward(in, a, remote.agent, framer.FlagOffered, d.offerPosition(in, a, remote.attempt), ReasonOffered)
		}
		if remote.state == remoteOffered {
			// The agent that was offered the first packet would have sent a holder notice if it had opened the flow.
			if behindCut {
				return d.placeFlow(in, a, 0)
			}
			return d.placeFlow(in, a, remote.attempt+1)
		}
		if a.Header.Position != framer.PositionOwnerClosed &&
			(in.Now-d.tableChangedAt < tableSettleTime || d.reach.openedAt != 0 && in.Now-d.reach.openedAt < tableSettleTime) {
			return d.probeFrom(in, a, 0)
		}
	}
	return d.placeFlow(in, a, 0)
}

// placeFlow opens a new flow here, forwards or offers it to another agent, refuses or drops it. attempt is the number of the
// next offer, from 0.
func (d *Decider) placeFlow(in Input, a Arrival, attempt int) Decision {
	if decision, ok := d.rejectByRules(in, a); ok {
		return decision
	}
	owner, ok := in.Table.Pick(a.Header.Flow)
	if ok && !isSelf(in, owner) && a.Header.Flags == 0 && a.Header.Hops == 0 && !d.detector.IsUnresponsive(owner.Address, in.Now) &&
		a.Header.Position != framer.PositionOwnerClosed && !in.isClosed(owner) {
		return d.forward(in, a, owner.Address, 0, 0, ReasonNotOwner)
	}
	acceptsNewFlows := d.acceptsNewFlows(in)
	if acceptsNewFlows && d.hasRoom(in, a) && d.boundAllows(in.Now) {
		return d.openFlow(in, a)
	}
	d.candidates = d.appendAlternates(d.candidates[:0], 0, in, a.Header.Flow)
	if attempt < len(d.candidates) {
		return d.offerTo(in, a, d.candidates[attempt].Address, attempt)
	}
	if acceptsNewFlows {
		return d.submit(in, a)
	}
	if d.target.LastResort && !in.isEvacuated() && d.quarantine.Allows() && !d.targetUnresponsive(in.Now) && in.Now >= d.targetFullUntil && d.boundAllows(in.Now) {
		return d.openFlow(in, a)
	}
	d.remoteFlows.remove(a.Header.Flow)
	return Decision{Action: ActionRefuse, Reason: in.refusalReason()}
}

// rejectByRules returns the decision about a new flow that the rules do not send here, and false when they allow it. The
// newer rules of the entry and of this agent decide. If both are older than a route revision with which a flow was opened
// here, the flow is dropped once the grace period after that is over.
func (d *Decider) rejectByRules(in Input, a Arrival) (Decision, bool) {
	switch {
	case in.Revision >= a.Header.Revision && !in.Rules.AcceptsNewFlows(a.Header.Flow.Virtual):
		return Decision{Reason: ReasonNoRoute}, true
	case max(in.Revision, a.Header.Revision) < d.routeRevision && in.Now-d.routeRevisionAt > d.limits.OldRulesGrace:
		return Decision{Reason: ReasonOldRules}, true
	}
	return Decision{}, false
}

// acceptsNewFlows reports whether the target takes new flows at all.
func (d *Decider) acceptsNewFlows(in Input) bool {
	return d.target.AcceptsNewFlows && !in.isEvacuated() && d.quarantine.Allows() && !d.targetUnresponsive(in.Now) && in.Now >= d.targetFullUntil
}

// targetUnresponsive reports whether the target leaves packets unanswered.
func (d *Decider) targetUnresponsive(now cherviltide.Millis) bool {
	return d.unansweredSince != 0 && now-d.unansweredSince > unresponsiveAfter
}

// openFlow adds a flow and delivers its opening packet.
func (d *Decider) openFlow(in Input, a Arrival) Decision {
	openingGeneration, ok := in.Table.OpeningGeneration(a.Header.Flow, in.Self)
	if !ok || openingGeneration < d.releasedGeneration {
		// A table with retained agents may be older for a moment than the one that was announced.
		openingGeneration = max(in.Table.Generation(), d.releasedGeneration)
	}
	revision := a.Header.RouteRevision
	if in.Revision >= a.Header.Revision {
		revision = in.Rules.RouteRevision(a.Header.Flow.Virtual)
	}
	if revision > d.routeRevision {
		d.routeRevision, d.routeRevisionAt = revision, in.Now
	}
	route := in.Rules.Route(a.Header.Flow.Virtual)
	f := &flow{
		callerSequence: a.Packet.Sequence, openingGeneration: openingGeneration, openedAt: in.Now, lastPacketAt: in.Now,
		deadline: route.Deadline, bulky: route.Class == cherviltide.ClassBulky, upload: route.Class == cherviltide.ClassUpload,
	}
	d.flows[a.Header.Flow] = f
	if route.Class == cherviltide.ClassUpload {
		d.openTransfer(in, f)
	} else {
		d.markActive(f)
	}
	if !f.bulky {
		d.load.lastOrdinaryAt = in.Now
	}
	d.quarantine.Opened()
	d.waitingQueue(in, a).Started(in.Now, d.waitingFlow(in, a))
	decision := d.deliverOpening(in, a)
	decision.Reason = ReasonOpened
	if a.Header.Flags == framer.FlagOffered {
		decision.Notify, f.noticed = a.Sender, a.Sender
	}
	if a.Header.Position == framer.PositionOwnerClosed && a.Header.Flags == 0 {
		// The entry may send further packets to the owner, or, when its table changes, to another substitute.
		if next, ok := in.Table.PickOpen(a.Header.Flow, in.Closed); ok && !isSelf(in, next) && !in.isClosed(next) {
			decision.Notify = next.Address
		}
	}
	return decision
}

func (d *Decider) deliverOpening(in Input, a Arrival) Decision {
	if d.unansweredSince == 0 {
		d.unansweredSince = in.Now
	}
	if d.silentSince == 0 {
		d.silentSince = in.Now
	}
	d.pacing.pacer.Record(in.Now)
	return Decision{Action: ActionDeliver, Reason: ReasonHeld, Token: d.tokens.issue(a)}
}

// appendAlternates appends the agents that a new flow may be offered to and that are not in the list yet: the secondary of
// its bucket, then others in an order that differs between flows, so that they share the flows that an owner cannot take.
// existing is the length of the list. When it is 0, the list is for an offer, and agents in evacuated failure domains and
// unresponsive ones other than the secondary are left out.
func (d *Decider) appendAlternates(list []cherviltide.Member, existing int, in Input, flow cherviltide.FlowKey) []cherviltide.Member {
	count := 0
	add := func(m cherviltide.Member) {
		if count == maxOffers || isSelf(in, m) {
			return
		}
		count++
		for _, listed := range list {
			if listed.Name == m.Name {
				return
			}
		}
		list = append(list, m)
	}
	secondary, ok := in.Table.Secondary(flow)
	if ok && (existing > 0 || !in.Table.IsEvacuated(secondary.FailureDomain) && !in.isClosed(secondary)) {
		add(secondary)
	}
	d.members = in.Table.AppendActive(d.members[:0])
	start := flow.Hash() >> 16
	for i := range d.members {
		m := d.members[(uint64(i)+start)%uint64(len(d.members))]
		if ok && m.Name == secondary.Name {
			continue
		}
		if existing == 0 && (d.detector.IsUnresponsive(m.Address, in.Now) || in.isClosed(m)) {
			continue
		}
		add(m)
	}
	return list
}

// offerTo offers a new flow to another agent and records the offer, so that later packets of the flow follow it.
func (d *Decider) offerTo(in Input, a Arrival, agent netip.AddrPort, attempt int) Decision {
	d.remoteFlows.set(a.Header.Flow, remoteFlow{state: remoteOffered, agent: agent, attempt: attempt}, in.Now)
	d.detector.RecordProbe(agent, in.Now)
	return d.forward(in, a, agent, framer.FlagOffered, d.offerPosition(in, a, attempt), ReasonOffered)
}

// handleOffer accepts or declines a new flow that its owner offers. If the owner can serve the flow itself, this agent
// takes it only with a free slot or with an expected wait that is shorter than the owner's.
func (d *Decider) handleOffer(in Input, a Arrival) Decision {
	if decision, ok := d.rejectByRules(in, a); ok {
		return decision
	}
	if d.acceptsNewFlows(in) {
		if d.hasRoom(in, a) && d.boundAllows(in.Now) {
			return d.openFlow(in, a)
		}
		wait, verdict := d.waitingQueue(in, a).Predict(in.Now, d.waitingFlow(in, a))
		shorter := verdict == queuer.VerdictTimely && wait+waitStep < offeredWait(a.Header.Position)
		if verdict != queuer.VerdictRefused && (shorter || a.Header.Position&cannotServeBit != 0) {
			return d.submit(in, a)
		}
	}
	return d.returnToSender(a, framer.FlagDeclined, ReasonDeclined)
}

// handleDecline continues with the next agent after an offer was declined.
func (d *Decider) handleDecline(in Input, a Arrival) Decision {
	if remote := d.remoteFlows.get(a.Header.Flow, in.Now); remote.confirmed && remote.agent != a.Sender {
		// The flow has opened meanwhile at the agent that got another transmission of the packet.
		return d.forward(in, a, remote.agent, framer.FlagOffered, d.offerPosition(in, a, remote.attempt), ReasonOffered)
	}
	return d.placeFlow(in, a, int(a.Header.Position&attemptMask)+1)
}

// handleTargetRefusal decides about a new flow whose opening packet the target has returned.
func (d *Decider) handleTargetRefusal(in Input, a Arrival) Decision {
	switch a.Header.Flags {
	case framer.FlagOffered:
		return d.returnToSender(a, framer.FlagDeclined, ReasonDeclined)
	case framer.FlagDeclined:
		return d.placeFlow(in, a, maxOffers)
	}
	return d.placeFlow(in, a, 0)
}
