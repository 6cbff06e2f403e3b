// Package picker decides which agent a flow goes to. A Table is a pure function of the membership log, so every
// process that has applied the same events makes the same decision.
package picker

import (
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

// none marks the absence of a target in a bucket.
const none = math.MaxUint16

// Table is the placement table of one service. It is immutable.
type Table struct {
	service    cherviltide.Service
	generation uint64
	targets    []target
	buckets    []bucket
}

// target is an agent that the table knows.
type target struct {
	member cherviltide.Member
	state  cherviltide.MemberState
	seed   uint64
}

// bucket is the placement of the flows whose hash falls into it.
type bucket struct {
	owner  uint16
	second uint16
	// history is newest first and holds each target at most once, never the owner or the second.
	history []former
}

// former is a target that was the owner or the second of a bucket.
type former struct {
	target uint16
	// left is the generation of the event that took the bucket from the target.
	left uint64
}

// New returns an empty table of a service.
func New(service cherviltide.Service) *Table {
	t := &Table{service: service, buckets: make([]bucket, service.Buckets)}
	for i := range t.buckets {
		t.buckets[i] = bucket{owner: none, second: none}
	}
	return t
}

// Generation returns the position of the last event that changed the table.
func (t *Table) Generation() uint64 {
	return t.generation
}

// Service returns the service that the table belongs to.
func (t *Table) Service() cherviltide.Service {
	return t.service
}

// WithEvent returns the table after an event. Events of other services leave it unchanged.
func (t *Table) WithEvent(position uint64, e cherviltide.MemberEvent) *Table {
	if e.Member.Service != t.service.Name || e.Member.Role != cherviltide.RoleAgent {
		return t
	}
	next := &Table{service: t.service, generation: position, targets: slices.Clone(t.targets), buckets: t.buckets}
	if !next.update(e) {
		return t
	}
	if e.Type == cherviltide.EventReleased {
		next.release(e)
		return next
	}
	next.place(t.buckets)
	return next
}

// Pick returns the owner of a flow.
func (t *Table) Pick(key cherviltide.FlowKey) (cherviltide.Member, bool) {
	b := &t.buckets[key.Hash()%uint64(len(t.buckets))]
	if b.owner == none {
		return cherviltide.Member{}, false
	}
	return t.targets[b.owner].member, true
}

// Chain appends the candidates for a flow to dst: the owner, former holders newest first, the second.
func (t *Table) Chain(dst []cherviltide.Member, key cherviltide.FlowKey) []cherviltide.Member {
	b := &t.buckets[key.Hash()%uint64(len(t.buckets))]
	if b.owner != none {
		dst = append(dst, t.targets[b.owner].member)
	}
	for _, f := range b.history {
		dst = append(dst, t.targets[f.target].member)
	}
	if b.second != none {
		dst = append(dst, t.targets[b.second].member)
	}
	return dst
}

// update applies an event to the targets and reports whether anything changed.
func (t *Table) update(e cherviltide.MemberEvent) bool {
	i := t.index(e.Member)
	if e.Type == cherviltide.EventJoined {
		return t.join(i, e.Member)
	}
	if i < 0 || t.targets[i].state == cherviltide.StateDead {
		return false
	}
	switch e.Type {
	case cherviltide.EventWeighed:
		t.targets[i].member.Weight = e.Member.Weight
	case cherviltide.EventSuspected:
		t.targets[i].state = cherviltide.StateSuspect
	case cherviltide.EventCleared:
		t.targets[i].state = cherviltide.StateActive
	case cherviltide.EventLeaving:
		t.targets[i].state = cherviltide.StateLeaving
	case cherviltide.EventDied:
		t.targets[i].state = cherviltide.StateDead
	case cherviltide.EventReleased:
	default:
		return false
	}
	return true
}

// join adds a member. A newer incarnation replaces an older one, which is then dead.
func (t *Table) join(i int, m cherviltide.Member) bool {
	if i >= 0 {
		return false
	}
	for j := range t.targets {
		if t.targets[j].member.Name == m.Name {
			t.targets[j].state = cherviltide.StateDead
		}
	}
	added := target{member: m, state: cherviltide.StateActive, seed: xxhash.Sum64String(m.Name)}
	for j := range t.targets {
		if t.targets[j].state == cherviltide.StateDead && !t.referenced(j) {
			t.targets[j] = added
			return true
		}
	}
	t.targets = append(t.targets, added)
	return true
}

// referenced reports whether a bucket of the previous table still names a target's index.
func (t *Table) referenced(i int) bool {
	for b := range t.buckets {
		if int(t.buckets[b].owner) == i || int(t.buckets[b].second) == i {
			return true
		}
		for _, f := range t.buckets[b].history {
			if int(f.target) == i {
				return true
			}
		}
	}
	return false
}

func (t *Table) index(m cherviltide.Member) int {
	return slices.IndexFunc(t.targets, func(x target) bool {
		return x.member.Name == m.Name && x.member.Incarnation == m.Incarnation
	})
}

// place computes the owner and the second of each bucket and moves their predecessors into the history.
func (t *Table) place(previous []bucket) {
	t.buckets = make([]bucket, len(previous))
	order := t.eligible()
	for i := range previous {
		owner, second := t.rank(order, uint64(i))
		t.buckets[i] = t.succeed(previous[i], owner, second)
	}
}

// eligible returns the indexes of the targets that take new flows, in the order of their names.
func (t *Table) eligible() []uint16 {
	var list []uint16
	for i := range t.targets {
		if t.targets[i].state == cherviltide.StateActive {
			list = append(list, uint16(i))
		}
	}
	slices.SortFunc(list, func(a, b uint16) int {
		return strings.Compare(t.targets[a].member.Name, t.targets[b].member.Name)
	})
	return list
}

// rank returns the two targets with the highest weighted rendezvous scores for a bucket.
func (t *Table) rank(list []uint16, bucket uint64) (owner, second uint16) {
	owner, second = none, none
	best, next := math.Inf(-1), math.Inf(-1)
	for _, i := range list {
		s := score(t.targets[i].seed, bucket, t.targets[i].member.Weight)
		switch {
		case s > best:
			second, next = owner, best
			owner, best = i, s
		case s > next:
			second, next = i, s
		}
	}
	return owner, second
}

// succeed returns a bucket with a new owner and second, given the bucket before the event.
func (t *Table) succeed(old bucket, owner, second uint16) bucket {
	b := bucket{owner: owner, second: second}
	if old.owner == owner && old.second == second && !t.anyDead(old.history) {
		b.history = old.history
		return b
	}
	for _, i := range []uint16{old.owner, old.second} {
		b.history = t.remember(b, i, t.generation)
	}
	for _, f := range old.history {
		b.history = t.remember(b, f.target, f.left)
	}
	return b
}

func (t *Table) anyDead(history []former) bool {
	return slices.ContainsFunc(history, func(f former) bool {
		return t.targets[f.target].state == cherviltide.StateDead
	})
}

// remember appends a former holder unless it is dead, current or listed already.
func (t *Table) remember(b bucket, i uint16, left uint64) []former {
	if i == none || i == b.owner || i == b.second || t.targets[i].state == cherviltide.StateDead {
		return b.history
	}
	if slices.ContainsFunc(b.history, func(f former) bool { return f.target == i }) {
		return b.history
	}
	return append(b.history, former{target: i, left: left})
}

// release drops the history entries of a member that are not newer than the declared generation.
func (t *Table) release(e cherviltide.MemberEvent) {
	i := uint16(t.index(e.Member))
	t.buckets = slices.Clone(t.buckets)
	for b := range t.buckets {
		t.buckets[b].history = slices.DeleteFunc(slices.Clone(t.buckets[b].history), func(f former) bool {
			return f.target == i && f.left <= e.Generation
		})
	}
}

// score is the weighted rendezvous score of a target for a bucket.
func score(seed, bucket uint64, weight uint32) float64 {
	h := mix(seed ^ mix(bucket+0x9e3779b97f4a7c15))
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -float64(max(weight, 1)) / math.Log(u)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
