package picker

import (
	"slices"
	"strings"
	"unique"

	"cherviltide.example/cherviltide"
)

const (
	// maxTargets is the number of targets that 16-bit indexes can address besides noTarget. Further members are not
	// placed.
	maxTargets = noTarget
	// maxTombstones bounds the dead incarnations that a table keeps. They only have to outlast a Joined event
	// that was proposed twice, for example around a change of the control leader.
	maxTombstones = 16
)

// target is a live agent of the table. In this package, a target is an agent, not the back end behind it.
type target struct {
	member   cherviltide.Member
	state    cherviltide.MemberState
	nameHash uint64
}

// tombstone is a dead incarnation. Neither it nor an older one can join again.
type tombstone struct {
	name        string
	incarnation uint64
}

// newTarget returns an active target. Strings that are equal for many targets share memory.
func newTarget(service string, m cherviltide.Member) target {
	m.Service = service
	m.Role = cherviltide.RoleAgent
	m.Region = unique.Make(m.Region).Value()
	m.FailureDomain = unique.Make(m.FailureDomain).Value()
	return target{member: m, state: cherviltide.StateActive, nameHash: hashName(m.Name)}
}

// findTarget returns the index of the target with the given name, or the index at which it would be inserted.
func (t *Table) findTarget(name string) (int, bool) {
	return slices.BinarySearchFunc(t.targets, name, func(x target, name string) int {
		return strings.Compare(x.member.Name, name)
	})
}

// applyToTargets applies an event to the targets. It returns the new index of each old target (noTarget for a dead one)
// and whether anything changed. It replaces the receiver's targets and tombstones and does not modify the old slices.
func (t *Table) applyToTargets(e cherviltide.MemberEvent) (newIndexes []uint16, changed bool) {
	if e.Type == cherviltide.EventJoined {
		return t.addTarget(e.Member)
	}
	i, ok := t.findTarget(e.Member.Name)
	if !ok || t.targets[i].member.Incarnation != e.Member.Incarnation {
		return nil, false
	}
	if e.Type == cherviltide.EventDied {
		return t.removeTarget(i), true
	}
	next := t.targets[i]
	if e.Type == cherviltide.EventWeighed {
		next.member.Weight = e.Member.Weight
	} else {
		next.state = nextState(next.state, e.Type)
	}
	if next == t.targets[i] {
		return nil, false
	}
	t.targets = slices.Clone(t.targets)
	t.targets[i] = next
	return identityIndexes(len(t.targets)), true
}

// nextState returns the state of a live target after an event. A leaving target stays so until it dies.
func nextState(state cherviltide.MemberState, e cherviltide.EventType) cherviltide.MemberState {
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

// addTarget adds a member. A newer incarnation replaces an older one, which gets a tombstone.
func (t *Table) addTarget(m cherviltide.Member) (newIndexes []uint16, changed bool) {
	for _, d := range t.tombstones {
		if d.name == m.Name && m.Incarnation <= d.incarnation {
			return nil, false
		}
	}
	i, known := t.findTarget(m.Name)
	if known && m.Incarnation <= t.targets[i].member.Incarnation {
		return nil, false
	}
	if !known && len(t.targets) == maxTargets {
		return nil, false
	}
	newIndexes = identityIndexes(len(t.targets))
	if known {
		newIndexes = t.removeTarget(i)
	}
	for old, index := range newIndexes {
		if index != noTarget && int(index) >= i {
			newIndexes[old]++
		}
	}
	t.targets = exactCopy(slices.Insert(slices.Clone(t.targets), i, newTarget(t.service.Name, m)))
	return newIndexes, true
}

// removeTarget removes a target that died or that a newer incarnation replaces, and adds a tombstone for its incarnation.
// It returns the new index of each old target.
func (t *Table) removeTarget(i int) []uint16 {
	newIndexes := identityIndexes(len(t.targets))
	newIndexes[i] = noTarget
	for old := i + 1; old < len(newIndexes); old++ {
		newIndexes[old]--
	}
	m := t.targets[i].member
	t.tombstones = append(slices.Clone(t.tombstones), tombstone{name: m.Name, incarnation: m.Incarnation})
	if len(t.tombstones) > maxTombstones {
		t.tombstones = t.tombstones[1:]
	}
	t.targets = exactCopy(slices.Delete(slices.Clone(t.targets), i, i+1))
	return newIndexes
}

// identityIndexes returns the indexes of n targets that keep their places.
func identityIndexes(n int) []uint16 {
	indexes := make([]uint16, n)
	for i := range indexes {
		indexes[i] = uint16(i)
	}
	return indexes
}
