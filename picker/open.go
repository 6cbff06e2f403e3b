package picker

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// maxDraws bounds the buckets that are drawn for a flow whose owner and secondary are not acceptable. With one acceptable
// failure domain in seven, fewer than 1 in 10,000 flows needs more.
const maxDraws = 64

// PickOpen returns the agent for a flow when no packets reach the agents of the closed failure domains: the first in the flow's
// order that is in another domain. The order is the owner, the secondary, and then the owners of buckets that are drawn with
// the flow's hash, so that the flows of a closed domain spread over the others as their weights say. It is the same in all
// processes, and closing a further domain does not move the flows of agents in the domains that stay open. If all agents with
// buckets are in closed domains, the newest former owner elsewhere follows, such as one in an evacuated domain: it may hold the
// flow, and refuses a new one at once. Without any, PickOpen returns the owner; without closed domains, it is Pick. It does not
// allocate.
func (t *Table) PickOpen(key cherviltide.FlowKey, closed []string) (cherviltide.Member, bool) {
	if len(closed) == 0 {
		return t.Pick(key)
	}
	i := t.first(key, func(domain string) bool { return !slices.Contains(closed, domain) })
	if i == noTarget {
		return t.Pick(key)
	}
	return t.targets[i].member, true
}

// PickWithin returns the agent that PickOpen returns when all other failure domains are closed, and false when there is none.
func (t *Table) PickWithin(key cherviltide.FlowKey, domain string) (cherviltide.Member, bool) {
	i := t.first(key, func(other string) bool { return other == domain })
	if i == noTarget {
		return cherviltide.Member{}, false
	}
	return t.targets[i].member, true
}

// first returns the first target in a flow's order whose failure domain is acceptable, or noTarget.
func (t *Table) first(key cherviltide.FlowKey, acceptable func(domain string) bool) uint16 {
	hash, buckets := key.Hash(), uint64(len(t.buckets))
	r := t.rows[t.buckets[hash%buckets]]
	if t.isAcceptable(r.owner, acceptable) {
		return r.owner
	}
	if t.isAcceptable(r.secondary, acceptable) {
		return r.secondary
	}
	draw := hash
	for range maxDraws {
		draw = mix(draw + 0x9e3779b97f4a7c15)
		if owner := t.rows[t.buckets[draw%buckets]].owner; t.isAcceptable(owner, acceptable) {
			return owner
		}
	}
	best, lowest := uint16(noTarget), uint64(0)
	for _, row := range t.rows {
		if !t.isAcceptable(row.owner, acceptable) {
			continue
		}
		c := cost(t.targets[row.owner].nameHash, hash, t.targets[row.owner].member.Weight)
		if best == noTarget || c < lowest || c == lowest && row.owner < best {
			best, lowest = row.owner, c
		}
	}
	if best == noTarget {
		for _, f := range t.histories[r.history] {
			if t.isAcceptable(f.target, acceptable) {
				return f.target
			}
		}
	}
	return best
}

// isAcceptable reports whether an index is that of a target in an acceptable failure domain.
func (t *Table) isAcceptable(i uint16, acceptable func(domain string) bool) bool {
	return i != noTarget && acceptable(t.targets[i].member.FailureDomain)
}
