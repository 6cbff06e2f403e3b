package picker

import "cherviltide.example/cherviltide"

// The pickers in this file exist for comparison with Table in measurements.

// Modulo places a flow on the target whose index is the flow's hash modulo the number of eligible targets. It ignores
// weights and keeps no history.
type Modulo struct {
	members []cherviltide.Member
}

// NewModulo returns modulo hashing over the targets that take new flows in a table.
func NewModulo(t *Table) *Modulo {
	m := &Modulo{}
	for _, i := range newAssigner(t.targets, t.evacuated, nil).eligible {
		m.members = append(m.members, t.targets[i].member)
	}
	return m
}

// Pick implements cherviltide.Picker.
func (m *Modulo) Pick(key cherviltide.FlowKey) (cherviltide.Member, bool) {
	if len(m.members) == 0 {
		return cherviltide.Member{}, false
	}
	return m.members[key.Hash()%uint64(len(m.members))], true
}

// Members returns the targets that take new flows.
func (m *Modulo) Members() []cherviltide.Member {
	return m.members
}

// Consistent places a flow by weighted rendezvous hashing of the flow itself. It has no buckets, capacities or history.
type Consistent struct {
	targets []target
}

// NewConsistent returns rendezvous hashing over the targets that take new flows in a table.
func NewConsistent(t *Table) *Consistent {
	c := &Consistent{}
	for _, i := range newAssigner(t.targets, t.evacuated, nil).eligible {
		c.targets = append(c.targets, t.targets[i])
	}
	return c
}

// Pick implements cherviltide.Picker.
func (c *Consistent) Pick(key cherviltide.FlowKey) (cherviltide.Member, bool) {
	hash := key.Hash()
	var best *target
	var lowest uint64
	for i := range c.targets {
		t := &c.targets[i]
		if x := cost(t.nameHash, hash, t.member.Weight); best == nil || x < lowest {
			best, lowest = t, x
		}
	}
	if best == nil {
		return cherviltide.Member{}, false
	}
	return best.member, true
}

// NewWithoutHistory returns an empty table that keeps no history. Measurements use it to show which flows the history
// saves.
func NewWithoutHistory(service cherviltide.Service) *Table {
	t := New(service)
	t.withoutHistory = true
	return t
}

var (
	_ cherviltide.Picker = (*Table)(nil)
	_ cherviltide.Picker = (*Modulo)(nil)
	_ cherviltide.Picker = (*Consistent)(nil)
)
