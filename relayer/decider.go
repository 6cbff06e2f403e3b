// Package relayer is the data path of an agent for flows that it relays to its target without terminating them.
//
// The agent is the only path to its target and sees every packet in both directions, so it knows which flows the target
// holds. It forwards packets of other flows to the agent that holds them; its target does not see them. An agent that may
// have started after a flow was opened delivers the packet to its target, which returns packets of flows that it does not
// hold.
package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/detector"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/pacer"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/quarantiner"
	"cherviltide.example/cherviltide/queuer"
)

// Timeouts and periods of the decisions.
const (
	// endedFlowRetention is how long a flow is kept after it has ended, so that its last packets still reach the target. It
	// covers the sender's retransmissions of its last packet.
	endedFlowRetention cherviltide.Millis = 4_000
	// answerTimeout is how long the target may leave the opening of a flow unanswered; callers give up earlier.
	answerTimeout cherviltide.Millis = 2_000
	// requestTimeout is how long a new flow without a request counts as active. Callers send a request at once; those that
	// have given up send none. A request whose packet was lost makes the flow active again.
	requestTimeout cherviltide.Millis = 100
	// fullPacketTimeout is how long a flow still counts as active after a full-sized packet of the target, which may have
	// been the last one of an answer. Senders retransmit lost packets sooner.
	fullPacketTimeout cherviltide.Millis = 250
	// unresponsiveAfter is how long the target, on the same machine, may leave all packets unanswered before new flows are
	// offered to other agents. It is shorter than the time until the caller's first retransmission.
	unresponsiveAfter cherviltide.Millis = 120
	// targetFullPause is how long new flows are offered to other agents after the target has returned one.
	targetFullPause cherviltide.Millis = 30
	// tableSettleTime is how long after a change of the table a retransmitted opening packet may belong to a flow that was
	// offered to another agent. It covers the caller's last retransmission and the distribution of the table.
	tableSettleTime cherviltide.Millis = 2_000
	// DefaultIdleTimeout is how long a flow without packets is kept when the rules set no timeout.
	DefaultIdleTimeout cherviltide.Millis = 60_000
)

const (
	// maxHops is the highest number of times that agents forward one packet.
	maxHops = 60
	// maxOffers is the highest number of agents, other than the owner, that a new flow is offered to.
	maxOffers = 3
	// directPosition is the position in a probe that is sent because of a remote flow record and not by the search of the
	// candidate list.
	directPosition = 255
)

// Limits are bounds that depend on the target and the network.
type Limits struct {
	// MaxFlowAge is the longest time that a flow lasts.
	MaxFlowAge cherviltide.Millis
	// MaxPayload is the largest payload of a packet, in bytes. A shorter packet of the target ends an answer.
	MaxPayload int
	// OpeningRetransmissions are the times after which callers send the retransmissions of an opening packet, from its first
	// transmission. OpeningTimeout is how long callers wait for its answer; 0 means answerTimeout.
	OpeningRetransmissions []cherviltide.Millis
	OpeningTimeout         cherviltide.Millis
	// OldRulesGrace is how long new flows are still opened with old rules after a flow was opened here with newer ones.
	OldRulesGrace cherviltide.Millis
	// QuarantineShare is the largest share of a service whose targets may be out of service because they are grey; 0 means that
	// all stay in service.
	QuarantineShare float64
	// ColdBound bounds the opening packets that a cold target gets.
	ColdBound pacer.Bound
}

// Target is the state that the target reports.
type Target struct {
	// Slots is the number of requests that the target runs at once; 0 before its first report.
	Slots int
	// AcceptsNewFlows is true while the target takes new flows. LastResort is true while it takes new flows that no other
	// agent takes.
	AcceptsNewFlows, LastResort bool
	// PredatesAgent is true when the target started before this agent and may hold flows that the agent does not know.
	PredatesAgent bool
	// Unserved is true when no agent can have delivered a flow to the target before this agent started.
	Unserved bool
	// ReportedAt is the time of the report on the clock of the data path; the following fields are those of that time.
	ReportedAt cherviltide.Millis
	// WarmUpLeft is the remaining warm-up. Age is the time since the start of the target, only valid if HasAge is true.
	WarmUpLeft, Age cherviltide.Millis
	HasAge          bool
}

