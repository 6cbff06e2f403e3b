package picker

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Releasable reports whether a Released event of the member with the given generation would shrink a history.
func (t *Table) Releasable(m cherviltide.Member, generation uint64) bool {
	i := t.index(m)
	if i < 0 {
		return false
	}
	return slices.ContainsFunc(t.buckets, func(b bucket) bool {
		return slices.ContainsFunc(b.history, func(f former) bool {
			return int(f.target) == i && f.left <= generation
		})
	})
}

// WithService returns the table under the service's present rule, whose number of buckets must be the same.
func (t *Table) WithService(service cherviltide.Service) *Table {
	next := *t
	next.service = service
	return &next
}
