package claimer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

// HomeHistory has the memberships of a service as far back as a key can have been issued. From them follow the home
// agent of a key and the time since when it has been the home agent.
type HomeHistory struct {
	// maxLease is the longest time that an agent acts as a home agent after its last contact with control.
	maxLease cherviltide.Millis
	// memberships is in the order of time, and empty before the first call of Update.
	memberships []membership
}

type membership struct {
	since   cherviltide.Millis
	members []cherviltide.Member
}

// NewHomeHistory returns an empty history. The maxLease is the longest lease that control grants.
func NewHomeHistory(maxLease cherviltide.Millis) *HomeHistory {
	return &HomeHistory{maxLease: maxLease}
}

// Update records the members that may be home agents, as this agent sees them now.
func (h *HomeHistory) Update(now cherviltide.Millis, members []cherviltide.Member) {
	if len(h.memberships) > 0 && slices.EqualFunc(h.memberships[len(h.memberships)-1].members, members, sameIncarnation) {
		return
	}
	h.memberships = append(h.memberships, membership{since: now, members: slices.Clone(members)})
	for len(h.memberships) > 1 && h.memberships[1].since < now-KeyLifetime-h.maxLease {
		h.memberships = h.memberships[1:]
	}
}

// Home returns the home agent of a key, and false when there is none.
func (h *HomeHistory) Home(key Key) (cherviltide.Member, bool) {
	if len(h.memberships) == 0 {
		return cherviltide.Member{}, false
	}
	return selectHome(h.memberships[len(h.memberships)-1].members, key)
}

// SoleHomeSince returns the time from which no other agent acts as the home agent of a key, and false when self is not
// its home agent now. A former home agent may act until its lease ends, so this is maxLease after self became the home
// agent.
func (h *HomeHistory) SoleHomeSince(key Key, self cherviltide.Member) (cherviltide.Millis, bool) {
	since, found := cherviltide.Millis(0), false
	for _, m := range slices.Backward(h.memberships) {
		home, ok := selectHome(m.members, key)
		if !ok || !sameIncarnation(home, self) {
			break
		}
		since, found = m.since, true
	}
	return since + h.maxLease, found
}

// selectHome returns the member with the highest rendezvous hash for the key.
func selectHome(members []cherviltide.Member, key Key) (cherviltide.Member, bool) {
	var best cherviltide.Member
	highest, found := uint64(0), false
	for _, m := range members {
		d := xxhash.New()
		_, _ = d.WriteString(m.Name)
		_, _ = d.Write(key.ID[:])
		_, _ = d.WriteString(key.Customer)
		if score := d.Sum64(); !found || score > highest {
			best, highest, found = m, score, true
		}
	}
	return best, found
}

func sameIncarnation(a, b cherviltide.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}
