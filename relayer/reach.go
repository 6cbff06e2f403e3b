package relayer

import (
	"net/netip"
	"slices"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/pinger"
)

const (
	// searchMemory is how long an agent remembers that it has searched for a flow in the open failure domains without success, so
	// that not each packet of a flow behind a cut causes a search. maxSearched bounds these flows; further ones make no detour.
	maxSearched                     = 4_096
	searchMemory cherviltide.Millis = 500
)

// reach is what a decider knows about closed failure domains.
type reach struct {
	// closed are the closed domains of the last input. changedAt is when they changed; openedAt when a domain became open, 0
	// before.
	closed              []string
	changedAt, openedAt cherviltide.Millis
	// reopened has the domains that have become open since the last notices. Notices to their agents may have been lost.
	reopened []string
	// searched has the flows that were searched for since searchedAt.
	searched   map[cherviltide.FlowKey]searchedFlow
	searchedAt cherviltide.Millis
}

// searchedFlow says how a packet of a flow arrived that this agent does not hold.
type searchedFlow struct {
	// done is true when the agents in open domains do not hold the flow.
	done bool
	// ownerCopied is true when the entry has sent the packet to the owner as well. detoured is true when the packet comes from
	// an agent that could not reach a possible holder.
	ownerCopied, detoured bool
	// told is true when the agent on the detour was told the holder.
	told bool
}

// observeReach records a change of the closed domains.
func (d *Decider) observeReach(in Input) {
	r := &d.reach
	if slices.Equal(in.Closed, r.closed) {
		return
	}
	for _, name := range r.closed {
		if !slices.Contains(in.Closed, name) {
			r.openedAt = in.Now
			r.reopened = append(r.reopened, name)
		}
	}
	r.closed, r.changedAt = in.Closed, in.Now
	clear(r.searched)
}

// isClosed reports whether a member is in a closed failure domain.
func (in Input) isClosed(m cherviltide.Member) bool {
	return len(in.Closed) > 0 && slices.Contains(in.Closed, m.FailureDomain)
}

// isClosedAgent reports whether an address is that of an agent in a closed failure domain.
func (d *Decider) isClosedAgent(in Input, address netip.AddrPort) bool {
	if len(in.Closed) == 0 {
		return false
	}
	d.members = in.Table.AppendMembers(d.members[:0])
	i := slices.IndexFunc(d.members, func(m cherviltide.Member) bool { return m.Address == address })
	return i >= 0 && in.isClosed(d.members[i])
}

// mayHaveSubstitutes reports whether agents may hold flows that entries sent them because the owner's domain was closed.
func (d *Decider) mayHaveSubstitutes(now cherviltide.Millis) bool {
	return len(d.reach.closed) > 0 || d.reach.openedAt != 0 && now-d.reach.openedAt < d.limits.MaxFlowAge
}

// appendSubstitutes appends the agent of each failure domain that takes a flow when the other domains are closed and that is
// not in the list yet.
func (d *Decider) appendSubstitutes(list []cherviltide.Member, in Input, flow cherviltide.FlowKey) []cherviltide.Member {
	if !d.mayHaveSubstitutes(in.Now) {
		return list
	}
	d.members = in.Table.AppendMembers(d.members[:0])
	for i, m := range d.members {
		sameDomain := func(x cherviltide.Member) bool { return x.FailureDomain == m.FailureDomain }
		if slices.ContainsFunc(d.members[:i], sameDomain) {
			continue
		}
		substitute, ok := in.Table.PickWithin(flow, m.FailureDomain)
		if ok && !slices.ContainsFunc(list, func(x cherviltide.Member) bool { return x.Name == substitute.Name }) {
			list = append(list, substitute)
		}
	}
	return list
}

// searchBehindCut decides about a packet from an entry, or on a detour, whose flow this agent does not hold, if its holder is
// in a closed domain or was not found in the open ones a short time ago.
func (d *Decider) searchBehindCut(in Input, a Arrival, remote remoteFlow, elsewhere bool) (Decision, bool) {
	s := d.rememberSearch(in, a)
	switch {
	case elsewhere && d.isClosedAgent(in, remote.agent):
		return d.reachClosed(in, a, remote.agent, remote.confirmed)
	case !elsewhere && s.done:
		return d.endSearch(in, a), true
	}
	return Decision{}, false
}

