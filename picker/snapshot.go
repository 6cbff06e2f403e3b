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

const (
	// snapshotVersion is the format of the snapshots of tables without evacuated domains.
	snapshotVersion = 1
	// evacuatedVersion is the format of the snapshots of tables with evacuated domains: a list of this version, the table in
	// the format above, and the domains. Only these snapshots need readers of this version.
	evacuatedVersion = 2
	// evacuatedHeader is the first byte of a snapshot in evacuatedVersion: the CBOR header of a list of three elements.
	evacuatedHeader = 0x83
)

var (
	errVersion = errors.New("snapshot format is not supported")
	errIndex   = errors.New("snapshot has too many targets or former owners, a wrong number of buckets, or an index of no target or row")
	errOrder   = errors.New("snapshot has targets out of order or with an unknown state")
)

// liveStates are the states of live targets. Snapshots store indexes in this list, so its order must not change.
var liveStates = []cherviltide.MemberState{cherviltide.StateActive, cherviltide.StateSuspect, cherviltide.StateLeaving}

// snapshot is the encoded form of a table.
type snapshot struct {
	_          struct{} `cbor:",toarray"`
	Version    uint
	Service    string
	Generation uint64
	Targets    []snapshotTarget
	Tombstones []snapshotTombstone
	// Rows and Buckets are empty when the targets alone determine the rows; see rowsDerivable.
	Rows []snapshotRow
	// Buckets has the index of each bucket's row in one byte, or in two bytes (big endian) if there are more than 256
	// rows.
	Buckets     []byte
	BucketCount int
}

// evacuatedSnapshot is the encoded form of a table with evacuated domains.
type evacuatedSnapshot struct {
	_         struct{} `cbor:",toarray"`
	Version   uint
	Table     snapshot
	Evacuated []string
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

type snapshotTombstone struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

type snapshotRow struct {
	_         struct{} `cbor:",toarray"`
	Owner     uint16
	Secondary uint16
	History   []snapshotFormerOwner
}

type snapshotFormerOwner struct {
	_              struct{} `cbor:",toarray"`
	Target         uint16
	LeftGeneration uint64
}

// Snapshot returns the encoded table, which Restore reads. Equal tables give equal bytes.
func (t *Table) Snapshot() ([]byte, error) {
	s := snapshot{Version: snapshotVersion, Service: t.service.Name, Generation: t.generation, BucketCount: len(t.buckets)}
	for _, x := range t.targets {
		m := x.member
		s.Targets = append(s.Targets, snapshotTarget{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Peer: m.Peer,
			FailureDomain: m.FailureDomain, Region: m.Region, Weight: m.Weight, State: slices.Index(liveStates, x.state),
		})
	}
	for _, d := range t.tombstones {
		s.Tombstones = append(s.Tombstones, snapshotTombstone{Name: d.name, Incarnation: d.incarnation})
	}
	if !t.rowsDerivable() {
		s.Rows, s.Buckets = t.encodeRows()
	}
	var encoded any = s
	if len(t.evacuated) > 0 {
		encoded = evacuatedSnapshot{Version: evacuatedVersion, Table: s, Evacuated: t.evacuated}
	}
	b, err := cbor.Marshal(encoded)
	if err != nil {
		return nil, fault("picker.Snapshot", cherviltide.KindInternal, err)
	}
	return b, nil
}

// Digest returns a hash that is equal for equal tables, or 0 if the table cannot be encoded. It is safe for concurrent
// use.
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

// Restore decodes the table of a service from its snapshot. An error of kind Damaged means that the bytes are not a
// valid snapshot; one of kind Conflict means that they belong to another service or number of buckets.
func Restore(service cherviltide.Service, data []byte) (*Table, error) {
	s, evacuated, err := decodeSnapshot(data)
	if err != nil {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, err)
	}
	t := New(service).WithEvacuated(evacuated)
	if s.Service != service.Name || s.BucketCount != len(t.buckets) {
		err := fmt.Errorf("snapshot is of service %q with %d buckets, want service %q with %d buckets",
			s.Service, s.BucketCount, service.Name, len(t.buckets))
		return nil, fault("picker.Restore", cherviltide.KindConflict, err)
	}
	t.generation = s.Generation
	if err := t.decodeTargets(s); err != nil {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, err)
	}
	if len(s.Buckets) == 0 {
		t.assignBuckets(nil)
		return t, nil
	}
	if err := t.decodeRows(s); err != nil {
		return nil, fault("picker.Restore", cherviltide.KindDamaged, err)
	}
	return t, nil
}

// decodeSnapshot decodes a snapshot of either format, with the evacuated domains.
func decodeSnapshot(data []byte) (s snapshot, evacuated []string, err error) {
	if len(data) > 0 && data[0] == evacuatedHeader {
		var e evacuatedSnapshot
		if err := cbor.Unmarshal(data, &e); err != nil {
			return s, nil, err
		}
		if e.Version != evacuatedVersion {
			return s, nil, errVersion
		}
		s, evacuated = e.Table, e.Evacuated
	} else if err := cbor.Unmarshal(data, &s); err != nil {
		return s, nil, err
	}
	if s.Version != snapshotVersion {
		return s, nil, errVersion
	}
	return s, evacuated, nil
}

// rowsDerivable reports whether the targets alone determine the rows, so that a snapshot can omit them.
func (t *Table) rowsDerivable() bool {
	if slices.ContainsFunc(t.histories, func(h []formerOwner) bool { return len(h) > 0 }) {
		return false
	}
	rebuilt := New(t.service)
	rebuilt.targets, rebuilt.evacuated = t.targets, t.evacuated
	rebuilt.assignBuckets(nil)
	return slices.Equal(rebuilt.buckets, t.buckets) && slices.Equal(rebuilt.rows, t.rows)
}

func (t *Table) encodeRows() ([]snapshotRow, []byte) {
	list := make([]snapshotRow, len(t.rows))
	for i := range t.rows {
		r := t.rowAt(uint16(i))
		list[i] = snapshotRow{Owner: r.owner, Secondary: r.secondary}
		for _, f := range r.history {
			list[i].History = append(list[i].History, snapshotFormerOwner{Target: f.target, LeftGeneration: f.leftGeneration})
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
		if x.State < 0 || x.State >= len(liveStates) || (i > 0 && x.Name <= s.Targets[i-1].Name) {
			return errOrder
		}
		added := newTarget(t.service.Name, cherviltide.Member{
			Name: x.Name, Incarnation: x.Incarnation, Address: x.Address, Peer: x.Peer,
			FailureDomain: x.FailureDomain, Region: x.Region, Weight: x.Weight,
		})
		added.state = liveStates[x.State]
		t.targets = append(t.targets, added)
	}
	for _, d := range s.Tombstones {
		t.tombstones = append(t.tombstones, tombstone{name: d.Name, incarnation: d.Incarnation})
	}
	return nil
}

func (t *Table) decodeRows(s snapshot) error {
	rows := make([]row, len(s.Rows))
	isValidIndex := func(i uint16) bool { return i == noTarget || int(i) < len(t.targets) }
	for i, r := range s.Rows {
		if !isValidIndex(r.Owner) || !isValidIndex(r.Secondary) || len(r.History) > maxHistory {
			return errIndex
		}
		rows[i] = row{owner: r.Owner, secondary: r.Secondary}
		for _, f := range r.History {
			if int(f.Target) >= len(t.targets) {
				return errIndex
			}
			rows[i].history = append(rows[i].history, formerOwner{target: f.Target, leftGeneration: f.LeftGeneration})
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