// Rules gives access to the routes of new flows in the rules of a process.
type Rules interface {
	// AcceptsNewFlows reports whether new flows of a virtual address may go to this agent's service.
	AcceptsNewFlows(virtual netip.AddrPort) bool
	// RouteRevision returns the revision that last changed the route shares of a virtual address.
	RouteRevision(virtual netip.AddrPort) uint64
	// Route returns the route of a virtual address, or the zero Route when there is none.
	Route(virtual netip.AddrPort) cherviltide.Route
}

// Input is the state of the system that a decision depends on.
type Input struct {
	Now cherviltide.Millis
	// Self is this agent as it is announced.
	Self  cherviltide.Member
	Table *picker.Table
	// Rules are the rules of this process, Revision is their revision.
	Rules    Rules
	Revision uint64
	// IdleTimeout is how long a flow without packets is kept; 0 means the default.
	IdleTimeout cherviltide.Millis
	// Closed are the failure domains that this process does not reach.
	Closed []string
}

// idleTimeout returns how long a flow without packets is kept.
func (in Input) idleTimeout() cherviltide.Millis {
	if in.IdleTimeout <= 0 {
		return DefaultIdleTimeout
	}
	return in.IdleTimeout
}

// Decider decides about the packets of one agent. It has no socket, goroutine or clock. It is not safe for concurrent use.
type Decider struct {
	limits Limits
	// started is when the agent started; until MaxFlowAge after it, flows may be older than the agent.
	started     cherviltide.Millis
	target      Target
	flows       map[cherviltide.FlowKey]*flow
	remoteFlows remoteFlows
	tokens      tokens
	load        load
	pacing      pacing
	// queue has the new flows that wait for a slot of the target, uploads those that wait for a place among the transfers.
	queue    *queuer.Queue[Arrival]
	uploads  *queuer.Queue[Arrival]
	detector *detector.Detector
	// quarantine decides whether the target is grey; peers is what it knows of the service.
	quarantine *quarantiner.Quarantiner
	peers      peers
	// unansweredSince is when the first opening packet was delivered after the target's last packet or report; 0 when there is
	// none. silentSince is the same without the reports, which do not show that the target serves flows.
	unansweredSince, silentSince cherviltide.Millis
	// targetFullUntil is until when new flows are offered to other agents because the target returned one.
	targetFullUntil cherviltide.Millis
	// tableGeneration is the generation of the last table, tableChangedAt is when this generation was first used.
	tableGeneration uint64
	tableChangedAt  cherviltide.Millis
	// routeRevision is the highest route revision with which a flow was opened here, routeRevisionAt is when the
	// first of these flows was opened.
	routeRevision   uint64
	routeRevisionAt cherviltide.Millis
	// releasedGeneration is the highest generation for which the agent has announced that it holds no flow opened before
	// it.
	releasedGeneration uint64
	// recall is the state of the recall after the start. noticedTable and noticedAt are the table and the time of the last
	// notices. Tables of one generation differ by the agents that are retained during a cut.
	recall       recall
	noticedTable *picker.Table
	noticedAt    cherviltide.Millis
	searches     searchLimit
	reach        reach
	// candidates and members are buffers that are reused, so that a decision does not allocate.
	candidates []cherviltide.Member
	members    []cherviltide.Member
}

// NewDecider returns the decider of an agent that starts now.
func NewDecider(limits Limits, now cherviltide.Millis) *Decider {
	d := &Decider{
		limits: limits, started: now, target: Target{PredatesAgent: true}, flows: map[cherviltide.FlowKey]*flow{}, remoteFlows: newRemoteFlows(), detector: detector.New(),
		queue: queuer.New[Arrival](), uploads: queuer.New[Arrival](), quarantine: quarantiner.New(limits.QuarantineShare),
		pacing: pacing{pacer: pacer.New(limits.ColdBound, now)},
	}
	d.queue.SetBound(d.pacing.pacer)
	d.uploads.SetBound(d.pacing.pacer)
	return d
}

