package holder

import "cherviltide.example/cherviltide"

const (
	// resetDelay is how long datagrams of a connection with a dead agent are dropped before the connection is reset. The agent
	// may have joined again after it was frozen, and this table may not include that yet; tables follow the log within a
	// tenth of a second while the control stream works. The caller retransmits meanwhile.
	resetDelay cherviltide.Millis = 500
	// resetMemory is how long the first datagram of a connection is remembered.
	resetMemory cherviltide.Millis = 10_000
)

// maxPendingResets bounds the connections whose first datagram is remembered.
const maxPendingResets = 4_096

// pendingResets has the time of the first datagram of each connection that is about to be reset. The zero value is ready to
// use. It is not safe for concurrent use.
type pendingResets struct {
	since map[cherviltide.FlowKey]cherviltide.Millis
}

// isDue records a datagram of a connection with a dead agent and reports whether the connection may be reset.
func (p *pendingResets) isDue(key cherviltide.FlowKey, now cherviltide.Millis) bool {
	since, known := p.since[key]
	if known && now-since <= resetMemory {
		return now-since >= resetDelay
	}
	if len(p.since) >= maxPendingResets {
		p.expire(now)
	}
	if p.since == nil {
		p.since = map[cherviltide.FlowKey]cherviltide.Millis{}
	}
	if len(p.since) < maxPendingResets {
		p.since[key] = now
	}
	return false
}

// expire forgets connections whose first datagram is old.
func (p *pendingResets) expire(now cherviltide.Millis) {
	for key, since := range p.since {
		if now-since > resetMemory {
			delete(p.since, key)
		}
	}
}
