package picker

import (
	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

// TagOf returns the tag of the agent with the given name. It stays the same after a restart.
func TagOf(name string) uint32 {
	return tagOf(seedOf(name))
}

// seedOf returns the hash of an agent's name, on which its scores and its tag depend.
func seedOf(name string) uint64 {
	return xxhash.Sum64String(name)
}

func tagOf(seed uint64) uint32 {
	return uint32(seed)
}

// MemberByTag returns the live agent of the service with the given tag.
func (t *Table) MemberByTag(tag uint32) (cherviltide.Member, bool) {
	for i := range t.targets {
		if tagOf(t.targets[i].seed) == tag {
			return t.targets[i].member, true
		}
	}
	return cherviltide.Member{}, false
}

// DiedRecently reports whether the tag belongs to an agent that has died lately and has not returned.
func (t *Table) DiedRecently(tag uint32) bool {
	if _, live := t.MemberByTag(tag); live {
		return false
	}
	for _, d := range t.dead {
		if TagOf(d.name) == tag {
			return true
		}
	}
	return false
}
