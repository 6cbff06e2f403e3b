package tracker

import (
	"math"

	"cherviltide.example/cherviltide"
)

// Weights follow the reported service rates. A member announces itself about once a second.
const (
	// decreaseShare and increaseShare are the fractions of a difference that one announcement applies to the smoothed
	// rate. A target that slows down loses buckets within seconds; one that reports a high rate gains them within half a
	// minute.
	decreaseShare = 1.0 / 8
	increaseShare = 1.0 / 32
	// weightDeadBand is the relative difference up to which a weight does not change.
	weightDeadBand = 0.2
	// minWeightInterval is the shortest time between two changes of a member's weight.
	minWeightInterval cherviltide.Millis = 10_000
	// minWeight leaves a slow target a few buckets, so that its recovery can be measured.
	minWeight = 10
	maxWeight = 1_000_000
)

// weightChange returns the event that adjusts the weight of an agent to its reported service rate, if any.
func (t *Tracker) weightChange(contact *memberContact, record MemberRecord, a Announcement) []cherviltide.MemberEvent {
	if a.Rate == 0 || record.Member.Role != cherviltide.RoleAgent {
		return nil
	}
	weight := float64(record.Member.Weight)
	if contact.smoothedRate == 0 {
		contact.smoothedRate = weight
	}
	share := increaseShare
	if float64(a.Rate) < contact.smoothedRate {
		share = decreaseShare
	}
	contact.smoothedRate += (float64(a.Rate) - contact.smoothedRate) * share
	if math.Abs(contact.smoothedRate-weight) <= weightDeadBand*weight || t.leader.elapsed-contact.weightChangedAt < minWeightInterval {
		return nil
	}
	contact.weightChangedAt = t.leader.elapsed
	m := memberReference(record.Member)
	m.Weight = uint32(min(max(math.Round(contact.smoothedRate), minWeight), maxWeight))
	return []cherviltide.MemberEvent{{Type: cherviltide.EventWeighed, Member: m}}
}

// historyRelease returns the event that drops the part of the placement history that an agent no longer needs, if any.
// Two announcements in a row to the same leader must confirm it, so that a flow that was being opened during the first
// one is counted in the second.
func (t *Tracker) historyRelease(contact *memberContact, record MemberRecord, a Announcement) []cherviltide.MemberEvent {
	oldest := min(a.OldestGeneration, a.Generation)
	if a.Generation > t.position { // The table is newer than this log, so it may come from a log that was lost.
		oldest = 0
	}
	confirmed := min(oldest, contact.previousOldest)
	contact.previousOldest = oldest
	table, ok := t.tables[record.Member.Service]
	if !ok || confirmed < t.logBase || confirmed == 0 {
		return nil
	}
	if contact.uselessRelease == confirmed && contact.uselessReleaseTable == table.Generation() {
		return nil
	}
	e := cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: memberReference(record.Member), Generation: confirmed}
	if table.WithEvent(t.position+1, e) == table {
		contact.uselessRelease, contact.uselessReleaseTable = confirmed, table.Generation()
		return nil
	}
	return []cherviltide.MemberEvent{e}
}
