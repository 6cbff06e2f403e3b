package picker

import (
	"container/heap"

	"cherviltide.example/cherviltide"
)

// capacitySlack is how far a target may exceed its weighted share of the buckets, in percent. It keeps a change of one
// target from moving many buckets between the others.
const capacitySlack = 1

// assigner gives each bucket an owner and a second. A target owns at most its weighted share of the buckets. Buckets
// propose to the targets in their rendezvous order, and a full target keeps those with the lowest costs, so the result
// does not depend on the order of the proposals.
type assigner struct {
	targets []target
	// list has the indexes of the eligible targets in the order of their names.
	list []uint16
	// accepted has the buckets of each listed target, the one with the highest cost first.
	accepted []claims
	capacity []int
	// previous returns the row of a bucket before the event.
	previous func(bucket int) *row
	owners   []uint16
	seconds  []uint16
}

// claim is a bucket's rank at a target; low costs win, then low buckets.
type claim struct {
	cost   uint64
	bucket int
	// position is the target's position in the list of the assigner.
	position int
}

// newAssigner returns an assigner for the targets that take new flows. Those are the active ones; only when there are
// none, the suspect ones, and then the leaving ones, so that packets of open flows still find their holders.
func newAssigner(targets []target, previous func(int) *row) *assigner {
	a := &assigner{targets: targets, previous: previous}
	states := []cherviltide.MemberState{cherviltide.StateActive, cherviltide.StateSuspect, cherviltide.StateLeaving}
	for _, state := range states {
		for i := range targets {
			if targets[i].state == state {
				a.list = append(a.list, uint16(i))
			}
		}
		if len(a.list) > 0 {
			break
		}
	}
	return a
}

// assign computes owners and seconds.
func (a *assigner) assign(buckets int) {
	a.owners, a.seconds = make([]uint16, buckets), make([]uint16, buckets)
	a.accepted = make([]claims, len(a.list))
	a.capacity = a.capacities(uint64(buckets))
	for b := range buckets {
		a.settle(b)
	}
	for p, list := range a.accepted {
		for _, c := range list {
			a.owners[c.bucket] = a.list[p]
		}
	}
	for b := range buckets {
		a.seconds[b] = a.second(b)
	}
}

// capacities returns the highest number of buckets of each listed target. Their sum is at least the number of buckets.
func (a *assigner) capacities(buckets uint64) []int {
	var total uint64
	for _, i := range a.list {
		total += weight(a.targets[i])
	}
	list := make([]int, len(a.list))
	for p, i := range a.list {
		share := buckets * weight(a.targets[i]) * (100 + capacitySlack)
		list[p] = int((share + 100*total - 1) / (100 * total))
	}
	return list
}

func weight(t target) uint64 {
	return uint64(max(t.member.Weight, 1))
}

// settle lets a bucket, and then each bucket that it displaces, propose until a target keeps it.
func (a *assigner) settle(bucket int) {
	c, ok := a.best(bucket, nil, a.restricted(bucket))
	if !ok {
		a.owners[bucket] = none
		return
	}
	for full := true; full; {
		c, full = a.propose(c)
		if full {
			c, full = a.next(c)
		}
	}
}

// next returns a displaced bucket's next claim. It returns false after it has placed the bucket itself: a restricted
// bucket whose targets are all full exceeds the capacity of its first target.
func (a *assigner) next(c claim) (claim, bool) {
	only := a.restricted(c.bucket)
	if next, ok := a.best(c.bucket, &c, only); ok {
		return next, true
	}
	first, _ := a.best(c.bucket, nil, only)
	heap.Push(&a.accepted[first.position], first)
	a.capacity[first.position]++
	return claim{}, false
}

// propose offers a bucket to a target and returns the claim that the target refuses, if it is full.
func (a *assigner) propose(c claim) (refused claim, full bool) {
	list := &a.accepted[c.position]
	if len(*list) < a.capacity[c.position] {
		heap.Push(list, c)
		return claim{}, false
	}
	worst := (*list)[0]
	if !c.before(worst) {
		return c, true
	}
	(*list)[0] = c
	heap.Fix(list, 0)
	return worst, true
}

// best returns a bucket's claim with the lowest cost among the listed targets, of those after the given claim only.
// A row with a full history restricts the bucket to the targets that the row names.
func (a *assigner) best(bucket int, after *claim, only *row) (claim, bool) {
	best, found := claim{}, false
	for p, i := range a.list {
		if only != nil && !only.names(i) {
			continue
		}
		c := claim{cost: cost(a.targets[i].seed, uint64(bucket), a.targets[i].member.Weight), bucket: bucket, position: p}
		if after != nil && !after.ranks(c) {
			continue
		}
		if !found || c.ranks(best) {
			best, found = c, true
		}
	}
	return best, found
}

// restricted returns the bucket's previous row when its history is full and it names an eligible target. A further
// former holder would push out the oldest, whose flows would then be lost.
func (a *assigner) restricted(bucket int) *row {
	r := a.previous(bucket)
	if !r.full() {
		return nil
	}
	for _, i := range a.list {
		if r.names(i) {
			return r
		}
	}
	return nil
}

// second returns the first target in a bucket's order that is not its owner.
func (a *assigner) second(bucket int) uint16 {
	only := a.restricted(bucket)
	c, ok := a.best(bucket, nil, only)
	if ok && a.list[c.position] == a.owners[bucket] {
		c, ok = a.best(bucket, &c, only)
	}
	if !ok {
		return none
	}
	return a.list[c.position]
}

// ranks reports whether the claim comes before another claim of the same bucket.
func (c claim) ranks(other claim) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.position < other.position
}

// before reports whether a target prefers the claim over another bucket's.
func (c claim) before(other claim) bool {
	if c.cost != other.cost {
		return c.cost < other.cost
	}
	return c.bucket < other.bucket
}

// claims is a heap with the least preferred claim first.
type claims []claim

func (h claims) Len() int           { return len(h) }
func (h claims) Less(i, j int) bool { return h[j].before(h[i]) }
func (h claims) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *claims) Push(x any) { *h = append(*h, x.(claim)) }

// Pop implements heap.Interface.
func (h *claims) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