// SetTarget sets the state that the target reports. If the target was replaced, all flows are dropped, because the new
// target holds none of them.
func (d *Decider) SetTarget(t Target, replaced bool) {
	if replaced {
		clear(d.flows)
		d.load = load{}
		d.silentSince = 0
		d.quarantine.Restarted()
	}
	d.target = t
	d.unansweredSince = 0
	d.pacing.setTarget(t, replaced)
}

// Active returns the number of active flows.
func (d *Decider) Active() int { return d.load.active }

// Flows returns the number of flows that the agent keeps, including ended ones until they expire.
func (d *Decider) Flows() int { return len(d.flows) }

// ServiceTimeMs returns the smoothed service time of the target, in milliseconds; 0 when it is not known. Uploads count only
// at a target that gets nothing else.
func (d *Decider) ServiceTimeMs() float64 {
	if d.load.serviceTime.count == 0 {
		return d.load.uploadTime.value
	}
	return d.load.serviceTime.value
}

// observeTable records a change of the table, and the idle timeout of the rules.
func (d *Decider) observeTable(in Input) {
	d.remoteFlows.ttl = in.idleTimeout()
	d.observeReach(in)
	if g := in.Table.Generation(); g != d.tableGeneration {
		d.tableGeneration, d.tableChangedAt = g, in.Now
	}
	d.observePace(in)
}

// FromPeer decides about a caller's packet that an entry or another agent forwarded.
func (d *Decider) FromPeer(in Input, a Arrival) Decision {
	return d.withLoad(d.decideFromPeer(in, a))
}

// withLoad returns a decision with the present load, for the log.
func (d *Decider) withLoad(decision Decision) Decision {
	decision.Active, decision.Slots, decision.Transfers, decision.Waiting = d.load.active, d.target.Slots, d.load.transfers, d.Waiting()
	return decision
}

func (d *Decider) decideFromPeer(in Input, a Arrival) Decision {
	d.observeTable(in)
	if a.Header.Flags != 0 {
		d.detector.MarkAlive(a.Sender)
	}
	if a.Header.Flags == framer.FlagHolderNotice {
		return d.handleNotice(in, a)
	}
	if a.Header.Hops > maxHops {
		return Decision{Reason: ReasonHops}
	}
	if a.Packet.Has(cherviltide.PacketOpen | cherviltide.PacketAck) {
		return Decision{Reason: ReasonForged}
	}
	if a.Packet.OpensFlow() {
		return d.decideOpeningPacket(in, a)
	}
	return d.decideLaterPacket(in, a)
}

// decideLaterPacket decides about a packet that does not open a flow.
func (d *Decider) decideLaterPacket(in Input, a Arrival) Decision {
	key := a.Header.Flow
	// The caller sends such a packet after another target has answered, or when it gives up.
	if d.Waiting() > 0 {
		d.removeWaiting(key)
	}
	f := d.flows[key]
	if f != nil && f.acknowledgesOtherTarget(a.Packet) {
		d.removeFlow(key, f)
		f = nil
	}
	if f != nil {
		wasOpen := f.isOpen()
		d.recordCallerPacket(in, f, a.Packet)
		decision := Decision{Action: ActionDeliver, Reason: ReasonHeld}
		if !wasOpen && f.isOpen() || a.Header.Flags == framer.FlagProbe && a.Header.Position != directPosition {
			decision.Notices = d.confirmHolder(in, a, f)
		}
		return decision
	}
	if remote := d.remoteFlows.get(key, in.Now); d.targetMayHoldUnknown(in.Now) && !remote.notAtTarget && remote.state == remoteNone {
		if d.isRecalling(in.Now) {
			return Decision{Reason: ReasonRecalling}
		}
		return Decision{Action: ActionDeliver, Reason: ReasonUnsure, Token: d.tokens.issue(a)}
	}
	return d.searchHolder(in, a)
}

