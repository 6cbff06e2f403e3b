package holder

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

// Bounds of the records of remote flows.
const (
	// remoteFlowTTL is how long a record is kept. It is longer than a QUIC handshake with two retransmissions of its
	// first flight.
	remoteFlowTTL cherviltide.Millis = 5_000
	// maxRemoteFlows is the highest number of records. The oldest are dropped first.
	maxRemoteFlows = 8192
)

// RemoteState tells what an agent knows about a flow that it does not hold.
type RemoteState int

// The states of a remote flow.
const (
	RemoteNone     RemoteState = iota
	RemoteHeld                 // Another agent sent a notice that it holds the flow.
	RemoteOffered              // The flow was offered to the secondary.
	RemoteSearched             // Another agent searches for the holder and may open the flow.
	RemoteDeclined             // This agent declined an offer of the flow.
)

// RemoteFlow is a short-lived record of a flow that another agent holds or may hold.
type RemoteFlow struct {
	State RemoteState
	// Agent is the address of the other agent.
	Agent netip.AddrPort
	// Searcher is set for RemoteHeld when the notice replaced a record in state RemoteSearched: the searching agent.
	// Without it, a notice that turns out to be wrong would allow this agent to open the flow as well.
	Searcher netip.AddrPort
	// Generation is set for RemoteSearched, and for RemoteHeld with a Searcher: the generation of the searching agent's
	// table.
	Generation uint64
	// Declined is true when this agent declined an offer of the flow from Agent.
	Declined bool
}

// withHolder returns the record after a notice that another agent holds the flow.
func (r RemoteFlow) withHolder(agent netip.AddrPort) RemoteFlow {
	held := RemoteFlow{State: RemoteHeld, Agent: agent}
	switch r.State {
	case RemoteSearched:
		held.Searcher, held.Generation = r.Agent, r.Generation
	case RemoteHeld:
		held.Searcher, held.Generation = r.Searcher, r.Generation
	}
	return held
}

// withoutHolder returns the record that remains when the agent of a record in state RemoteHeld does not hold the flow.
func (r RemoteFlow) withoutHolder() RemoteFlow {
	if !r.Searcher.IsValid() {
		return RemoteFlow{}
	}
	return RemoteFlow{State: RemoteSearched, Agent: r.Searcher, Generation: r.Generation}
}

// remoteFlows is a bounded set of records that expire. It is not safe for concurrent use; only the goroutine that receives
// datagrams uses it.
type remoteFlows struct {
	byFlow map[cherviltide.FlowKey]storedRemote
	// queue has the flows in the order in which their records were set. A flow whose record was set again is in it twice.
	queue []queuedKey
}

type storedRemote struct {
	remote RemoteFlow
	expiry cherviltide.Millis
}

type queuedKey struct {
	key    cherviltide.FlowKey
	expiry cherviltide.Millis
}

func newRemoteFlows() *remoteFlows {
	return &remoteFlows{byFlow: map[cherviltide.FlowKey]storedRemote{}}
}

// get returns the unexpired record of a flow, or the zero RemoteFlow.
func (s *remoteFlows) get(key cherviltide.FlowKey, now cherviltide.Millis) RemoteFlow {
	stored, ok := s.byFlow[key]
	if !ok || stored.expiry <= now {
		return RemoteFlow{}
	}
	return stored.remote
}

// set stores a record, and drops expired records and the oldest ones above the limit.
func (s *remoteFlows) set(key cherviltide.FlowKey, remote RemoteFlow, now cherviltide.Millis) {
	expiry := now + remoteFlowTTL
	s.byFlow[key] = storedRemote{remote: remote, expiry: expiry}
	s.queue = append(s.queue, queuedKey{key: key, expiry: expiry})
	for len(s.queue) > 0 && (s.queue[0].expiry <= now || len(s.queue) > maxRemoteFlows) {
		first := s.queue[0]
		s.queue = s.queue[1:]
		if s.byFlow[first.key].expiry == first.expiry {
			delete(s.byFlow, first.key)
		}
	}
}

func (s *remoteFlows) remove(key cherviltide.FlowKey) {
	delete(s.byFlow, key)
}
