package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
)

// searchHolder forwards a packet of a flow that this agent does not hold to the next agent that may hold it.
func (d *Decider) searchHolder(in Input, a Arrival) Decision {
	key := a.Header.Flow
	remote := d.remoteFlows.get(key, in.Now)
	elsewhere := (remote.state == remoteHeld || remote.state == remoteOffered) && remote.agent != a.Sender
	if a.Header.Flags == 0 {
		if decision, ok := d.searchBehindCut(in, a, remote, elsewhere); ok {
			return decision
		}
	}
	switch {
	case a.Header.Flags == framer.FlagProbe && elsewhere && a.Header.Position != directPosition:
		return d.forward(in, a, remote.agent, framer.FlagProbe, directPosition, ReasonProbed)
	case a.Header.Flags == framer.FlagProbe:
		decision := d.returnToSender(a, framer.FlagReturned, ReasonNotHeld)
		if elsewhere && remote.confirmed {
			// The sender's record is wrong, and this agent knows better.
			decision.Notices = []Notice{{To: a.Sender, Use: noticeHeld, Holder: remote.agent, Flows: []cherviltide.FlowKey{key}}}
		}
		return decision
	case a.Header.Flags == framer.FlagReturned && a.Header.Position == directPosition && elsewhere:
		return d.forward(in, a, remote.agent, framer.FlagProbe, directPosition, ReasonProbed)
	case a.Header.Flags == framer.FlagReturned && a.Header.Position == directPosition:
		if !remote.isFresh(in.Now) {
			d.remoteFlows.remove(key)
		}
		return d.probeFrom(in, a, 0)
	case a.Header.Flags == framer.FlagReturned && a.Header.Generation == in.Table.Generation():
		return d.probeFrom(in, a, int(a.Header.Position)+1)
	case elsewhere && a.Header.Flags == 0:
		return d.forward(in, a, remote.agent, framer.FlagProbe, directPosition, ReasonProbed)
	case a.Header.Flags == 0 && !d.searches.allow(key.Caller.Addr(), in.Now):
		return Decision{Reason: ReasonSearchLimit}
	}
	return d.probeFrom(in, a, 0)
}

const (
	// maxSearches is the highest number of searches for one caller's address in a searchWindow. A search forwards a packet to
	// each agent that may hold its flow, so that forged packets must not cause many.
	maxSearches                     = 500
	searchWindow cherviltide.Millis = 1_000
	// maxSearchingCallers bounds the addresses that are counted; further ones share one count.
	maxSearchingCallers = 4_096
)

// searchLimit counts the searches of each caller's address in the present window. The zero value is ready to use.
type searchLimit struct {
	windowStart cherviltide.Millis
	counts      map[netip.Addr]int
}

// allow counts a search and reports whether it is within the limit.
func (l *searchLimit) allow(caller netip.Addr, now cherviltide.Millis) bool {
	if l.counts == nil || now-l.windowStart >= searchWindow {
		l.windowStart, l.counts = now, map[netip.Addr]int{}
	}
	if _, ok := l.counts[caller]; !ok && len(l.counts) >= maxSearchingCallers {
		caller = netip.Addr{}
	}
	l.counts[caller]++
	return l.counts[caller] <= maxSearches
}

// probeFrom probes the flow's candidates from a position on, then the alternates that the flow may have been offered to.
// After the last one, an opening packet opens the flow as placeFlow decides. Another packet is returned to the entry if one
// more service may hold the flow, and dropped otherwise.
func (d *Decider) probeFrom(in Input, a Arrival, next int) Decision {
	d.candidates = in.Table.AppendCandidates(d.candidates[:0], a.Header.Flow)
	d.candidates = d.appendAlternates(d.candidates, len(d.candidates), in, a.Header.Flow)
	d.candidates = d.appendSubstitutes(d.candidates, in, a.Header.Flow)
	d.candidates = d.candidates[:min(len(d.candidates), directPosition)]
	for ; next < len(d.candidates); next++ {
		if !isSelf(in, d.candidates[next]) && !in.isClosed(d.candidates[next]) && !d.detector.IsUnresponsive(d.candidates[next].Address, in.Now) {
			return d.probeCandidate(in, a, next)
		}
	}
	if a.Packet.OpensFlow() {
		return d.placeFlow(in, a, 0)
	}
	// No responsive agent holds the flow, and an unresponsive candidate may have recovered.
	for i, m := range d.candidates {
		if !isSelf(in, m) && !in.isClosed(m) && d.detector.IsUnresponsive(m.Address, in.Now) {
			return d.probeCandidate(in, a, i)
		}
	}
	return d.endSearch(in, a)
}

// endSearch decides about a packet whose flow no agent in an open failure domain holds.
func (d *Decider) endSearch(in Input, a Arrival) Decision {
	d.markSearched(a.Header.Flow)
	if decision, ok := d.reachClosed(in, a, netip.AddrPort{}, false); ok {
		return decision
	}
	if a.Header.ServiceIndex+1 < a.Header.ServiceCount {
		header := a.Header
		header.Flags, header.Position = framer.FlagReturned, 0
		header.Hops++
		return Decision{Action: ActionForward, Reason: ReasonStage, To: a.Header.Entry, Header: header}
	}
	return Decision{Reason: ReasonNoHolder}
}

// probeCandidate forwards a packet as a probe to the candidate at a position of the candidate list.
func (d *Decider) probeCandidate(in Input, a Arrival, position int) Decision {
	to := d.candidates[position].Address
	d.detector.RecordProbe(to, in.Now)
	return d.forward(in, a, to, framer.FlagProbe, uint8(position), ReasonProbed)
}

// isSelf reports whether a member is this agent. It compares the name and the address instead of the incarnation, which
// changes when control expels the process.
func isSelf(in Input, m cherviltide.Member) bool {
	return m.Name == in.Self.Name && m.Address == in.Self.Address
}

// forward forwards a packet to another agent with the generation of this agent's table.
func (d *Decider) forward(in Input, a Arrival, to netip.AddrPort, flags framer.Flags, position uint8, reason Reason) Decision {
	header := a.Header
	header.Flags, header.Position, header.Generation = flags, position, in.Table.Generation()
	header.Hops++
	return Decision{Action: ActionForward, Reason: reason, To: to, Header: header}
}

// returnToSender returns a packet to its sender with the sender's own position and generation.
func (d *Decider) returnToSender(a Arrival, flags framer.Flags, reason Reason) Decision {
	header := a.Header
	header.Flags = flags
	header.Hops++
	return Decision{Action: ActionForward, Reason: reason, To: a.Sender, Header: header}
}