// targetMayHoldUnknown reports whether the target may hold flows that the agent does not know.
func (d *Decider) targetMayHoldUnknown(now cherviltide.Millis) bool {
	return now-d.started < d.limits.MaxFlowAge && d.target.PredatesAgent
}

// recordCallerPacket updates a held flow after a packet from its caller.
func (d *Decider) recordCallerPacket(in Input, f *flow, p cherviltide.Packet) {
	f.lastPacketAt = in.Now
	if f.answered && p.Has(cherviltide.PacketAck) {
		f.established = true
	}
	if f.transfer != nil && !f.targetFinished {
		if p.Length > 0 || p.Has(cherviltide.PacketFinish) && f.requestSeen {
			d.recordUpload(in, f, p)
		}
	} else if p.Length > 0 && !f.targetFinished && (!f.requestSeen || int32(p.Sequence-f.nextCallerSequence) >= 0) {
		d.recordRequest(in, f)
		f.nextCallerSequence = p.Sequence + uint32(p.Length)
	}
	if p.Has(cherviltide.PacketFinish) {
		f.callerFinished = true
	}
	if p.Has(cherviltide.PacketReset) {
		d.recordAbandoned(in, f)
		d.markIdle(f)
		f.endedAt = in.Now
	}
}

// recordRequest updates a flow after a request, or a further part of one.
func (d *Decider) recordRequest(in Input, f *flow) {
	d.stopSending(f)
	d.markActive(f)
	if !f.requestSeen {
		d.load.openingTime.add(in.Now - f.openedAt)
	}
	if !f.requestSeen || f.answering {
		f.lastRequestAt = in.Now
		if d.load.working < d.target.Slots {
			f.requestedAt = in.Now
		}
	}
	if !f.working {
		f.working = true
		d.load.working++
		f.besideSending = d.isBesideSending()
	}
	f.requestSeen, f.answering = true, false
}

func (d *Decider) removeFlow(key cherviltide.FlowKey, f *flow) {
	d.markIdle(f)
	delete(d.flows, key)
}

// Expire removes flows that ended some time ago, were not answered, were idle or lasted for too long, and expired records of
// remote flows. Flows that wait too long for a request, or for more of an answer, stop counting as active.
func (d *Decider) Expire(in Input) {
	for key, f := range d.flows {
		d.expireActive(in, f)
		switch {
		case f.endedAt != 0 && in.Now-f.endedAt > endedFlowRetention,
			d.isUnanswered(in, f),
			in.Now-f.lastPacketAt > in.idleTimeout(),
			in.Now-f.openedAt > d.limits.MaxFlowAge+endedFlowRetention:
			d.removeFlow(key, f)
		}
	}
	d.remoteFlows.expire(in.Now)
	if d.silentSince != 0 && in.Now-d.silentSince > silentAfter {
		d.pacing.pacer.Unanswered(in.Now)
	}
	d.observePace(in)
	d.tickQuarantine(in)
}

// isUnanswered reports whether the target has not answered the opening of a flow in time, and records it.
func (d *Decider) isUnanswered(in Input, f *flow) bool {
	if f.answered || in.Now-f.openedAt <= answerTimeout {
		return false
	}
	d.recordEnd(in, f)
	return true
}

// OldestGeneration returns the lowest generation at which a kept flow was opened, or the given one when that is lower or no
// flow is kept. The agent opens no flow at a lower generation afterwards. While the target may hold flows that the agent
// does not know, their generations are unknown and the result is 0.
func (d *Decider) OldestGeneration(now cherviltide.Millis, generation uint64) uint64 {
	if d.targetMayHoldUnknown(now) {
		return 0
	}
	for _, f := range d.flows {
		generation = min(generation, f.openingGeneration)
	}
	d.releasedGeneration = max(d.releasedGeneration, generation)
	return generation
}
