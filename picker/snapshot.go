package picker

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
)

// snapshotVersion is the format of snapshots that this package reads and writes.
const snapshotVersion = 1

var (
	errVersion = errors.New("snapshot format is not supported")
	errIndex   = errors.New("snapshot refers to a target or row that it does not have")
	errOrder   = errors.New("snapshot has targets out of order or with an unknown state")
)

// states are the states of live targets; a snapshot has their indexes.
var states = []cherviltide.MemberState{cherviltide.StateActive, cherviltide.StateSuspect, cherviltide.StateLeaving}

// snapshot is the encoded form of a table.
type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Version    uint
	Service    string
	Generation uint64
	Targets    []snapshotTarget
	Dead       []snapshotDead
	// Rows and Buckets are empty when the targets alone determine them, as in a table without history.
	Rows []snapshotRow
	// Buckets has the index of each bucket's row in one byte, or in two (big endian) when there are more than 256 rows.
	Buckets []byte
	Count   int
}

type snapshotTarget struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Incarnation   uint64
	Address       netip.AddrPort
	Peer          netip.AddrPort
	FailureDomain string
	Region        string
	Weight        uint32
	State         int
}

type snapshotDead struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

type snapshotRow struct {
	_       struct{} `cbor:",toarray"`
	Owner   uint16
	Second  uint16
	History []snapshotFormer
}

type snapshotFormer struct {
	_      struct{} `cbor:",toarray"`
	Target uint16
	Left   uint64
}

// Snapshot returns the table in a form that Restore reads. Equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Service: t.service.Name, Generation: t.generation, Count: len(t.buckets)}
	for _, x := range t.targets {
		m := x.member
		s.Targets = append(s.Targets, snapshotTarget{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Peer: m.Peer,
			FailureDomain: m.FailureDomain, Region: m.Region, Weight: m.Weight, State: slices.Index(states, x.state),
		})
	}
	for _, d := range t.dead {
		s.Dead = append(s.Dead, snapshotDead{Name: d.name, Incarnation: d.incarnation})
	}
	if !t.derivable() {
		s.Rows, s.Buckets = t.encodeRows()
	}
	b, err := cbor.Marshal(s)
	if err != nil {
		return nil, fault("picker.Snapshot", cherviltide.KindInternal, err)
	}
	return b, nil
}

// Digest returns a hash that is equal for equal tables. It is safe for concurrent use.
func (t *Table) Digest() uint64 {
	if d := t.digest.Load(); d != 0 {
		return d
	}
	b, err := t.Snapshot()
	if err != nil {
		return 0
	}
	d := xxhash.Sum64(b)
	t.digest.Store(d)
	return d
}

// Restore returns the table of a service from its snapshot. An error of kind Damaged means that the bytes are not a
// snapshot; one of kind Conflict means that they belong to another service or number of buckets.
func Restore(service cherviltide.Service, data []byte) (*Table, error) {
	var s snapshot
	if err := cbor.Unmarshal(data, &s); err != nil {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, err)
	}
	if s.Version != snapshotVersion {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, errVersion)
	}
	t := New(service)
	if s.Service != service.Name || s.Count != len(t.buckets) {
		err := fmt.Errorf("snapshot of service %q with %d buckets, not %q with %d",
			s.Service, s.Count, service.Name, len(t.buckets))
		return nil, fault("picker.Restore", cherviltide.KindConflict, err)
	}
	t.generation = s.Generation
	if err := t.decodeTargets(s); err != nil {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, err)
	}
	if len(s.Buckets) == 0 {
		t.place(nil)
		return t, nil
	}
	if err := t.decodeRows(s); err != nil {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, err)
	}
	return t, nil
}

// derivable reports whether the targets alone determine the rows.
func (t *Table) derivable() bool {
	if slices.ContainsFunc(t.histories, func(h []former) bool { return len(h) > 0 }) {
		return false
	}
	fresh := New(t.service)
	fresh.targets = t.targets
	fresh.place(nil)
	return slices.Equal(fresh.buckets, t.buckets) && slices.Equal(fresh.rows, t.rows)
}

func (t *Table) encodeRows() ([]snapshotRow, []byte) {
	list := make([]snapshotRow, len(t.rows))
	for i := range t.rows {
		r := t.at(uint16(i))
		list[i] = snapshotRow{Owner: r.owner, Second: r.second}
		for _, f := range r.history {
			list[i].History = append(list[i].History, snapshotFormer{Target: f.target, Left: f.left})
		}
	}
	var b []byte
	for _, i := range t.buckets {
		if len(t.rows) > 256 {
			b = binary.BigEndian.AppendUint16(b, i)
			continue
		}
		b = append(b, byte(i))
	}
	return list, b
}

func (t *Table) decodeTargets(s snapshot) error {
	if len(s.Targets) > maxTargets {
		return errIndex
	}
	for i, x := range s.Targets {
		if x.State < 0 || x.State >= len(states) || (i > 0 && x.Name <= s.Targets[i-1].Name) {
			return errOrder
		}
		added := newTarget(t.service.Name, cherviltide.Member{
			Name: x.Name, Incarnation: x.Incarnation, Address: x.Address, Peer: x.Peer,
			FailureDomain: x.FailureDomain, Region: x.Region, Weight: x.Weight,
		})
		added.state = states[x.State]
		t.targets = append(t.targets, added)
	}
	for _, d := range s.Dead {
		t.dead = append(t.dead, tombstone{name: d.Name, incarnation: d.Incarnation})
	}
	return nil
}

func (t *Table) decodeRows(s snapshot) error {
	rows := make([]row, len(s.Rows))
	known := func(i uint16) bool { return i == none || int(i) < len(t.targets) }
	for i, r := range s.Rows {
		if !known(r.Owner) || !known(r.Second) || len(r.History) > maxHistory {
			return errIndex
		}
		rows[i] = row{owner: r.Owner, second: r.Second}
		for _, f := range r.History {
			if int(f.Target) >= len(t.targets) {
				return errIndex
			}
			rows[i].history = append(rows[i].history, former{target: f.Target, left: f.Left})
		}
	}
	width := 1
	if len(s.Rows) > 256 {
		width = 2
	}
	if len(s.Buckets) != width*len(t.buckets) {
		return errIndex
	}
	builder := newRowBuilder(len(t.buckets))
	for b := range t.buckets {
		i := uint16(s.Buckets[b*width])
		if width == 2 {
			i = binary.BigEndian.Uint16(s.Buckets[b*2:])
		}
		if int(i) >= len(rows) {
			return errIndex
		}
		builder.add(rows[i])
	}
	t.rowSet = builder.build()
	return nil
}
