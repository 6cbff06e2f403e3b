package picker

import (
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
)

// Retain returns the table with agents of an earlier one that it has lost, and their number, for a process that does not reach
// the closed failure domains. When announcements do not get out of a cut, control takes agents out of the table that this process
// still reaches. They are retained, in their earlier state, while the active targets outside the closed domains have less than
// half of the weight that they had in the earlier table; fewer losses are taken to be real. Agents for which answers is false are
// left out. What the table says about leaving agents, newer incarnations, weights and evacuated domains holds. The result has the
// generation of the table, and its histories include the earlier rows.
func (t *Table) Retain(earlier *Table, closed []string, answers func(agent netip.AddrPort) bool) (*Table, int) {
	if earlier == nil || earlier == t || len(closed) == 0 || len(t.buckets) != len(earlier.buckets) ||
		2*t.openWeight(closed) >= earlier.openWeight(closed) {
		return t, 0
	}
	next := t.clone()
	newIndexes, count := next.retainTargets(earlier, closed, answers)
	if count == 0 {
		return t, 0
	}
	next.assignBuckets(newIndexes)
	next.addEarlierRows(earlier)
	return next, count
}

// openWeight returns the weight of the active targets outside the given domains. Those in evacuated domains count, because they
// still get the packets of their open flows.
func (t *Table) openWeight(closed []string) (total uint64) {
	for _, x := range t.targets {
		if x.state == cherviltide.StateActive && !slices.Contains(closed, x.member.FailureDomain) {
			total += weight(x)
		}
	}
	return total
}

// retainTargets adds the targets that Retain keeps. It returns the new index of each present target and the number of those kept.
func (t *Table) retainTargets(earlier *Table, closed []string, answers func(netip.AddrPort) bool) (newIndexes []uint16, count int) {
	addresses := make(map[netip.AddrPort]bool, len(t.targets))
	for _, x := range t.targets {
		addresses[x.member.Address] = true
	}
	present := t.targets
	t.targets = make([]target, 0, max(len(present), len(earlier.targets)))
	newIndexes = make([]uint16, len(present))
	i := 0
	addUntil := func(name string) {
		for ; i < len(present) && (name == "" || present[i].member.Name < name); i++ {
			newIndexes[i] = uint16(len(t.targets))
			t.targets = append(t.targets, present[i])
		}
	}
	for _, x := range earlier.targets {
		addUntil(x.member.Name)
		known := i < len(present) && present[i].member.Name == x.member.Name
		if slices.Contains(closed, x.member.FailureDomain) || !answers(x.member.Address) {
			continue
		}
		switch {
		case known && present[i].member.Incarnation == x.member.Incarnation && present[i].state == cherviltide.StateSuspect && x.state == cherviltide.StateActive:
			kept := present[i]
			kept.state = x.state
			newIndexes[i] = uint16(len(t.targets))
			t.targets = append(t.targets, kept)
			i++
			count++
		case !known && !addresses[x.member.Address] && len(t.targets)+len(present)-i < maxTargets:
			t.targets = append(t.targets, x)
			count++
		}
	}
	addUntil("")
	return newIndexes, count
}

// addEarlierRows adds the targets of the earlier rows to the histories, since they may hold flows of their buckets.
func (t *Table) addEarlierRows(earlier *Table) {
	indexes := make([]uint16, len(earlier.targets))
	for i, x := range earlier.targets {
		indexes[i] = noTarget
		if n, ok := t.findTarget(x.member.Name); ok && t.targets[n].member.Incarnation == x.member.Incarnation {
			indexes[i] = uint16(n)
		}
	}
	type pair struct{ row, earlier uint16 }
	known, builder := map[pair]uint16{}, newRowBuilder(len(t.buckets))
	for b, n := range t.buckets {
		p := pair{row: n, earlier: earlier.buckets[b]}
		if added, ok := known[p]; ok {
			builder.addExisting(added)
			continue
		}
		r, before := t.rowAt(p.row), earlier.rowAt(p.earlier).remapped(indexes)
		r.history = slices.Clone(r.history)
		r.addFormerOwner(formerOwner{target: before.owner, leftGeneration: t.generation})
		r.addFormerOwner(formerOwner{target: before.secondary, leftGeneration: t.generation})
		for _, f := range before.history {
			r.addFormerOwner(f)
		}
		known[p] = builder.add(r)
	}
	t.rowSet = builder.build()
}
