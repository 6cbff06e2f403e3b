package picker

import (
	"encoding/binary"
	"slices"
)

// maxHistory bounds the former owners of a bucket. The index of a candidate (owner, history, secondary) must fit the
// 8-bit position of a probe, and each probe and its return take two of the 250 hops of a datagram.
const maxHistory = 100

// row is a placement that one or more buckets share.
type row struct {
	// owner is noTarget only when the service has no live target.
	owner uint16
	// secondary differs from the owner. It is noTarget when there is no other eligible target.
	secondary uint16
	// history is newest first and has each target at most once, never the owner or the secondary.
	history []formerOwner
}

// formerOwner is a target that was the owner or the secondary of a bucket and may still hold flows of it.
type formerOwner struct {
	target uint16
	// leftGeneration is the generation of the event that took the bucket from the target.
	leftGeneration uint64
}

// remapped returns the row with the target indexes after an event. Dead targets are left out.
func (r row) remapped(newIndexes []uint16) row {
	next := row{owner: noTarget, secondary: noTarget}
	if r.owner != noTarget {
		next.owner = newIndexes[r.owner]
	}
	if r.secondary != noTarget {
		next.secondary = newIndexes[r.secondary]
	}
	for _, f := range r.history {
		if newIndexes[f.target] != noTarget {
			next.history = append(next.history, formerOwner{target: newIndexes[f.target], leftGeneration: f.leftGeneration})
		}
	}
	return next
}

// reassigned returns the row after an event that chose a new owner and secondary. The previous ones enter the history.
func (r row) reassigned(owner, secondary uint16, generation uint64) row {
	if r.owner == owner && r.secondary == secondary {
		return r
	}
	next := row{owner: owner, secondary: secondary}
	next.addFormerOwner(formerOwner{target: r.owner, leftGeneration: generation})
	next.addFormerOwner(formerOwner{target: r.secondary, leftGeneration: generation})
	for _, f := range r.history {
		next.addFormerOwner(f)
	}
	return next
}

// addFormerOwner appends a former owner to the history unless the row includes it already or the history is full.
func (r *row) addFormerOwner(f formerOwner) {
	if f.target == noTarget || f.target == r.owner || f.target == r.secondary || len(r.history) == maxHistory {
		return
	}
	if !slices.ContainsFunc(r.history, func(x formerOwner) bool { return x.target == f.target }) {
		r.history = append(r.history, f)
	}
}

// withoutReleased returns the row without a target's history entry if that entry is not newer than the generation.
func (r row) withoutReleased(target uint16, generation uint64) row {
	isReleased := func(f formerOwner) bool { return f.target == target && f.leftGeneration <= generation }
	if slices.ContainsFunc(r.history, isReleased) {
		r.history = slices.DeleteFunc(slices.Clone(r.history), isReleased)
	}
	return r
}

// historyFull reports whether the history has no room for a further pair of owner and secondary.
func (r row) historyFull() bool {
	return len(r.history) > maxHistory-2
}

// includes reports whether a target is the owner, the secondary or a former owner.
func (r row) includes(target uint16) bool {
	return r.owner == target || r.secondary == target ||
		slices.ContainsFunc(r.history, func(f formerOwner) bool { return f.target == target })
}

// compactRow is a row as a table stores it. A service with few targets has few distinct rows and histories, so that a
// table needs only two bytes for each bucket besides them.
type compactRow struct {
	owner, secondary uint16
	// history is an index in rowSet.histories.
	history uint16
}

// rowSet has the rows of a table's buckets.
type rowSet struct {
	// rows are distinct, in the order in which the buckets first use them.
	rows []compactRow
	// histories are distinct.
	histories [][]formerOwner
	// buckets has the index of each bucket's row.
	buckets []uint16
}

// rowAt returns the row with the given index.
func (s *rowSet) rowAt(i uint16) row {
	r := s.rows[i]
	return row{owner: r.owner, secondary: r.secondary, history: s.histories[r.history]}
}

// rowBuilder builds a rowSet, one bucket after the other.
type rowBuilder struct {
	set        rowSet
	byRow      map[compactRow]uint16
	byHistory  map[string]uint16
	historyKey []byte
}

func newRowBuilder(buckets int) *rowBuilder {
	return &rowBuilder{
		set:   rowSet{buckets: make([]uint16, 0, buckets)},
		byRow: map[compactRow]uint16{}, byHistory: map[string]uint16{},
	}
}

// add sets the row of the next bucket and returns its index.
func (b *rowBuilder) add(r row) uint16 {
	c := compactRow{owner: r.owner, secondary: r.secondary, history: b.internHistory(r.history)}
	i, ok := b.byRow[c]
	if !ok {
		i = uint16(len(b.set.rows))
		b.set.rows = append(b.set.rows, c)
		b.byRow[c] = i
	}
	b.set.buckets = append(b.set.buckets, i)
	return i
}

// addExisting sets the row of the next bucket to one that add returned before.
func (b *rowBuilder) addExisting(i uint16) {
	b.set.buckets = append(b.set.buckets, i)
}

// internHistory returns the index of a history, and stores the history if it is new.
func (b *rowBuilder) internHistory(history []formerOwner) uint16 {
	key := b.historyKey[:0]
	for _, f := range history {
		key = binary.BigEndian.AppendUint16(key, f.target)
		key = binary.BigEndian.AppendUint64(key, f.leftGeneration)
	}
	b.historyKey = key
	i, ok := b.byHistory[string(key)]
	if !ok {
		i = uint16(len(b.set.histories))
		b.set.histories = append(b.set.histories, exactCopy(history))
		b.byHistory[string(key)] = i
	}
	return i
}

// build returns the rows in slices without spare capacity.
func (b *rowBuilder) build() rowSet {
	return rowSet{rows: exactCopy(b.set.rows), histories: exactCopy(b.set.histories), buckets: b.set.buckets}
}

// exactCopy returns a copy without spare capacity, or nil for an empty list.
func exactCopy[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	out := make([]T, len(list))
	copy(out, list)
	return out
}
