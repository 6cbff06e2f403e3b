package holder

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

// A candidate is silent when it has left at least silentProbes probes unanswered since silentAfter. One lost datagram is
// not enough, and the lease of a dead candidate lasts seconds, in which its buckets would open no flow.
const (
	silentProbes                    = 3
	silentAfter  cherviltide.Millis = 200
	// silenceLimit bounds the number of candidates that are watched.
	silenceLimit = 1024
)

// silence watches whether candidates answer probes. Only the receiver of datagrams uses it.
type silence struct {
	open map[netip.AddrPort]unanswered
}

type unanswered struct {
	since cherviltide.Millis
	count int
}

func newSilence() *silence {
	return &silence{open: map[netip.AddrPort]unanswered{}}
}

// probed records a probe that the candidate has to answer.
func (s *silence) probed(to netip.AddrPort, now cherviltide.Millis) {
	u, ok := s.open[to]
	if !ok {
		if len(s.open) >= silenceLimit {
			clear(s.open)
		}
		u.since = now
	}
	u.count++
	s.open[to] = u
}

// heard records that the candidate is alive.
func (s *silence) heard(from netip.AddrPort) {
	delete(s.open, from)
}

// silent reports whether the candidate answers no probes.
func (s *silence) silent(to netip.AddrPort, now cherviltide.Millis) bool {
	u, ok := s.open[to]
	return ok && u.count >= silentProbes && now-u.since >= silentAfter
}
