package holder

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

// flow is a flow that the agent holds. It is the remote address (net.Addr) of the flow's QUIC connections.
type flow struct {
	key     cherviltide.FlowKey
	address string
	// refused is true when the agent accepts no connection of the flow. The agent does not hold such a flow.
	refused bool
	// openingGeneration is the table generation recorded for the flow when it was opened.
	openingGeneration uint64
	// entry is the entry that last delivered a datagram of the flow, lastSeen is the time of that datagram in milliseconds.
	entry    atomic.Pointer[entry]
	lastSeen atomic.Int64
	// connections is the number of open QUIC connections that came from the flow's caller address.
	connections atomic.Int32
}

func newFlow(key cherviltide.FlowKey, generation uint64) *flow {
	return &flow{key: key, address: key.Caller.String() + ">" + key.Virtual.String(), openingGeneration: generation}
}

// Network returns the name of the transport.
func (f *flow) Network() string { return "udp" }

// String returns a text that is unique for each flow, because quic-go compares addresses by it.
func (f *flow) String() string { return f.address }

// recordDatagram records the entry and the time of a received datagram.
func (f *flow) recordDatagram(known *entries, address netip.AddrPort, now cherviltide.Millis) {
	e := f.entry.Load()
	if e == nil || e.address != address {
		e = known.get(address)
		f.entry.Store(e)
	}
	e.lastDelivery.Store(int64(now))
	f.lastSeen.Store(int64(now))
}

// flows is the set of flows that an agent holds. It is safe for concurrent use.
type flows struct {
	mu    sync.RWMutex
	byKey map[cherviltide.FlowKey]*flow
	// released is the highest generation that releaseOlder has returned; no flow is opened at a lower one.
	released uint64
}

func newFlows() *flows {
	return &flows{byKey: map[cherviltide.FlowKey]*flow{}}
}

func (s *flows) get(key cherviltide.FlowKey) *flow {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byKey[key]
}

// open adds a flow, or returns nil when its generation was released after the decision was made. Generation 0 marks a flow
// that datagrams reach by its connection IDs; it may be opened after any release.
func (s *flows) open(key cherviltide.FlowKey, generation uint64) *flow {
	f := newFlow(key, generation)
	s.mu.Lock()
	defer s.mu.Unlock()
	if generation != 0 && generation < s.released {
		return nil
	}
	s.byKey[key] = f
	return f
}

func (s *flows) remove(f *flow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKey[f.key] == f {
		delete(s.byKey, f.key)
	}
}

func (s *flows) len() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.byKey)
}

// expire removes the flows without a datagram since the given time and returns their number.
func (s *flows) expire(before cherviltide.Millis) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key, f := range s.byKey {
		if cherviltide.Millis(f.lastSeen.Load()) < before {
			delete(s.byKey, key)
			n++
		}
	}
	return n
}

// releaseOlder returns the lowest generation at which a held flow was opened, or the given one when that is lower or no
// flow is held. No flow is opened at a lower generation afterwards.
func (s *flows) releaseOlder(generation uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, f := range s.byKey {
		generation = min(generation, f.openingGeneration)
	}
	s.released = max(s.released, generation)
	return generation
}

func (s *flows) releasedGeneration() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.released
}
