package tracker

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// deterministicEncoder encodes equal states as equal bytes; the default encoding follows the random order of maps.
var deterministicEncoder, _ = cbor.CoreDetEncOptions().EncMode()

// snapshot is the state at a position. Entries has the live members, and Graves the tombstones by member name.
type snapshot struct {
	Base, Position uint64
	Entries        []MemberRecord
	Graves         map[string]tombstone
	Tables         []tableSnapshot
	Key            []byte
	// Evacuations has the evacuated failure domains in the order of their names. Snapshots of versions without evacuations
	// have none, and neither have snapshots while no domain is evacuated.
	Evacuations []Evacuation `cbor:",omitempty"`
}

// tableSnapshot is the table of one service.
type tableSnapshot struct {
	Service string
	Buckets int
	Data    []byte
}

// Snapshot returns the encoded state for Restore.
func (t *Tracker) Snapshot() ([]byte, error) {
	s := snapshot{Base: t.logBase, Position: t.position, Entries: t.LiveMembers(), Graves: t.tombstones, Key: t.packetKey, Evacuations: t.Evacuations()}
	for _, name := range slices.Sorted(maps.Keys(t.tables)) {
		data, err := t.tables[name].Snapshot()
		if err != nil {
			return nil, err
		}
		s.Tables = append(s.Tables, tableSnapshot{Service: name, Buckets: t.tables[name].Service().Buckets, Data: data})
	}
	return deterministicEncoder.Marshal(s)
}

// Restore replaces the state by a snapshot. A snapshot has no events, so followers that lag receive snapshots.
func (t *Tracker) Restore(_ uint64, data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return &Error{cherviltide.Fault{Op: "tracker.Restore", Kind: cherviltide.KindDamaged, Err: err}}
	}
	next := NewWithLimits(t.limits)
	next.logBase, next.position, next.eventsSince, next.packetKey = s.Base, s.Position, s.Position, s.Key
	for _, x := range s.Entries {
		next.live[x.Member.Name] = x
	}
	for _, x := range s.Evacuations {
		next.evacuations[x.FailureDomain] = x
	}
	for _, x := range s.Tables {
		table, err := picker.Restore(newService(x.Service, x.Buckets), x.Data)
		if err != nil {
			return err
		}
		next.tables[x.Service] = table
	}
	if s.Graves != nil {
		next.tombstones = s.Graves
	}
	next.leader = t.leader
	*t = *next
	return nil
}

func newService(name string, buckets int) cherviltide.Service {
	return cherviltide.Service{Name: name, ID: cherviltide.ServiceIDOf(name), Buckets: buckets}
}
