package follower

import (
	"maps"
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide/picker"
)

// Retainer decides which agents a process uses while it does not reach all failure domains: those of its view, and those that
// the view has lost because no announcement of them gets out of the cut. It keeps the view from before the first domain was
// closed until none is. It has no clock or I/O and is not safe for concurrent use. The zero value is ready to use.
type Retainer struct {
	// earlier is nil while no domain is closed.
	earlier *View
	// lost has the domains that were closed at any time since then, in the order of their names. Their agents are not retained:
	// a closed domain without agents is forgotten, and its agents in the earlier view may be dead or still behind the cut.
	lost []string
	// present, closed and revision are the last arguments of Update; result and agents follow from them.
	present  *View
	closed   []string
	revision uint64
	result   *View
	agents   int
	// tables has the table that follows from a present one of the same closed domains and revision.
	tables map[*picker.Table]retainedTable
}

// retainedTable is a table with retained agents and their number.
type retainedTable struct {
	table  *picker.Table
	agents int
}

// Update returns the view to use. answers reports whether an agent answers as far as the process knows; revision changes with its
// results. Without closed domains the result is the present view.
func (r *Retainer) Update(present *View, closed []string, revision uint64, answers func(netip.AddrPort) bool) *View {
	if len(closed) == 0 {
		*r = Retainer{}
		return present
	}
	if r.earlier == nil {
		r.earlier = present
	}
	for _, name := range closed {
		if i, ok := slices.BinarySearch(r.lost, name); !ok {
			r.lost = slices.Insert(r.lost, i, name)
		}
	}
	sameReach := revision == r.revision && slices.Equal(closed, r.closed)
	if r.result != nil && present == r.present && sameReach {
		return r.result
	}
	known := r.tables
	if !sameReach {
		known = nil
	}
	r.present, r.closed, r.revision = present, closed, revision
	r.result, r.agents, r.tables = present, 0, map[*picker.Table]retainedTable{}
	var changed map[string]*picker.Table
	for name, table := range present.Tables {
		x, ok := known[table]
		if !ok {
			x.table, x.agents = table.Retain(r.earlier.Tables[name], r.lost, answers)
		}
		r.tables[table] = x
		if x.agents > 0 {
			if changed == nil {
				changed = maps.Clone(present.Tables)
			}
			changed[name] = x.table
			r.agents += x.agents
		}
	}
	if changed != nil {
		next := *present
		next.Tables = changed
		next.rebuildIndexes()
		r.result = &next
	}
	return r.result
}

// Agents returns the number of agents that the last view has beyond the present one, or in a better state.
func (r *Retainer) Agents() int { return r.agents }
