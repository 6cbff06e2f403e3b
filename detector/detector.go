// Package detector detects agents that leave probes unanswered.
package detector

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

// A candidate is unresponsive when it has left at least minUnanswered probes unanswered and the first of them is at
// least unresponsiveAfter old. One lost datagram is not enough. Waiting for the end of a dead candidate's lease would
// take seconds, in which its buckets would open no flow.
const (
	minUnanswered                        = 3
	unresponsiveAfter cherviltide.Millis = 200
	// maxCandidates bounds the number of candidates with unanswered probes; beyond it all records are dropped.
	maxCandidates = 1024
)

// Detector detects candidates that do not answer probes. It is not safe for concurrent use.
type Detector struct {
	unanswered map[netip.AddrPort]probeRecord
}

// New returns a detector that considers all candidates alive.
func New() *Detector {
	return &Detector{unanswered: map[netip.AddrPort]probeRecord{}}
}

// probeRecord has the number of a candidate's unanswered probes and the time of the first of them.
type probeRecord struct {
	since cherviltide.Millis
	count int
}

// RecordProbe records that a probe was sent to a candidate.
func (d *Detector) RecordProbe(to netip.AddrPort, now cherviltide.Millis) {
	u, ok := d.unanswered[to]
	if !ok {
		if len(d.unanswered) >= maxCandidates {
			clear(d.unanswered)
		}
		u.since = now
	}
	u.count++
	d.unanswered[to] = u
}

// MarkAlive records that a datagram of the candidate arrived.
func (d *Detector) MarkAlive(from netip.AddrPort) {
	delete(d.unanswered, from)
}

// IsUnresponsive reports whether the candidate leaves probes unanswered.
func (d *Detector) IsUnresponsive(to netip.AddrPort, now cherviltide.Millis) bool {
	u, ok := d.unanswered[to]
	return ok && u.count >= minUnanswered && now-u.since >= unresponsiveAfter
}
