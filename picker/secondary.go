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

// Active returns the agents that are neither suspect nor leaving, in the order of their names. It includes those in evacuated
// failure domains: they get no new flows, but go on with other work, such as the claims of at-most-once requests.
func (t *Table) Active() []cherviltide.Member {
	return t.appendActive(nil, true)
}

// AppendActive appends the agents that take new flows to dst, in the order of their names: those that are neither suspect nor
// leaving nor in an evacuated failure domain.
func (t *Table) AppendActive(dst []cherviltide.Member) []cherviltide.Member {
	return t.appendActive(dst, false)
}

func (t *Table) appendActive(dst []cherviltide.Member, withEvacuated bool) []cherviltide.Member {
	for _, x := range t.targets {
		if x.state == cherviltide.StateActive && (withEvacuated || !t.IsEvacuated(x.member.FailureDomain)) {
			dst = append(dst, x.member)
		}
	}
	return dst
}
