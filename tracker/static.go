package tracker

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Bounds of fail static.
const (
	// staticWindow is how long a death counts towards the share.
	staticWindow cherviltide.Millis = 30_000
	// everyone is the group of all members.
	everyone = "*"
)

// Limits decide when silence is not taken for the death of members.
type Limits struct {
	// StaticShare is the share of a group's members that may be silent or have died lately, in percent. Above it the old
	// set is kept; 100 never keeps it.
	StaticShare int
	// MaxStep is how far the count of time advances between two calls at most. A larger step is a change of the clock or
	// a pause of this process, during which it could not hear members.
	MaxStep cherviltide.Millis
}

// DefaultLimits let a service lose one of three failure domains (3 of 7 targets).
var DefaultLimits = Limits{StaticShare: 50, MaxStep: 1_000}

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
func (t *Tracker) survey(entries []MemberRecord) map[string]bool {
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
		if gone[g]*100 > total[g]*t.limits.StaticShare {
			static[g] = true
		}
	}
	l.held = sortedKeys(static)
	return static
}
