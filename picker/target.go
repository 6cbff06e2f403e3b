package picker

import (
	"slices"
	"strings"
	"unique"

	"cherviltide.example/cherviltide"
)

const (
	// maxTargets is the number of targets that fit a 16-bit index besides none. A member beyond it is not placed.
	maxTargets = none
	// maxTombstones bounds the dead incarnations that a table remembers. They only have to outlast a Joined event
	// that was proposed twice, for example around a change of the control leader.
	maxTombstones = 16
)

// target is a live agent that the table knows.
type target struct {
	member cherviltide.Member
	state  cherviltide.MemberState
	seed   uint64
}

// tombstone is a dead incarnation. Neither it nor an older one can join again.
type tombstone struct {
	name        string
	incarnation uint64
}

// newTarget returns a target that shares the strings that are equal for many targets.
func newTarget(service string, m cherviltide.Member) target {
	m.Service = service
	m.Role = cherviltide.RoleAgent
	m.Region = unique.Make(m.Region).Value()
	m.FailureDomain = unique.Make(m.FailureDomain).Value()
	return target{member: m, state: cherviltide.StateActive, seed: seedOf(m.Name)}
}

// search returns the index of the target with the given name, or where it belongs.
func (t *Table) search(name string) (int, bool) {
	return slices.BinarySearchFunc(t.targets, name, func(x target, name string) int {
		return strings.Compare(x.member.Name, name)
	})
}

// update applies an event to the targets. It returns the new index of each old target, none for a dead one, and whether
// anything changed. The receiver's targets and tombstones are replaced, not modified.
func (t *Table) update(e cherviltide.MemberEvent) (moved []uint16, changed bool) {
	if e.Type == cherviltide.EventJoined {
		return t.join(e.Member)
	}
	i, ok := t.search(e.Member.Name)
	if !ok || t.targets[i].member.Incarnation != e.Member.Incarnation {
		return nil, false
	}
	if e.Type == cherviltide.EventDied {
		return t.remove(i), true
	}
	next := t.targets[i]
	if e.Type == cherviltide.EventWeighed {
		next.member.Weight = e.Member.Weight
	} else {
		next.state = transition(next.state, e.Type)
	}
	if next == t.targets[i] {
		return nil, false
	}
	t.targets = slices.Clone(t.targets)
	t.targets[i] = next
	return identity(len(t.targets)), true
}

// transition returns the state of a live target after an event. A leaving target stays so until it dies.
func transition(state cherviltide.MemberState, e cherviltide.EventType) cherviltide.MemberState {
	switch {
	case e == cherviltide.EventLeaving:
		return cherviltide.StateLeaving
	case e == cherviltide.EventSuspected && state == cherviltide.StateActive:
		return cherviltide.StateSuspect
	case e == cherviltide.EventCleared && state == cherviltide.StateSuspect:
		return cherviltide.StateActive
	}
	return state
}

// join adds a member. A newer incarnation replaces an older one, which is then dead.
func (t *Table) join(m cherviltide.Member) (moved []uint16, changed bool) {
	for _, d := range t.dead {
		if d.name == m.Name && m.Incarnation <= d.incarnation {
			return nil, false
		}
	}
	i, known := t.search(m.Name)
	if known && m.Incarnation <= t.targets[i].member.Incarnation {
		return nil, false
	}
	if !known && len(t.targets) == maxTargets {
		return nil, false
	}
	moved = identity(len(t.targets))
	if known {
		moved = t.remove(i)
	}
	for old, index := range moved {
		if index != none && int(index) >= i {
			moved[old]++
		}
	}
	t.targets = exact(slices.Insert(slices.Clone(t.targets), i, newTarget(t.service.Name, m)))
	return moved, true
}

// remove takes a dead target out of the table and remembers its incarnation.
func (t *Table) remove(i int) []uint16 {
	moved := identity(len(t.targets))
	moved[i] = none
	for old := i + 1; old < len(moved); old++ {
		moved[old]--
	}
	m := t.targets[i].member
	t.dead = append(slices.Clone(t.dead), tombstone{name: m.Name, incarnation: m.Incarnation})
	if len(t.dead) > maxTombstones {
		t.dead = t.dead[1:]
	}
	t.targets = exact(slices.Delete(slices.Clone(t.targets), i, i+1))
	return moved
}

// identity returns the indexes of n targets that have not moved.
func identity(n int) []uint16 {
	moved := make([]uint16, n)
	for i := range moved {
		moved[i] = uint16(i)
	}
	return moved
}
