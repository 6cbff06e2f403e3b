package tracker

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Constants of fail static.
const (
	// deathWindow is how long a member that died counts as lost.
	deathWindow cherviltide.Millis = 30_000
	// allMembers is the group of all members.
	allMembers = "*"
)

// Limits decide when members that stop announcing themselves are not declared dead.
type Limits struct {
	// MaxLostPercent is the percentage of a group's members that may be silent or have died recently. Above it the members
	// of the group are kept; 100 disables this.
	MaxLostPercent int
	// MaxClockStep is how far the leader's time advances at most between two calls. A larger step is a change of the clock
	// or a pause of this process, in which it could not receive announcements.
	MaxClockStep cherviltide.Millis
}

// DefaultLimits allow a service to lose one of three failure domains (3 of 7 targets).
var DefaultLimits = Limits{MaxLostPercent: 50, MaxClockStep: 1_000}

// leaseDeath is a death by an expired lease.
type leaseDeath struct {
	at          cherviltide.Millis
	name, group string
}

// groupOf returns the group that a member is counted in: its service, or its role if it has no service.
func groupOf(m cherviltide.Member) string {
	if m.Service != "" {
		return m.Service
	}
	return string(m.Role)
}

// updateHeldGroups returns the groups in which so many members are silent that a fault between them and the control
// instances is more likely than a fault of the members. Their members are kept (fail static).
func (t *Tracker) updateHeldGroups(members []MemberRecord) map[string]bool {
	l := t.leader
	l.recentDeaths = slices.DeleteFunc(l.recentDeaths, func(x leaseDeath) bool { return l.elapsed-x.at > deathWindow })
	total, lost := map[string]int{}, map[string]int{}
	count := func(group string, silent bool) {
		for _, g := range []string{group, allMembers} {
			total[g]++
			if silent {
				lost[g]++
			}
		}
	}
	for _, x := range members {
		count(groupOf(x.Member), l.elapsed-l.contactOf(x.Member).lastAnnouncement > massSilenceAfter)
	}
	for _, x := range l.recentDeaths {
		if _, returned := t.live[x.name]; !returned {
			count(x.group, true)
		}
	}
	held := map[string]bool{}
	for g := range total {
		if lost[g]*100 > total[g]*t.limits.MaxLostPercent {
			held[g] = true
		}
	}
	l.heldGroups = sortedKeys(held)
	return held
}
