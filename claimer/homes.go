package claimer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

// HomeHistory knows the members of a service over the last key life and so which agent is a key's home since when.
type HomeHistory struct {
	// lease is the longest time that an agent acts as a home after its last contact with control.
	lease cherviltide.Millis
	// sets is in the order of time and empty before the first call of Update.
	sets []memberSet
}

type memberSet struct {
	since   cherviltide.Millis
	members []cherviltide.Member
}

// NewHomeHistory returns a history without members. The lease is the longest one that control grants.
func NewHomeHistory(lease cherviltide.Millis) *HomeHistory {
	return &HomeHistory{lease: lease}
}

// Update takes the members that may be homes, as this agent sees them now.
func (h *HomeHistory) Update(now cherviltide.Millis, members []cherviltide.Member) {
	if len(h.sets) > 0 && slices.EqualFunc(h.sets[len(h.sets)-1].members, members, same) {
		return
	}
	h.sets = append(h.sets, memberSet{since: now, members: slices.Clone(members)})
	for len(h.sets) > 1 && h.sets[1].since < now-KeyLife-h.lease {
		h.sets = h.sets[1:]
	}
}

// Home returns the home of a key, and false when there is none.
func (h *HomeHistory) Home(key Key) (cherviltide.Member, bool) {
	if len(h.sets) == 0 {
		return cherviltide.Member{}, false
	}
	return home(h.sets[len(h.sets)-1].members, key)
}

// SoleHomeSince returns the time from which no other agent acts as the home of a key, and false when self is not its home now.
// A former home may act until its lease has ended, so a takeover counts from then.
func (h *HomeHistory) SoleHomeSince(key Key, self cherviltide.Member) (cherviltide.Millis, bool) {
	since, found := cherviltide.Millis(0), false
	for _, set := range slices.Backward(h.sets) {
		m, ok := home(set.members, key)
		if !ok || !same(m, self) {
			break
		}
		since, found = set.since, true
	}
	return since + h.lease, found
}

// home returns the member with the highest rendezvous score.
func home(members []cherviltide.Member, key Key) (cherviltide.Member, bool) {
	var best cherviltide.Member
	top, found := uint64(0), false
	for _, m := range members {
		d := xxhash.New()
		_, _ = d.WriteString(m.Name)
		_, _ = d.Write(key.ID[:])
		_, _ = d.WriteString(key.Customer)
		if score := d.Sum64(); !found || score > top {
			best, top, found = m, score, true
		}
	}
	return best, found
}

func same(a, b cherviltide.Member) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation
}
