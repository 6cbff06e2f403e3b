package tracker

import (
	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
)

// snapshot is the state at a position.
type snapshot struct {
	Base, Position uint64
	Entries        []Entry
	Graves         map[string]grave
}

// Snapshot returns the state in a form that Restore reads.
func (t *Tracker) Snapshot() ([]byte, error) {
	return cbor.Marshal(snapshot{Base: t.base, Position: t.position, Entries: t.Entries(), Graves: t.graves})
}

// Restore replaces the state by a snapshot. It keeps no events, so followers that lag receive snapshots.
func (t *Tracker) Restore(_ uint64, data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return &Error{cherviltide.Fault{Op: "tracker.Restore", Kind: cherviltide.KindDamaged, Err: err}}
	}
	next := New()
	next.base, next.position = s.Base, s.Position
	for _, x := range s.Entries {
		next.entries[x.Member.Name] = x
	}
	if s.Graves != nil {
		next.graves = s.Graves
	}
	next.leases = t.leases
	*t = *next
	return nil
}