// rememberSearch returns what is known about the search for a flow after a packet from an entry, or from an agent that
// makes a detour.
func (d *Decider) rememberSearch(in Input, a Arrival) searchedFlow {
	r := &d.reach
	if len(r.closed) == 0 && a.Header.Position == 0 {
		return searchedFlow{}
	}
	if r.searched == nil || in.Now-r.searchedAt >= searchMemory {
		r.searched, r.searchedAt = map[cherviltide.FlowKey]searchedFlow{}, in.Now
	}
	s, ok := r.searched[a.Header.Flow]
	s.ownerCopied = a.Header.Position == framer.PositionOwnerClosed
	s.detoured = a.Header.Position == framer.PositionDetour
	if ok || len(r.searched) < maxSearched {
		r.searched[a.Header.Flow] = s
	}
	return s
}

// markSearched records that the agents in open domains do not hold a flow.
func (d *Decider) markSearched(key cherviltide.FlowKey) {
	if s, ok := d.reach.searched[key]; ok {
		s.done = true
		d.reach.searched[key] = s
	}
}

// reachClosed forwards a later packet of a flow whose holder may be in a closed domain: to an agent of a third domain, which
// may reach the holder, and to the possible holder itself, since the path may be cut in the other direction only. It returns
// false when that is of no use. to is invalid when the holder is not known.
func (d *Decider) reachClosed(in Input, a Arrival, to netip.AddrPort, confirmed bool) (Decision, bool) {
	s, ok := d.reach.searched[a.Header.Flow]
	if !ok {
		return Decision{}, false
	}
	known := to.IsValid()
	if !known && !s.ownerCopied {
		to = d.closedCandidate(in, a.Header.Flow)
	}
	if s.detoured && known {
		return d.forward(in, a, to, framer.FlagProbe, directPosition, ReasonDetour), true
	}
	if s.detoured || len(in.Closed) == 0 {
		return Decision{}, false
	}
	via, ok := in.Table.PickOpen(a.Header.Flow, append(slices.Clone(in.Closed), in.Self.FailureDomain))
	if !ok || in.isClosed(via) || via.FailureDomain == in.Self.FailureDomain {
		if !to.IsValid() {
			return Decision{}, false
		}
		return d.forward(in, a, to, 0, framer.PositionDetour, ReasonDetour), true
	}
	decision := d.forward(in, a, via.Address, 0, framer.PositionDetour, ReasonDetour)
	decision.Copy = to
	if known && !s.told {
		notice := Notice{To: via.Address, Use: noticeOpened, Holder: to, Flows: []cherviltide.FlowKey{a.Header.Flow}}
		if confirmed {
			notice.Use = noticeHeld
		}
		decision.Notices = []Notice{notice}
		s.told = true
		d.reach.searched[a.Header.Flow] = s
	}
	return decision, true
}

// closedCandidate returns the first candidate of a flow in a closed domain, or an invalid address.
func (d *Decider) closedCandidate(in Input, flow cherviltide.FlowKey) netip.AddrPort {
	d.candidates = in.Table.AppendCandidates(d.candidates[:0], flow)
	for _, m := range d.candidates {
		if in.isClosed(m) {
			return m.Address
		}
	}
	return netip.AddrPort{}
}

// takeReopened returns the domains that have become open since the last call.
func (d *Decider) takeReopened() []string {
	reopened := d.reach.reopened
	d.reach.reopened = nil
	return reopened
}

// markTraffic records that the agent handles packets. If an entry reports that it does not reach a domain, this agent probes it.
func (r *Relayer) markTraffic(in Input, header framer.Header) {
	r.Reach.MarkTraffic()
	if header.Flags != 0 || header.Position != framer.PositionOwnerClosed {
		return
	}
	if owner, ok := in.Table.Pick(header.Flow); ok && !in.isClosed(owner) {
		r.Reach.Suspect(owner.FailureDomain)
	}
}

// newPinger returns the pinger of the agent, which sends from the socket for packets from entries and agents.
func (r *Relayer) newPinger() *pinger.Pinger {
	return pinger.New(pinger.Config{
		FailureDomain: r.config.Self().FailureDomain, Self: r.config.Data, Limits: pinger.AgentLimits, View: r.config.View, Log: r.config.Log,
		Send: func(b []byte, to netip.AddrPort) {
			if _, err := r.data.WriteToUDPAddrPort(b, to); err != nil {
				r.config.Log.Debug("SendFailed", zap.Stringer("To", to), zap.Error(err))
			}
		},
		Changed: func() {
			if in, ok := r.input(r.view()); ok {
				r.sendDueNotices(in, false)
			}
		},
	})
}
