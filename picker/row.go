package picker

import (
	"encoding/binary"
	"slices"
)

// maxHistory bounds the former holders of a bucket. The owner, the history and the second must fit the 8-bit position of
// a probe, and each probe and its return take two of the 250 hops of a datagram.
const maxHistory = 100

// row is a placement that one or more buckets share. A service with few targets has few distinct rows, so a table needs
// two bytes for each bucket besides them.
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

// key returns a text that is equal for equal rows only.
func (r row) key() string {
	b := binary.BigEndian.AppendUint16(nil, r.owner)
	b = binary.BigEndian.AppendUint16(b, r.second)
	for _, f := range r.history {
		b = binary.BigEndian.AppendUint16(b, f.target)
		b = binary.BigEndian.AppendUint64(b, f.left)
	}
	return string(b)
}

// rowSet collects the rows of a table's buckets, each distinct row once, in the order of the buckets.
type rowSet struct {
	rows    []row
	buckets []uint16
	byKey   map[string]uint16
}

func newRowSet(buckets int) *rowSet {
	return &rowSet{buckets: make([]uint16, 0, buckets), byKey: map[string]uint16{}}
}

// add appends the row of the next bucket.
func (s *rowSet) add(r row) uint16 {
	key := r.key()
	i, ok := s.byKey[key]
	if !ok {
		i = uint16(len(s.rows))
		r.history = slices.Clip(r.history)
		s.rows = append(s.rows, r)
		s.byKey[key] = i
	}
	s.buckets = append(s.buckets, i)
	return i
}
