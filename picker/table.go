// Package picker decides which agent a flow goes to. A Table is a pure function of the membership log, so every
// process that has applied the same events makes the same decision.
package picker

import (
	"math"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

// MaxBuckets is the highest number of buckets of a service. Tables refer to rows by 16-bit numbers.
const MaxBuckets = math.MaxUint16

// noTarget is the target index that stands for no target.
const noTarget = math.MaxUint16

// Table is the placement table of one service. It is immutable.
type Table struct {
	service    cherviltide.Service
	generation uint64
	// targets are the live agents in the order of their names; each name occurs once.
	targets []target
	// tombstones are the incarnations that died last, the newest at the end.
	tombstones []tombstone
	// evacuated has the evacuated failure domains in the order of their names. Its array is never modified.
	evacuated []string
	// rowSet has the placement of the buckets.
	rowSet
	// withoutHistory is set for tables that exist for comparison only; see NewWithoutHistory.
	withoutHistory bool
	// digest caches the result of Digest; 0 means that it is not computed yet.
	digest atomic.Uint64
}

// New returns an empty table of a service. It limits the number of buckets to the range from 1 to MaxBuckets.
func New(service cherviltide.Service) *Table {
	service.Buckets = min(max(service.Buckets, 1), MaxBuckets)
	return &Table{
		service: service,
		rowSet: rowSet{
			rows:      []compactRow{{owner: noTarget, secondary: noTarget}},
			histories: [][]formerOwner{nil},
			buckets:   make([]uint16, service.Buckets),
		},
	}
}

// Generation returns the position of the last event that changed the table.
func (t *Table) Generation() uint64 {
	return t.generation
}

// Service returns the service that the table belongs to.
func (t *Table) Service() cherviltide.Service {
	return t.service
}

// WithService returns the table with newer settings of its service, such as other addresses or limits. The name, the ID
// and the number of buckets stay as they are.
func (t *Table) WithService(service cherviltide.Service) *Table {
	next := t.clone()
	service.Name, service.ID, service.Buckets = t.service.Name, t.service.ID, t.service.Buckets
	next.service = service
	next.digest.Store(t.digest.Load())
	return next
}

// WithEvent returns the table after an event. Events of other services and events that change nothing leave the table
// and its generation as they are.
func (t *Table) WithEvent(position uint64, e cherviltide.MemberEvent) *Table {
	if e.Type.IsAboutDomain() {
		return t.withDomainEvent(position, e)
	}
	if e.Member.Service != t.service.Name {
		return t
	}
	if e.Type == cherviltide.EventJoined && e.Member.Role != cherviltide.RoleAgent {
		return t
	}
	next := t.clone()
	next.generation = position
	if e.Type == cherviltide.EventReleased {
		return next.applyRelease(t, e)
	}
	newIndexes, changed := next.applyToTargets(e)
	if !changed {
		return t
	}
	next.assignBuckets(newIndexes)
	return next
}

// Pick returns the owner of a flow's bucket, and false when there is none.
func (t *Table) Pick(key cherviltide.FlowKey) (cherviltide.Member, bool) {
	r := t.rowFor(key)
	if r.owner == noTarget {
		return cherviltide.Member{}, false
	}
	return t.targets[r.owner].member, true
}

// AppendCandidates appends the candidates for a flow to dst: the owner, the former owners newest first, the secondary.
// There are at most 102, so that an index fits the position in the header and a search through all candidates stays
// within the hop limit.
func (t *Table) AppendCandidates(dst []cherviltide.Member, key cherviltide.FlowKey) []cherviltide.Member {
	r := t.rowFor(key)
	if r.owner != noTarget {
		dst = append(dst, t.targets[r.owner].member)
	}
	for _, f := range r.history {
		dst = append(dst, t.targets[f.target].member)
	}
	if r.secondary != noTarget {
		dst = append(dst, t.targets[r.secondary].member)
	}
	return dst
}

// OpeningGeneration returns the generation that a member must record for a flow that it opens now, and false when the
// member must not open the flow because it is not a candidate. A flow that a former owner opens counts as older than
// the event that took the bucket from it; otherwise the member's next Released event would drop the member from the
// history. A member must also not open a flow at a generation lower than one that it has announced as released.
func (t *Table) OpeningGeneration(key cherviltide.FlowKey, m cherviltide.Member) (uint64, bool) {
	i, ok := t.findTarget(m.Name)
	if !ok || t.targets[i].member.Incarnation != m.Incarnation {
		return 0, false
	}
	r := t.rowFor(key)
	if int(r.owner) == i || int(r.secondary) == i {
		return t.generation, true
	}
	for _, f := range r.history {
		if int(f.target) == i {
			return f.leftGeneration - 1, true
		}
	}
	return 0, false
}

func (t *Table) rowFor(key cherviltide.FlowKey) row {
	return t.rowAt(t.buckets[key.Hash()%uint64(len(t.buckets))])
}

func (t *Table) clone() *Table {
	return &Table{
		service:        t.service,
		generation:     t.generation,
		targets:        t.targets,
		tombstones:     t.tombstones,
		evacuated:      t.evacuated,
		rowSet:         t.rowSet,
		withoutHistory: t.withoutHistory,
	}
}

// assignBuckets computes the owner and the secondary of each bucket and moves the previous ones into the history.
// newIndexes has the new index of each target that the rows refer to, or noTarget if it is dead.
func (t *Table) assignBuckets(newIndexes []uint16) {
	old, buckets := make([]row, len(t.rows)), t.buckets
	for i := range t.rows {
		old[i] = t.rowAt(uint16(i)).remapped(newIndexes)
	}
	a := newAssigner(t.targets, t.evacuated, func(bucket int) *row { return &old[buckets[bucket]] })
	a.assign(len(buckets))
	// Buckets that had the same row before the event and get the same owner and secondary have the same row after it.
	type assignment struct{ old, owner, secondary uint16 }
	known, builder := map[assignment]uint16{}, newRowBuilder(len(buckets))
	for b, i := range buckets {
		c := assignment{old: i, owner: a.owners[b], secondary: a.secondaries[b]}
		if n, ok := known[c]; ok {
			builder.addExisting(n)
			continue
		}
		r := old[i].reassigned(c.owner, c.secondary, t.generation)
		if t.withoutHistory {
			r.history = nil
		}
		known[c] = builder.add(r)
	}
	t.rowSet = builder.build()
}

// applyRelease drops the history entries of a member that are not newer than the released generation. It returns the
// previous table if there are none, or if the event is of another incarnation than the live one.
func (t *Table) applyRelease(previous *Table, e cherviltide.MemberEvent) *Table {
	i, ok := t.findTarget(e.Member.Name)
	if !ok || t.targets[i].member.Incarnation != e.Member.Incarnation {
		return previous
	}
	changed := false
	rows := make([]row, len(t.rows))
	for n := range t.rows {
		r := t.rowAt(uint16(n))
		rows[n] = r.withoutReleased(uint16(i), e.Generation)
		changed = changed || len(rows[n].history) != len(r.history)
	}
	if !changed {
		return previous
	}
	builder := newRowBuilder(len(t.buckets))
	for _, n := range t.buckets {
		builder.add(rows[n])
	}
	t.rowSet = builder.build()
	return t
}
