package picker

import "cherviltide.example/cherviltide"

// Secondary returns the agent that gets a flow's bucket when its owner goes, and false when there is none.
func (t *Table) Secondary(key cherviltide.FlowKey) (cherviltide.Member, bool) {
	r := t.rowFor(key)
	if r.secondary == noTarget {
		return cherviltide.Member{}, false
	}
	return t.targets[r.secondary].member, true
}

// AppendMembers appends all agents of the table to dst, in the order of their names.
func (t *Table) AppendMembers(dst []cherviltide.Member) []cherviltide.Member {
	for _, x := range t.targets {
		dst = append(dst, x.member)
	}
	return dst
}

// Active returns the agents that take new flows, in the order of their names; see AppendActive.
func (t *Table) Active() []cherviltide.Member {
	return t.AppendActive(nil)
}

// AppendActive appends the agents that are neither suspect nor leaving nor in an evacuated failure domain to dst, in the
// order of their names.
func (t *Table) AppendActive(dst []cherviltide.Member) []cherviltide.Member {
	for _, x := range t.targets {
		if x.state == cherviltide.StateActive && !t.IsEvacuated(x.member.FailureDomain) {
			dst = append(dst, x.member)
		}
	}
	return dst
}
