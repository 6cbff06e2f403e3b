package holder

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

const (
	// entryFresh is how recently an entry must have delivered a datagram of any flow to be trusted with replies.
	entryFresh cherviltide.Millis = 1_000
	// entryLimit bounds the entries that an agent remembers.
	entryLimit = 64
)

// entry is an entry that has delivered datagrams to the agent.
type entry struct {
	address netip.AddrPort
	// heard is the time of the last datagram that the entry delivered.
	heard atomic.Int64
}

// entries remembers the entries that an agent has heard. A caller that only waits for an answer sends nothing, so a flow
// whose entry is gone would stay silent until the caller's idle timeout if replies followed the flow's last entry alone.
// It is safe for concurrent use.
type entries struct {
	mu   sync.Mutex
	list []*entry
	turn int
}

// get returns the entry with an address. A new one replaces the one that was silent for longest when there are too many.
func (s *entries) get(address netip.AddrPort) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := 0
	for i, e := range s.list {
		if e.address == address {
			return e
		}
		if e.heard.Load() < s.list[oldest].heard.Load() {
			oldest = i
		}
	}
	added := &entry{address: address}
	if len(s.list) < entryLimit {
		s.list = append(s.list, added)
	} else {
		s.list[oldest] = added
	}
	return added
}

// choose returns the entry for a reply: the flow's own while it is fresh, else the freshest one, else each in turn.
func (s *entries) choose(own *entry, now cherviltide.Millis) netip.AddrPort {
	if own.fresh(now) {
		return own.address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	best := own
	for _, e := range s.list {
		if e.heard.Load() > best.heard.Load() {
			best = e
		}
	}
	if best.fresh(now) || len(s.list) == 0 {
		return best.address
	}
	s.turn++
	return s.list[s.turn%len(s.list)].address
}

func (e *entry) fresh(now cherviltide.Millis) bool {
	return now-cherviltide.Millis(e.heard.Load()) <= entryFresh
}
