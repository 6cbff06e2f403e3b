package relayer

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

// maxUnconfirmed is the highest number of records of flows that no other agent has confirmed to hold; further ones are not stored,
// since forged packets can cause them. The number of held flows follows that of the other targets' open flows.
const maxUnconfirmed = 16_384

type remoteState uint8

const (
	remoteNone    remoteState = iota
	remoteHeld                // Another agent sent a notice that it holds the flow.
	remoteOffered             // The flow was offered to another agent.
)

// remoteFlow is a record of a flow that another agent holds or may hold.
type remoteFlow struct {
	state remoteState
	agent netip.AddrPort
	// attempt is the number of the offer, from 0.
	attempt int
	// notAtTarget is true when the target has returned a packet of the flow, so that it does not hold the flow.
	notAtTarget bool
	// confirmed is true when the flow is open at the agent, so that no other agent holds it.
	confirmed bool
	// noticed is the owner of the flow's bucket that was told about this record.
	noticed  netip.AddrPort
	lastUsed cherviltide.Millis
	// noticeAt is when the agent's notice arrived, for remoteHeld.
	noticeAt cherviltide.Millis
}

// isFresh reports whether the agent's notice has arrived so recently that a probe which the agent has returned may be older.
func (f remoteFlow) isFresh(now cherviltide.Millis) bool {
	return f.state == remoteHeld && now-f.noticeAt < freshNotice
}

// freshNotice is how long after a notice a returned probe may have been answered before the flow was opened.
const freshNotice cherviltide.Millis = 100

// remoteFlows is a set of records. A record expires when it is not used for the idle timeout of flows.
type remoteFlows struct {
	byFlow map[cherviltide.FlowKey]remoteFlow
	// unconfirmed is the number of records in a state other than remoteHeld.
	unconfirmed int
	ttl         cherviltide.Millis
}

func newRemoteFlows() remoteFlows {
	return remoteFlows{byFlow: map[cherviltide.FlowKey]remoteFlow{}, ttl: DefaultIdleTimeout}
}

// get returns the record of a flow, or the zero remoteFlow, and restarts the record's expiry.
func (s *remoteFlows) get(key cherviltide.FlowKey, now cherviltide.Millis) remoteFlow {
	remote, ok := s.byFlow[key]
	if !ok || now-remote.lastUsed > s.ttl {
		return remoteFlow{}
	}
	remote.lastUsed = now
	s.byFlow[key] = remote
	return remote
}

func (s *remoteFlows) set(key cherviltide.FlowKey, remote remoteFlow, now cherviltide.Millis) {
	if remote.state != remoteHeld && s.unconfirmed >= maxUnconfirmed {
		return
	}
	s.remove(key)
	if remote.state != remoteHeld {
		s.unconfirmed++
	}
	remote.lastUsed = now
	s.byFlow[key] = remote
}

// markNotAtTarget records that the target does not hold a flow. What the record says about other agents is kept.
func (s *remoteFlows) markNotAtTarget(key cherviltide.FlowKey, now cherviltide.Millis) {
	remote := s.get(key, now)
	remote.notAtTarget = true
	s.set(key, remote, now)
}

func (s *remoteFlows) remove(key cherviltide.FlowKey) {
	if remote, ok := s.byFlow[key]; ok && remote.state != remoteHeld {
		s.unconfirmed--
	}
	delete(s.byFlow, key)
}

func (s *remoteFlows) expire(now cherviltide.Millis) {
	for key, remote := range s.byFlow {
		if now-remote.lastUsed > s.ttl {
			s.remove(key)
		}
	}
}

// tokenCount is the number of delivered packets whose headers are kept for a return. A target returns a packet at once.
const tokenCount = 1024

// tokens keeps the headers of the packets that were delivered last and that the target may return.
type tokens struct {
	next uint32
	ring [tokenCount]Arrival
}

// issue stores a packet that is delivered and returns its token, which is never 0.
func (t *tokens) issue(a Arrival) uint32 {
	t.next++
	if t.next == 0 {
		// tokenCount has the same place in the ring as 0.
		t.next = tokenCount
	}
	a.Datagram = nil
	t.ring[t.next%tokenCount] = a
	return t.next
}

// take returns the packet that a token was issued for. It returns false when the token is too old or belongs to another
// flow.
func (t *tokens) take(token uint32, key cherviltide.FlowKey) (Arrival, bool) {
	a := t.ring[token%tokenCount]
	if token == 0 || t.next-token >= tokenCount || a.Header.Flow != key {
		return Arrival{}, false
	}
	return a, true
}
