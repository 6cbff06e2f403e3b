package picker

import (
	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

// TagOf returns the agent tag for an agent's name. It stays the same after a restart.
func TagOf(name string) uint32 {
	return tagOf(hashName(name))
}

// hashName returns the hash of an agent's name, from which its costs and its tag are computed.
func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

func tagOf(nameHash uint64) uint32 {
	return uint32(nameHash)
}

// MemberByTag returns the live agent of the service with the given tag.
func (t *Table) MemberByTag(tag uint32) (cherviltide.Member, bool) {
	for i := range t.targets {
		if tagOf(t.targets[i].nameHash) == tag {
			return t.targets[i].member, true
		}
	}
	return cherviltide.Member{}, false
}

// DiedRecently reports whether the tag belongs to an agent that died recently and has not joined again.
func (t *Table) DiedRecently(tag uint32) bool {
	if _, live := t.MemberByTag(tag); live {
		return false
	}
	for _, d := range t.tombstones {
		if TagOf(d.name) == tag {
			return true
		}
	}
	return false
}
