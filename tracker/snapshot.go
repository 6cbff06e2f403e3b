package tracker

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// deterministic encodes equal states to equal bytes; plain encoding follows the random order of maps.
var deterministic, _ = cbor.CoreDetEncOptions().EncMode()

// snapshot is the state at a position.
type snapshot struct {
	Base, Position uint64
	Entries        []MemberRecord
	Graves         map[string]grave
	Tables         []tableSnapshot
	Key            []byte
}

// tableSnapshot is the table of one service.
type tableSnapshot struct {
	Service string
	Buckets int
	Data    []byte
}

// Snapshot returns the state in a form that Restore reads.
func (t *Tracker) Snapshot() ([]byte, error) {
	s := snapshot{Base: t.base, Position: t.position, Entries: t.LiveMembers(), Graves: t.graves, Key: t.key}
	for _, name := range slices.Sorted(maps.Keys(t.tables)) {
		data, err := t.tables[name].Snapshot()
		if err != nil {
			return nil, err
		}
		s.Tables = append(s.Tables, tableSnapshot{Service: name, Buckets: t.tables[name].Service().Buckets, Data: data})
	}
	return deterministic.Marshal(s)
}

// Restore replaces the state by a snapshot. It keeps no events, so followers that lag receive snapshots.
func (t *Tracker) Restore(_ uint64, data []byte) error {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return &Error{cherviltide.Fault{Op: "tracker.Restore", Kind: cherviltide.KindDamaged, Err: err}}
	}
	next := WithLimits(t.limits)
	next.base, next.position, next.oldest, next.key = s.Base, s.Position, s.Position, s.Key
	for _, x := range s.Entries {
		next.entries[x.Member.Name] = x
	}
	for _, x := range s.Tables {
		table, err := picker.Restore(newService(x.Service, x.Buckets), x.Data)
		if err != nil {
			return err
		}
		next.tables[x.Service] = table
	}
	if s.Graves != nil {
		next.graves = s.Graves
	}
	next.leases = t.leases
	*t = *next
	return nil
}

func newService(name string, buckets int) cherviltide.Service {
	return cherviltide.Service{Name: name, ID: cherviltide.ServiceIDOf(name), Buckets: buckets}
}
