package picker

import (
	"container/heap"
	"slices"

	"cherviltide.example/cherviltide"
)

// capacitySlack is how far a target may exceed its weighted share of the buckets, in percent. The slack keeps a change
// of one target from moving many buckets between the others.
const capacitySlack = 1

// assigner gives each bucket an owner and a secondary by deferred acceptance (Gale-Shapley). A target owns at most its
// weighted share of the buckets. Buckets propose to the targets in their rendezvous order, and a full target keeps the
// proposals with the lowest costs, so the result does not depend on the order of the proposals.
type assigner struct {
	targets []target
	// eligible has the indexes of the targets that take new flows, in the order of their names.
	eligible []uint16
	// accepted has the accepted proposals of each eligible target, the one with the highest cost first.
	accepted []proposalHeap
	capacity []int
	// previousRow returns the row of a bucket before the event.
	previousRow func(bucket int) *row
	owners      []uint16
	secondaries []uint16
	// ranked has the first proposals of each bucket in its order, rankedDepth for each bucket; it is empty until rank is
	// called.
	ranked      []proposal
	rankedDepth int
}

// maxRankedDepth is the number of proposals of a bucket that are ranked in one pass over the targets. Few buckets need
// more: an owner and a secondary take two, and a bucket that other buckets displace one more each time.
const maxRankedDepth = 8

// proposal offers a bucket to a target. Targets prefer low costs, then low bucket numbers.
type proposal struct {
	cost   uint64
	bucket int
	// eligibleIndex is the target's index in the assigner's eligible list.
	eligibleIndex int
}

// newAssigner returns an assigner for the targets that take new flows: the active ones outside the evacuated failure domains.
// If there are none, it takes the suspect ones, and then the leaving ones, so that packets of open flows still reach the
// agents that hold them. It takes targets of evacuated domains, by the same states, only if there are no others.
func newAssigner(targets []target, evacuated []string, previous func(int) *row) *assigner {
	a := &assigner{targets: targets, previousRow: previous}
	states := []cherviltide.MemberState{cherviltide.StateActive, cherviltide.StateSuspect, cherviltide.StateLeaving}
	for _, inEvacuated := range []bool{false, true} {
		for _, state := range states {
			for i := range targets {
				if targets[i].state == state && slices.Contains(evacuated, targets[i].member.FailureDomain) == inEvacuated {
					a.eligible = append(a.eligible, uint16(i))
				}
			}
			if len(a.eligible) > 0 {
				return a
			}
		}
	}
	return a
}

// assign computes the owner and the secondary of each bucket.
func (a *assigner) assign(buckets int) {
	a.owners, a.secondaries = make([]uint16, buckets), make([]uint16, buckets)
	a.accepted = make([]proposalHeap, len(a.eligible))
	a.capacity = a.capacities(uint64(buckets))
	a.rank(buckets)
	for b := range buckets {
		a.assignOwner(b)
	}
	for index, list := range a.accepted {
		for _, p := range list {
			a.owners[p.bucket] = a.eligible[index]
		}
	}
	for b := range buckets {
		a.secondaries[b] = a.chooseSecondary(b)
	}
}

// rank computes the first proposals of each bucket, so that the costs of its targets are not computed again for each
// proposal.
func (a *assigner) rank(buckets int) {
	depth := min(maxRankedDepth, len(a.eligible))
	a.rankedDepth = depth
	a.ranked = make([]proposal, buckets*depth)
	for b := range buckets {
		list := a.ranked[b*depth : b*depth : (b+1)*depth]
		for index, i := range a.eligible {
			p := proposal{cost: cost(a.targets[i].nameHash, uint64(b), a.targets[i].member.Weight), bucket: b, eligibleIndex: index}
			if len(list) == depth && !p.precedes(list[depth-1]) {
				continue
			}
			if len(list) < depth {
				list = append(list, p)
			}
			at := len(list) - 1
			for ; at > 0 && p.precedes(list[at-1]); at-- {
				list[at] = list[at-1]
			}
			list[at] = p
		}
	}
}

// rankedProposal returns the first ranked proposal of a bucket that follows another one, or the first of all when after is
// nil. It returns false when none of the ranked ones does.
func (a *assigner) rankedProposal(bucket int, after *proposal) (proposal, bool) {
	if len(a.ranked) == 0 {
		return proposal{}, false
	}
	for _, p := range a.ranked[bucket*a.rankedDepth : (bucket+1)*a.rankedDepth] {
		if after == nil || after.precedes(p) {
			return p, true
		}
	}
	return proposal{}, false
}

