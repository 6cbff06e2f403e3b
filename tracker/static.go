package tracker

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Bounds of fail static.
const (
	// staticShare is the share of a group's members that may be silent or have died lately, in percent. The loss of one
	// of three failure domains (3 of 7 targets) stays below it.
	staticShare = 50
	// staticWindow is how long a death counts towards the share.
	staticWindow cherviltide.Millis = 30_000
	// everyone is the group of all members.
	everyone = "*"
)

// expiry is the death of a member by silence.
type expiry struct {
	at          cherviltide.Millis
	name, group string
}

// group returns the name of the members that a member is counted with: its service, or its role when it has none.
func group(m cherviltide.Member) string {
	if m.Service != "" {
		return m.Service
	}
	return string(m.Role)
}

// survey returns the groups in which so many members are silent that the fault is more likely between them and control
// than in the members. Their old set is kept.
func (t *Tracker) survey(entries []Entry) map[string]bool {
	l := t.leases
	l.expired = slices.DeleteFunc(l.expired, func(x expiry) bool { return l.now-x.at > staticWindow })
	total, gone := map[string]int{}, map[string]int{}
	count := func(group string, silent bool) {
		for _, g := range []string{group, everyone} {
			total[g]++
			if silent {
				gone[g]++
			}
		}
	}
	for _, x := range entries {
		count(group(x.Member), l.now-l.contact(x.Member).heard > quietAfter)
	}
	for _, x := range l.expired {
		if _, back := t.entries[x.name]; !back {
			count(x.group, true)
		}
	}
	static := map[string]bool{}
	for g := range total {
		if gone[g]*100 > total[g]*staticShare {
			static[g] = true
		}
	}
	l.held = sortedKeys(static)
	return static
}
