package tracker

import (
	"math"

	"cherviltide.example/cherviltide"
)

// Weights follow reported rates. An announcement comes about once a second.
const (
	// fall and rise are the shares of a difference that one announcement carries over. A target that slows down loses
	// buckets within seconds; one that claims to be fast gains them within half a minute.
	fall = 1.0 / 8
	rise = 1.0 / 32
	// deadBand is the relative difference up to which a weight stays as it is.
	deadBand = 0.2
	// weighInterval is the shortest time between two changes of a member's weight.
	weighInterval cherviltide.Millis = 10_000
	// minWeight keeps a slow target in the order, so that its recovery can be measured.
	minWeight = 10
	maxWeight = 1_000_000
)

// weigh returns the change of weight that a reported rate asks for.
func (t *Tracker) weigh(c *contact, entry MemberRecord, a Announcement) []cherviltide.MemberEvent {
	if a.Rate == 0 || entry.Member.Role != cherviltide.RoleAgent {
		return nil
	}
	weight := float64(entry.Member.Weight)
	if c.rate == 0 {
		c.rate = weight
	}
	share := rise
	if float64(a.Rate) < c.rate {
		share = fall
	}
	c.rate += (float64(a.Rate) - c.rate) * share
	if math.Abs(c.rate-weight) <= deadBand*weight || t.leases.now-c.weighed < weighInterval {
		return nil
	}
	c.weighed = t.leases.now
	m := brief(entry.Member)
	m.Weight = uint32(min(max(math.Round(c.rate), minWeight), maxWeight))
	return []cherviltide.MemberEvent{{Type: cherviltide.EventWeighed, Member: m}}
}

// release returns the release of history that an agent's report allows. The report must hold in two announcements in a
// row to the same leader, so that a flow that was being opened during the first one is counted in the second.
func (t *Tracker) release(c *contact, entry MemberRecord, a Announcement) []cherviltide.MemberEvent {
	oldest := min(a.OldestGeneration, a.Generation)
	if a.Generation > t.position {
		oldest = 0
	}
	sure := min(oldest, c.oldest)
	c.oldest = oldest
	table, ok := t.tables[entry.Member.Service]
	if !ok || sure < t.base || sure == 0 {
		return nil
	}
	if c.checked == sure && c.checkedIn == table.Generation() {
		return nil
	}
	e := cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: brief(entry.Member), Generation: sure}
	if table.WithEvent(t.position+1, e) == table {
		c.checked, c.checkedIn = sure, table.Generation()
		return nil
	}
	return []cherviltide.MemberEvent{e}
}
