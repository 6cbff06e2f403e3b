// Package picker decides which agent a flow goes to. A Table is a pure function of the membership log, so every
// process that has applied the same events makes the same decision.
package picker

import (
	"math"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

// MaxBuckets is the highest number of placement buckets of a service. Tables refer to rows by 16-bit numbers.
const MaxBuckets = math.MaxUint16

// none marks the absence of a target in a bucket.
const none = math.MaxUint16

// Table is the placement table of one service. It is immutable.
type Table struct {
	service    cherviltide.Service
	generation uint64
	// targets are the live agents in the order of their names, each name once.
	targets []target
	// dead has the incarnations that died last, newest last.
	dead []tombstone
	// rowSet has the placement of the buckets.
	rowSet
	// forgetful tables keep no history. They exist for comparison.
	forgetful bool
	// digest caches the result of Digest; 0 means that it is not known.
	digest atomic.Uint64
}

// New returns an empty table of a service. A number of buckets below 1 or above MaxBuckets counts as that bound.
func New(service cherviltide.Service) *Table {
	service.Buckets = min(max(service.Buckets, 1), MaxBuckets)
	return &Table{
		service: service,
		rowSet: rowSet{
			rows:      []compactRow{{owner: none, second: none}},
			histories: [][]former{nil},
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

// WithService returns the table under a newer rule of its service, with other addresses or limits. The name and the
// number of buckets stay as they are.
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
	if e.Member.Service != t.service.Name {
		return t
	}
	if e.Type == cherviltide.EventJoined && e.Member.Role != cherviltide.RoleAgent {
		return t
	}
	next := t.clone()
	next.generation = position
	if e.Type == cherviltide.EventReleased {
		return next.release(t, e)
	}
	moved, changed := next.update(e)
	if !changed {
		return t
	}
	next.place(moved)
	return next
}

// Pick returns the owner of a flow.
func (t *Table) Pick(key cherviltide.FlowKey) (cherviltide.Member, bool) {
	r := t.row(key)
	if r.owner == none {
		return cherviltide.Member{}, false
	}
	return t.targets[r.owner].member, true
}

// AppendCandidates appends the candidates for a flow to dst: the owner, former holders newest first, the second. There are at most
// 102, so that a position fits the header and a walk over all candidates stays within the hop limit.
func (t *Table) AppendCandidates(dst []cherviltide.Member, key cherviltide.FlowKey) []cherviltide.Member {
	r := t.row(key)
	if r.owner != none {
		dst = append(dst, t.targets[r.owner].member)
	}
	for _, f := range r.history {
		dst = append(dst, t.targets[f.target].member)
	}
	if r.second != none {
		dst = append(dst, t.targets[r.second].member)
	}
	return dst
}

// OpeningGeneration returns the generation that a member must record for a flow that it opens now, and false when the member must
// not open the flow because it is not a candidate. A flow that a former holder opens counts as older than the event that
// took the bucket from it; otherwise the member's next Released event would drop it from the history. A member must also
// not open a flow whose generation is older than one that it has declared in a Released event.
func (t *Table) OpeningGeneration(key cherviltide.FlowKey, m cherviltide.Member) (uint64, bool) {
	i, ok := t.search(m.Name)
	if !ok || t.targets[i].member.Incarnation != m.Incarnation {
		return 0, false
	}
	r := t.row(key)
	if int(r.owner) == i || int(r.second) == i {
		return t.generation, true
	}
	for _, f := range r.history {
		if int(f.target) == i {
			return f.left - 1, true
		}
	}
	return 0, false
}

func (t *Table) row(key cherviltide.FlowKey) row {
	return t.at(t.buckets[key.Hash()%uint64(len(t.buckets))])
}

func (t *Table) clone() *Table {
	return &Table{
		service:    t.service,
		generation: t.generation,
		targets:    t.targets,
		dead:       t.dead,
		rowSet:     t.rowSet,
		forgetful:  t.forgetful,
	}
}

// place computes the owner and the second of each bucket and moves their predecessors into the history.
func (t *Table) place(moved []uint16) {
	old, buckets := make([]row, len(t.rows)), t.buckets
	for i := range t.rows {
		old[i] = t.at(uint16(i)).moved(moved)
	}
	a := newAssigner(t.targets, func(bucket int) *row { return &old[buckets[bucket]] })
	a.assign(len(buckets))
	// Buckets with the same row before the event and the same owner and second after it have the same row again.
	type change struct{ old, owner, second uint16 }
	known, builder := map[change]uint16{}, newRowBuilder(len(buckets))
	for b, i := range buckets {
		c := change{old: i, owner: a.owners[b], second: a.seconds[b]}
		if n, ok := known[c]; ok {
			builder.repeat(n)
			continue
		}
		r := old[i].succeeded(c.owner, c.second, t.generation)
		if t.forgetful {
			r.history = nil
		}
		known[c] = builder.add(r)
	}
	t.rowSet = builder.build()
}

// release drops the history entries of a member that are not newer than the declared generation. It returns the
// previous table when there are none.
func (t *Table) release(previous *Table, e cherviltide.MemberEvent) *Table {
	i, ok := t.search(e.Member.Name)
	if !ok || t.targets[i].member.Incarnation != e.Member.Incarnation {
		return previous
	}
	changed := false
	rows := make([]row, len(t.rows))
	for n := range t.rows {
		r := t.at(uint16(n))
		rows[n] = r.released(uint16(i), e.Generation)
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
