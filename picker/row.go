package picker

import (
	"encoding/binary"
	"slices"
)

// maxHistory bounds the former holders of a bucket. The owner, the history and the second must fit the 8-bit position of
// a probe, and each probe and its return take two of the 250 hops of a datagram.
const maxHistory = 100

// row is a placement that one or more buckets share.
type row struct {
	// owner is none only when the service has no live target.
	owner uint16
	// second differs from the owner and is none when there is no other eligible target.
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

// moved returns the row with other target indexes and without dead targets.
func (r row) moved(to []uint16) row {
	next := row{owner: none, second: none}
	if r.owner != none {
		next.owner = to[r.owner]
	}
	if r.second != none {
		next.second = to[r.second]
	}
	for _, f := range r.history {
		if to[f.target] != none {
			next.history = append(next.history, former{target: to[f.target], left: f.left})
		}
	}
	return next
}

// succeeded returns the row after an event that chose a new owner and second. Their predecessors enter the history.
func (r row) succeeded(owner, second uint16, generation uint64) row {
	if r.owner == owner && r.second == second {
		return r
	}
	next := row{owner: owner, second: second}
	next.remember(former{target: r.owner, left: generation})
	next.remember(former{target: r.second, left: generation})
	for _, f := range r.history {
		next.remember(f)
	}
	return next
}

// remember appends a former holder unless it is current or listed already.
func (r *row) remember(f former) {
	if f.target == none || f.target == r.owner || f.target == r.second || len(r.history) == maxHistory {
		return
	}
	if !slices.ContainsFunc(r.history, func(x former) bool { return x.target == f.target }) {
		r.history = append(r.history, f)
	}
}

// released returns the row without the history entry of a target, if that is not newer than the generation.
func (r row) released(target uint16, generation uint64) row {
	gone := func(f former) bool { return f.target == target && f.left <= generation }
	if slices.ContainsFunc(r.history, gone) {
		r.history = slices.DeleteFunc(slices.Clone(r.history), gone)
	}
	return r
}

// full reports whether the row's history can take no further pair of owner and second.
func (r row) full() bool {
	return len(r.history) > maxHistory-2
}

// names reports whether the row's chain includes a target.
func (r row) names(target uint16) bool {
	return r.owner == target || r.second == target ||
		slices.ContainsFunc(r.history, func(f former) bool { return f.target == target })
}

// compactRow is a row as a table stores it. A service with few targets has few distinct rows and histories, so a table
// needs two bytes for each bucket besides them.
type compactRow struct {
	owner, second uint16
	// history is an index in the histories of the rowSet.
	history uint16
}

// rowSet has the rows of a table's buckets.
type rowSet struct {
	// rows are distinct, in the order in which the buckets use them first.
	rows []compactRow
	// histories are distinct.
	histories [][]former
	// buckets has the index of each bucket's row.
	buckets []uint16
}

// at returns the row with the given index.
func (s *rowSet) at(i uint16) row {
	r := s.rows[i]
	return row{owner: r.owner, second: r.second, history: s.histories[r.history]}
}

// rowBuilder builds a rowSet, bucket after bucket.
type rowBuilder struct {
	set         rowSet
	byRow       map[compactRow]uint16
	byHistory   map[string]uint16
	historyText []byte
}

func newRowBuilder(buckets int) *rowBuilder {
	return &rowBuilder{
		set:   rowSet{buckets: make([]uint16, 0, buckets)},
		byRow: map[compactRow]uint16{}, byHistory: map[string]uint16{},
	}
}

// add sets the row of the next bucket and returns its index.
func (b *rowBuilder) add(r row) uint16 {
	c := compactRow{owner: r.owner, second: r.second, history: b.intern(r.history)}
	i, ok := b.byRow[c]
	if !ok {
		i = uint16(len(b.set.rows))
		b.set.rows = append(b.set.rows, c)
		b.byRow[c] = i
	}
	b.set.buckets = append(b.set.buckets, i)
	return i
}

// repeat sets the row of the next bucket to one that add has returned.
func (b *rowBuilder) repeat(i uint16) {
	b.set.buckets = append(b.set.buckets, i)
}

// intern returns the index of a history.
func (b *rowBuilder) intern(history []former) uint16 {
	text := b.historyText[:0]
	for _, f := range history {
		text = binary.BigEndian.AppendUint16(text, f.target)
		text = binary.BigEndian.AppendUint64(text, f.left)
	}
	b.historyText = text
	i, ok := b.byHistory[string(text)]
	if !ok {
		i = uint16(len(b.set.histories))
		b.set.histories = append(b.set.histories, exact(history))
		b.byHistory[string(text)] = i
	}
	return i
}

// build returns the set in memory of its exact size.
func (b *rowBuilder) build() rowSet {
	return rowSet{rows: exact(b.set.rows), histories: exact(b.set.histories), buckets: b.set.buckets}
}

// exact returns a copy without spare capacity; nil stays nil.
func exact[T any](list []T) []T {
	if len(list) == 0 {
		return nil
	}
	out := make([]T, len(list))
	copy(out, list)
	return out
}
