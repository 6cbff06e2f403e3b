package holder

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

const (
	// recentDelivery is how recently an entry must have delivered a datagram of any flow to be considered alive and get
	// replies.
	recentDelivery cherviltide.Millis = 1_000
	// maxEntries is the highest number of entries that an agent records.
	maxEntries = 64
)

// entry is an entry process that has delivered datagrams to the agent.
type entry struct {
	address netip.AddrPort
	// lastDelivery is the time of the last datagram that the entry delivered, in milliseconds.
	lastDelivery atomic.Int64
}

// entries is the set of entries that have delivered datagrams to an agent. A caller that only waits for an answer sends
// nothing, so if replies always went through the flow's last entry and that entry had ended, the caller would receive
// nothing until its idle timeout. It is safe for concurrent use.
type entries struct {
	mu   sync.Mutex
	list []*entry
	// next selects the entry of the list for the next reply when no entry has delivered recently.
	next int
}

// get returns the entry with an address. When the set is full, a new entry replaces the one with the oldest delivery.
func (s *entries) get(address netip.AddrPort) *entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	oldest := 0
	for i, e := range s.list {
		if e.address == address {
			return e
		}
		if e.lastDelivery.Load() < s.list[oldest].lastDelivery.Load() {
			oldest = i
		}
	}
	added := &entry{address: address}
	if len(s.list) < maxEntries {
		s.list = append(s.list, added)
	} else {
		s.list[oldest] = added
	}
	return added
}

// replyAddress returns the address of the entry for a reply: the flow's own entry if it has delivered recently, otherwise
// the entry with the latest delivery, and if no entry has delivered recently, each entry in turn.
func (s *entries) replyAddress(own *entry, now cherviltide.Millis) netip.AddrPort {
	if own.isRecent(now) {
		return own.address
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	latest := own
	for _, e := range s.list {
		if e.lastDelivery.Load() > latest.lastDelivery.Load() {
			latest = e
		}
	}
	if latest.isRecent(now) || len(s.list) == 0 {
		return latest.address
	}
	s.next++
	return s.list[s.next%len(s.list)].address
}

func (e *entry) isRecent(now cherviltide.Millis) bool {
	return now-cherviltide.Millis(e.lastDelivery.Load()) <= recentDelivery
}
