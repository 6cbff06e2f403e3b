// Package detector watches whether other agents answer what they are asked.
package detector

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

// Detector watches whether candidates answer probes. One goroutine uses it at a time.
type Detector struct {
	open map[netip.AddrPort]unanswered
}

// New returns a detector that takes all candidates for alive.
func New() *Detector {
	return &Detector{open: map[netip.AddrPort]unanswered{}}
}

type unanswered struct {
	since cherviltide.Millis
	count int
}

// RecordProbe records a probe that the candidate has to answer.
func (w *Detector) RecordProbe(to netip.AddrPort, now cherviltide.Millis) {
	u, ok := w.open[to]
	if !ok {
		if len(w.open) >= silenceLimit {
			clear(w.open)
		}
		u.since = now
	}
	u.count++
	w.open[to] = u
}

// MarkAlive records that the candidate is alive.
func (w *Detector) MarkAlive(from netip.AddrPort) {
	delete(w.open, from)
}

// IsUnresponsive reports whether the candidate answers no probes.
func (w *Detector) IsUnresponsive(to netip.AddrPort, now cherviltide.Millis) bool {
	u, ok := w.open[to]
	return ok && u.count >= silentProbes && now-u.since >= silentAfter
}
