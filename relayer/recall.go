package relayer

import (
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// Uses of a holder notice, as the position in its header.
const (
	// noticeOpened says that the sender has opened the flow or lets it wait. Another agent that got a retransmission of the opening
	// packet may get the flow in the end.
	noticeOpened = 0
	// noticeRecall asks for the notices of all flows that concern the sender, which has started and knows none.
	noticeRecall = 1
	// noticeRecallEnd follows the notices that answer a noticeRecall.
	noticeRecallEnd = 2
	// noticeHeld says that an agent holds the open flows of the notice: the sender, or the agent at the header's entry address.
	noticeHeld = 3
)

// Times of recalls and notices.
const (
	// recallTimeout bounds the time for which packets of unknown flows are dropped until the other agents have answered. It is
	// shorter than the time until a sender retransmits a packet.
	recallTimeout cherviltide.Millis = 150
	// recallInterval is the time between two recalls to agents that have not answered.
	recallInterval cherviltide.Millis = 40
	// maxRecalls is the highest number of recalls to one agent.
	maxRecalls = 20
	// noticeInterval is the time after which notices are sent again although no table has changed, because datagrams are lost.
	noticeInterval cherviltide.Millis = 10_000
)

// Notice tells another agent which flows an agent holds, or asks it for that.
type Notice struct {
	To  netip.AddrPort
	Use uint8
	// Holder is the agent that holds the flows; it is invalid when that is the sender.
	Holder netip.AddrPort
	// Flows has at most framer.MaxFlowKeys flows.
	Flows []cherviltide.FlowKey
}

// recall is the state of the recall of an agent that has started.
type recall struct {
	// startedAt is when the agent had its first table with members, 0 before that. sentAt is when recalls were sent last, rounds
	// how often they were.
	startedAt, sentAt cherviltide.Millis
	rounds            int
	// waiting has the agents that have not answered yet; done is true once all of them have.
	waiting map[netip.AddrPort]bool
	done    bool
}

// isRecalling reports whether the agent still waits for the other agents' notices, so that it does not know yet who holds an
// unknown flow.
func (d *Decider) isRecalling(now cherviltide.Millis) bool {
	return d.target.PredatesAgent && !d.recall.done && (d.recall.startedAt == 0 || now-d.recall.startedAt < recallTimeout)
}

// Notices returns the notices that are due: the recalls of an agent that has started, and notices of the flows whose owner has
// changed. A flow whose owner holds it needs none.
func (d *Decider) Notices(in Input) []Notice {
	var b noticeBatch
	d.addRecalls(in, &b)
	repeat := in.Now-d.noticedAt >= noticeInterval
	d.observeReach(in)
	if repeat || in.Table != d.noticedTable || len(d.reach.reopened) > 0 {
		d.noticedTable = in.Table
		if repeat {
			d.noticedAt = in.Now
		}
		d.addFlowNotices(in, &b, repeat)
	}
	return b.notices
}

// HasNotices reports whether the table has changed, or a failure domain has become open, since the last call of Notices.
func (d *Decider) HasNotices(in Input) bool {
	d.observeReach(in)
	return in.Table != d.noticedTable || len(d.reach.reopened) > 0
}

// addRecalls adds recalls to the agents that have not answered yet. An agent whose target has started after it has nothing to
// ask for.
func (d *Decider) addRecalls(in Input, b *noticeBatch) {
	r := &d.recall
	if r.done || r.rounds >= maxRecalls || !d.target.PredatesAgent {
		return
	}
	if r.startedAt == 0 {
		d.members = in.Table.AppendMembers(d.members[:0])
		r.waiting = map[netip.AddrPort]bool{}
		for _, m := range d.members {
			if !isSelf(in, m) {
				r.waiting[m.Address] = true
			}
		}
		if len(d.members) == 0 {
			return
		}
		r.startedAt = in.Now
	}
	if len(r.waiting) == 0 {
		r.done = true
		return
	}
	// Agents that do not answer for long are asked less and less often.
	if r.rounds > 0 && in.Now-r.sentAt < recallInterval<<min(r.rounds, 6) {
		return
	}
	r.rounds, r.sentAt = r.rounds+1, in.Now
	for to := range r.waiting {
		b.notices = append(b.notices, Notice{To: to, Use: noticeRecall})
	}
}

// addFlowNotices adds notices of the flows that another agent owns, to the owner. It also passes on what this agent knows of the
// flows of others, since their holders may have restarted.
func (d *Decider) addFlowNotices(in Input, b *noticeBatch, repeat bool) {
	reopened := d.takeReopened()
	isReopened := func(owner cherviltide.Member) bool { return slices.Contains(reopened, owner.FailureDomain) }
	for key, f := range d.flows {
		owner, ok := in.Table.Pick(key)
		if ok && in.isClosed(owner) {
			d.addSubstituteNotice(in, b, key, f)
		}
		if !ok || !f.isOpen() {
			continue
		}
		if isSelf(in, owner) {
			f.noticed = netip.AddrPort{}
			continue
		}
		if repeat || f.noticed != owner.Address || isReopened(owner) {
			f.noticed = owner.Address
			b.add(owner.Address, netip.AddrPort{}, key)
		}
	}
	for key, remote := range d.remoteFlows.byFlow {
		if owner, ok := in.Table.Pick(key); remote.confirmed && ok && !isSelf(in, owner) && (remote.noticed != owner.Address || isReopened(owner)) {
			remote.noticed = owner.Address
			d.remoteFlows.byFlow[key] = remote
			b.add(owner.Address, remote.agent, key)
		}
	}
}

// addSubstituteNotice adds a notice of a flow whose owner is in a closed failure domain to the agent to which entries send the flow's
// packets instead. After a change of the table that is another one, which does not find this agent among the candidates.
func (d *Decider) addSubstituteNotice(in Input, b *noticeBatch, key cherviltide.FlowKey, f *flow) {
	next, ok := in.Table.PickOpen(key, in.Closed)
	switch {
	case !ok || in.isClosed(next) || f.substitute == next.Address || f.endedAt != 0:
		return
	case isSelf(in, next):
	case f.isOpen():
		b.add(next.Address, netip.AddrPort{}, key)
	default:
		b.notices = append(b.notices, Notice{To: next.Address, Use: noticeOpened, Flows: []cherviltide.FlowKey{key}})
	}
	f.substitute = next.Address
}

// confirmHolder returns the notice that this agent holds a flow: to the agent that has searched for it, or to its owner.
func (d *Decider) confirmHolder(in Input, a Arrival, f *flow) []Notice {
	to := a.Sender
	if a.Header.Flags == 0 {
		owner, ok := in.Table.Pick(a.Header.Flow)
		if !ok || isSelf(in, owner) {
			return nil
		}
		to = owner.Address
	}
	f.noticed = to
	return []Notice{{To: to, Use: noticeHeld, Flows: []cherviltide.FlowKey{a.Header.Flow}}}
}

// answerRecall returns the notices for an agent that has started: the flows of its buckets that are held elsewhere, and those
// that this agent knows to be held there.
func (d *Decider) answerRecall(in Input, to netip.AddrPort) []Notice {
	var b noticeBatch
	concerns := func(key cherviltide.FlowKey) bool {
		d.candidates = in.Table.AppendCandidates(d.candidates[:0], key)
		for _, m := range d.candidates {
			if m.Address == to {
				return true
			}
		}
		return false
	}
	for key, f := range d.flows {
		if f.isOpen() && concerns(key) {
			b.add(to, netip.AddrPort{}, key)
		}
	}
	for key, remote := range d.remoteFlows.byFlow {
		if remote.confirmed && (remote.agent == to || concerns(key)) {
			b.add(to, remote.agent, key)
		}
	}
	b.notices = append(b.notices, Notice{To: to, Use: noticeRecallEnd})
	return b.notices
}

// handleNotice handles a holder notice with its flows.
func (d *Decider) handleNotice(in Input, a Arrival) Decision {
	decision := Decision{Reason: ReasonNotice}
	switch a.Header.Position {
	case noticeRecall:
		if d.isMember(in, a.Sender) {
			decision.Notices = d.answerRecall(in, a.Sender)
		}
		return decision
	case noticeRecallEnd:
		delete(d.recall.waiting, a.Sender)
		if len(d.recall.waiting) == 0 && d.recall.startedAt != 0 {
			d.recall.done = true
		}
		return decision
	}
	holder := a.Sender
	if a.Header.Entry.IsValid() && a.Header.Entry.Port() != 0 {
		holder = a.Header.Entry
	}
	confirmed := a.Header.Position == noticeHeld
	d.recordHolder(in, a.Header.Flow, holder, confirmed)
	for _, key := range a.Flows {
		d.recordHolder(in, key, holder, confirmed)
	}
	return decision
}

// recordHolder records which agent holds a flow. If it is this agent, which has restarted, its target has the flow.
func (d *Decider) recordHolder(in Input, key cherviltide.FlowKey, holder netip.AddrPort, confirmed bool) {
	if holder != in.Self.Address {
		d.removeWaiting(key)
		if confirmed || !d.remoteFlows.get(key, in.Now).confirmed {
			d.remoteFlows.set(key, remoteFlow{state: remoteHeld, agent: holder, confirmed: confirmed, noticeAt: in.Now}, in.Now)
		}
		return
	}
	if confirmed && d.flows[key] == nil && d.targetMayHoldUnknown(in.Now) && d.remoteFlows.get(key, in.Now) == (remoteFlow{}) {
		d.flows[key] = &flow{inferred: true, answered: true, established: true, openedAt: in.Now, lastPacketAt: in.Now}
	}
}

// isMember reports whether an address is that of an agent of the table.
func (d *Decider) isMember(in Input, address netip.AddrPort) bool {
	d.members = in.Table.AppendMembers(d.members[:0])
	for _, m := range d.members {
		if m.Address == address {
			return true
		}
	}
	return false
}

// noticeBatch collects notices so that flows with the same receiver and holder share datagrams.
type noticeBatch struct {
	notices []Notice
	// open has the index of the notice that takes further flows.
	open map[noticeEnds]int
}

// noticeEnds are the receiver and the holder of a notice.
type noticeEnds struct{ to, holder netip.AddrPort }

func (b *noticeBatch) add(to, holder netip.AddrPort, key cherviltide.FlowKey) {
	ends := noticeEnds{to, holder}
	i, ok := b.open[ends]
	if !ok || len(b.notices[i].Flows) == framer.MaxFlowKeys {
		if b.open == nil {
			b.open = map[noticeEnds]int{}
		}
		i = len(b.notices)
		b.open[ends] = i
		b.notices = append(b.notices, Notice{To: to, Use: noticeHeld, Holder: holder})
	}
	b.notices[i].Flows = append(b.notices[i].Flows, key)
}
