package holder

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

// flow is a flow that the agent holds. It serves as the remote address of the flow's QUIC connection.
type flow struct {
	key  cherviltide.FlowKey
	text string
	// refused is true when the agent accepts no connection of the flow, which it then does not hold.
	refused bool
	// opened is the generation that the flow counts as opened at.
	opened uint64
	// entry is the entry that last delivered a datagram of the flow.
	entry atomic.Pointer[entry]
	last  atomic.Int64
	// connections is the number of open QUIC connections that came from the flow's caller address.
	connections atomic.Int32
}

func newFlow(key cherviltide.FlowKey, generation uint64) *flow {
	return &flow{key: key, text: key.Caller.String() + ">" + key.Virtual.String(), opened: generation}
}

// Network returns the name of the transport.
func (f *flow) Network() string { return "udp" }

// String returns a text that is different for each flow, since quic-go compares addresses by it.
func (f *flow) String() string { return f.text }

// seen records the entry and the time of a datagram.
func (f *flow) seen(known *entries, address netip.AddrPort, now cherviltide.Millis) {
	e := f.entry.Load()
	if e == nil || e.address != address {
		e = known.get(address)
		f.entry.Store(e)
	}
	e.heard.Store(int64(now))
	f.last.Store(int64(now))
}

// flows is the set of flows that an agent holds. It is safe for concurrent use.
type flows struct {
	mu   sync.RWMutex
	byID map[cherviltide.FlowKey]*flow
	// declared is the highest generation that declare has returned; no flow is opened at a lower one.
	declared uint64
}

func newFlows() *flows {
	return &flows{byID: map[cherviltide.FlowKey]*flow{}}
}

func (s *flows) get(key cherviltide.FlowKey) *flow {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byID[key]
}

// open adds a flow, or returns nil when it would break a declaration that was made since the decision. Generation 0 stands
// for a flow that datagrams reach by its connection IDs; it breaks none.
func (s *flows) open(key cherviltide.FlowKey, generation uint64) *flow {
	f := newFlow(key, generation)
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != 0 && generation < s.declared {
		return nil
	}
	s.byID[key] = f
	return f
}

func (s *flows) remove(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[f.key] == f {
		delete(s.byID, f.key)
	}
}

func (s *flows) len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.byID)
}

// expire removes the flows without a datagram since before.
func (s *flows) expire(before cherviltide.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, f := range s.byID {
		if cherviltide.Millis(f.last.Load()) < before {
			delete(s.byID, key)
			n++
		}
	}
	return n
}

// declare returns the lowest generation at which a held flow was opened, or the given one when there is none. No flow is
// opened at a lower generation afterwards.
func (s *flows) declare(generation uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.byID {
		generation = min(generation, f.opened)
	}
	s.declared = max(s.declared, generation)
	return generation
}

func (s *flows) lastDeclared() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.declared
}