// capacities returns how many buckets each eligible target may own. Their sum is at least the number of buckets.
func (a *assigner) capacities(buckets uint64) []int {
	var total uint64
	for _, i := range a.eligible {
		total += weight(a.targets[i])
	}
	capacities := make([]int, len(a.eligible))
	for index, i := range a.eligible {
		share := buckets * weight(a.targets[i]) * (100 + capacitySlack)
		capacities[index] = int((share + 100*total - 1) / (100 * total))
	}
	return capacities
}

func weight(t target) uint64 {
	return uint64(max(t.member.Weight, 1))
}

// assignOwner lets a bucket propose to targets until one accepts it. A bucket that this displaces proposes in turn.
func (a *assigner) assignOwner(bucket int) {
	p, ok := a.bestProposal(bucket, nil, a.restrictingRow(bucket))
	if !ok {
		a.owners[bucket] = noTarget
		return
	}
	for full := true; full; {
		p, full = a.propose(p)
		if full {
			p, full = a.nextProposal(p)
		}
	}
}

// nextProposal returns the next proposal of a displaced bucket, and false when it has assigned the bucket itself: if the
// bucket is restricted to the targets of a row and all of them are full, it goes to the first, beyond that target's
// capacity.
func (a *assigner) nextProposal(p proposal) (proposal, bool) {
	restriction := a.restrictingRow(p.bucket)
	if next, ok := a.bestProposal(p.bucket, &p, restriction); ok {
		return next, true
	}
	first, _ := a.bestProposal(p.bucket, nil, restriction)
	heap.Push(&a.accepted[first.eligibleIndex], first)
	a.capacity[first.eligibleIndex]++
	return proposal{}, false
}

// propose offers a bucket to a target. If the target is full, it returns the proposal that the target rejects.
func (a *assigner) propose(p proposal) (rejected proposal, full bool) {
	list := &a.accepted[p.eligibleIndex]
	if len(*list) < a.capacity[p.eligibleIndex] {
		heap.Push(list, p)
		return proposal{}, false
	}
	worst := (*list)[0]
	if !p.preferredOver(worst) {
		return p, true
	}
	(*list)[0] = p
	heap.Fix(list, 0)
	return worst, true
}

// bestProposal returns a bucket's proposal with the lowest cost to an eligible target. If after is set, only proposals
// that follow it in the bucket's order count. If restriction is set, only the targets that this row includes count.
func (a *assigner) bestProposal(bucket int, after *proposal, restriction *row) (proposal, bool) {
	if restriction == nil {
		if p, ok := a.rankedProposal(bucket, after); ok {
			return p, true
		}
	}
	best, found := proposal{}, false
	for index, i := range a.eligible {
		if restriction != nil && !restriction.includes(i) {
			continue
		}
		p := proposal{cost: cost(a.targets[i].nameHash, uint64(bucket), a.targets[i].member.Weight), bucket: bucket, eligibleIndex: index}
		if after != nil && !after.precedes(p) {
			continue
		}
		if !found || p.precedes(best) {
			best, found = p, true
		}
	}
	return best, found
}

// restrictingRow returns the bucket's previous row if its history is full and it includes an eligible target. A new
// owner from outside the row would push the oldest former owner out of the history, and the flows of that agent would
// be lost.
func (a *assigner) restrictingRow(bucket int) *row {
	r := a.previousRow(bucket)
	if !r.historyFull() {
		return nil
	}
	for _, i := range a.eligible {
		if r.includes(i) {
			return r
		}
	}
	return nil
}

// chooseSecondary returns the first target in a bucket's order that is not its owner, or noTarget. It considers only the
// targets of the bucket's restricting row if there is one.
func (a *assigner) chooseSecondary(bucket int) uint16 {
	restriction := a.restrictingRow(bucket)
	p, ok := a.bestProposal(bucket, nil, restriction)
	if ok && a.eligible[p.eligibleIndex] == a.owners[bucket] {
		p, ok = a.bestProposal(bucket, &p, restriction)
	}
	if !ok {
		return noTarget
	}
	return a.eligible[p.eligibleIndex]
}

// precedes reports whether the proposal comes before another proposal of the same bucket.
func (p proposal) precedes(other proposal) bool {
	if p.cost != other.cost {
		return p.cost < other.cost
	}
	return p.eligibleIndex < other.eligibleIndex
}

// preferredOver reports whether a target prefers the proposal over that of another bucket.
func (p proposal) preferredOver(other proposal) bool {
	if p.cost != other.cost {
		return p.cost < other.cost
	}
	return p.bucket < other.bucket
}

// proposalHeap is a heap with the least preferred proposal first.
type proposalHeap []proposal

func (h proposalHeap) Len() int           { return len(h) }
func (h proposalHeap) Less(i, j int) bool { return h[j].preferredOver(h[i]) }
func (h proposalHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *proposalHeap) Push(x any) { *h = append(*h, x.(proposal)) }

// Pop implements heap.Interface.
func (h *proposalHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
