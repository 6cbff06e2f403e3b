package tracker

import (
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
)

// Times of leases, measured by the leader.
const (
	// LeaseDuration is how long a member counts as alive after an announcement.
	LeaseDuration cherviltide.Millis = 5_000
	// SuspectAfter is the time without an announcement after which a member receives no new flows.
	SuspectAfter cherviltide.Millis = 2_500
	// massSilenceAfter is the time without an announcement after which a member counts as silent when groups to hold are
	// determined. It is more than one announcement interval below SuspectAfter, so a mass silence is recognized before its
	// first member would be suspected.
	massSilenceAfter cherviltide.Millis = 1_250
	// proposalTimeout is how long an event may stay uncommitted before it is proposed again.
	proposalTimeout cherviltide.Millis = 2_000
)

// Announcement is what a member reports about itself.
type Announcement struct {
	Member         cherviltide.Member
	Leaving, Ended bool
	// Paused is true if the member takes no new flows for now.
	Paused bool
	// Rate is the measured service rate in thousandths of a nominal slot; 0 if it is not known.
	Rate uint32
	// Generation is the generation of the announcing agent's table, and OldestGeneration the lowest one at which it opened
	// a flow that it still holds, or Generation if it holds no flow. Both are 0 if it has no table.
	Generation, OldestGeneration uint64
}

// memberContact is what the leader keeps about a member in memory only.
type memberContact struct {
	incarnation      uint64
	lastAnnouncement cherviltide.Millis
	// smoothedRate is the smoothed reported rate; 0 before the first report.
	smoothedRate    float64
	weightChangedAt cherviltide.Millis
	// previousOldest is the OldestGeneration of the previous announcement to this leader.
	previousOldest uint64
	// uselessRelease is the generation whose release was last found to change nothing, in the table of generation
	// uselessReleaseTable.
	uselessRelease, uselessReleaseTable uint64
}

// leaderState is what the leader keeps in memory only.
type leaderState struct {
	// elapsed is the leader's time. It starts at 0 with its leadership and never goes back; lastClock is the last clock
	// time.
	elapsed, lastClock cherviltide.Millis
	contacts           map[string]*memberContact
	// pendingProposals has the time of the last proposed event that is not committed yet, by the name of its member. The key
	// is "Service " and the service's name for a definition of its table, and empty for the first event of the log. Orders about
	// failure domains are never held back, because each of them must be committed.
	pendingProposals map[string]cherviltide.Millis
	// recentDeaths has the deaths by an expired lease that this leader proposed within deathWindow.
	recentDeaths []leaseDeath
	heldGroups   []string
	// maxClockStep is Limits.MaxClockStep.
	maxClockStep cherviltide.Millis
}

// StartLeadership starts a leadership: every member has a full lease from now on.
func (t *Tracker) StartLeadership(now cherviltide.Millis) {
	t.leader = &leaderState{lastClock: now, maxClockStep: t.limits.MaxClockStep, contacts: map[string]*memberContact{}, pendingProposals: map[string]cherviltide.Millis{}}
}

// EndLeadership ends a leadership and drops its leases.
func (t *Tracker) EndLeadership() {
	t.leader = nil
}

// IsLeader reports whether this instance leads the membership group.
func (t *Tracker) IsLeader() bool {
	return t.leader != nil
}

// NewestIncarnation returns the newest known incarnation of a member, and whether an announcement of m is outdated: a
// newer incarnation is known, or m is dead.
func (t *Tracker) NewestIncarnation(m cherviltide.Member) (uint64, bool) {
	newest := t.knownIncarnation(m.Name)
	_, alive := t.live[m.Name]
	return newest, newest > m.Incarnation || (newest == m.Incarnation && newest > 0 && !alive)
}

// advanceTime advances the leader's time by the step of the clock, limited to between 0 and maxClockStep.
func (l *leaderState) advanceTime(now cherviltide.Millis) {
	l.elapsed += min(max(now-l.lastClock, 0), l.maxClockStep)
	l.lastClock = now
}

// contactOf returns what is known about a member; a member that this leader sees for the first time gets a full lease.
func (l *leaderState) contactOf(m cherviltide.Member) *memberContact {
	c, ok := l.contacts[m.Name]
	if !ok || c.incarnation != m.Incarnation {
		c = &memberContact{incarnation: m.Incarnation, lastAnnouncement: l.elapsed, weightChangedAt: l.elapsed}
		l.contacts[m.Name] = c
	}
	return c
}

// proposeUnlessPending returns the events, or none if an event of the member is not committed yet.
func (l *leaderState) proposeUnlessPending(name string, events ...cherviltide.MemberEvent) []cherviltide.MemberEvent {
	if proposedAt, pending := l.pendingProposals[name]; pending && l.elapsed-proposedAt < proposalTimeout {
		return nil
	}
	l.pendingProposals[name] = l.elapsed
	return events
}

// HandleAnnouncement records an announcement and returns the events to propose. It returns none unless this instance
// leads.
func (t *Tracker) HandleAnnouncement(now cherviltide.Millis, a Announcement) []cherviltide.MemberEvent {
	l := t.leader
	if l == nil || t.logBase == 0 {
		return nil
	}
	l.advanceTime(now)
	if _, outdated := t.NewestIncarnation(a.Member); outdated {
		return nil
	}
	record, known := t.live[a.Member.Name]
	if !known || record.Member.Incarnation < a.Member.Incarnation {
		return t.eventsForNewMember(a)
	}
	contact := l.contactOf(a.Member)
	contact.lastAnnouncement = l.elapsed
	events := t.stateChange(record, a)
	if len(events) == 0 {
		events = append(t.weightChange(contact, record, a), t.historyRelease(contact, record, a)...)
	}
	if len(events) == 0 {
		return nil
	}
	return l.proposeUnlessPending(a.Member.Name, events...)
}

// eventsForNewMember returns the events that add a member. A process with the address of another member replaces it.
func (t *Tracker) eventsForNewMember(a Announcement) []cherviltide.MemberEvent {
	if a.Ended || a.Leaving {
		return nil
	}
	var events []cherviltide.MemberEvent
	for _, x := range t.LiveMembers() {
		if x.Member.Name == a.Member.Name || x.Member.Address != a.Member.Address || !a.Member.Address.IsValid() {
			continue
		}
		if x.Member.Incarnation > a.Member.Incarnation {
			return nil
		}
		events = append(events, cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: memberReference(x.Member)})
	}
	events = append(events, cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: a.Member})
	return t.leader.proposeUnlessPending(a.Member.Name, events...)
}

// stateChange returns the event for the change of state that an announcement implies, if any.
func (t *Tracker) stateChange(record MemberRecord, a Announcement) []cherviltide.MemberEvent {
	switch {
	case a.Ended:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventDied, Member: memberReference(record.Member)}}
	case a.Leaving && record.State != cherviltide.StateLeaving:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: memberReference(record.Member)}}
	case a.Paused && record.State == cherviltide.StateActive:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventSuspected, Member: memberReference(record.Member)}}
	case !a.Leaving && !a.Paused && record.State == cherviltide.StateSuspect:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventCleared, Member: memberReference(record.Member)}}
	}
	return nil
}

// Tick returns the events for members whose last announcement is too old. It returns none unless this instance leads.
func (t *Tracker) Tick(now cherviltide.Millis) []cherviltide.MemberEvent {
	l := t.leader
	if l == nil || t.logBase == 0 {
		return nil
	}
	l.advanceTime(now)
	members := t.LiveMembers()
	held := t.updateHeldGroups(members)
	var events []cherviltide.MemberEvent
	for _, record := range members {
		if held[groupOf(record.Member)] || held[allMembers] {
			continue
		}
		events = append(events, l.checkLease(record)...)
	}
	t.pruneLeaderState()
	return events
}

// checkLease returns the event for a member whose last announcement is too old, if any.
func (l *leaderState) checkLease(record MemberRecord) []cherviltide.MemberEvent {
	e := cherviltide.MemberEvent{Member: memberReference(record.Member)}
	silence := l.elapsed - l.contactOf(record.Member).lastAnnouncement
	switch {
	case silence > LeaseDuration:
		e.Type = cherviltide.EventDied
	case silence > SuspectAfter && record.State == cherviltide.StateActive:
		e.Type = cherviltide.EventSuspected
	default:
		return nil
	}
	events := l.proposeUnlessPending(record.Member.Name, e)
	if len(events) > 0 && e.Type == cherviltide.EventDied {
		l.recentDeaths = append(l.recentDeaths, leaseDeath{at: l.elapsed, name: record.Member.Name, group: groupOf(record.Member)})
	}
	return events
}

// pruneLeaderState drops contacts of members that are not live, and proposals that timed out.
func (t *Tracker) pruneLeaderState() {
	for name := range t.leader.contacts {
		if _, ok := t.live[name]; !ok {
			delete(t.leader.contacts, name)
		}
	}
	for name, proposedAt := range t.leader.pendingProposals {
		if t.leader.elapsed-proposedAt >= proposalTimeout {
			delete(t.leader.pendingProposals, name)
		}
	}
}

// memberReference returns the fields of a member that events other than Joined have.
func memberReference(m cherviltide.Member) cherviltide.Member {
	return cherviltide.Member{Name: m.Name, Role: m.Role, Service: m.Service, Incarnation: m.Incarnation}
}

// HeldGroups returns the groups whose members are kept because too many are silent at once (fail static), sorted.
func (t *Tracker) HeldGroups() []string {
	if t.leader == nil {
		return nil
	}
	return slices.Clone(t.leader.heldGroups)
}

func sortedKeys(set map[string]bool) []string {
	var list []string
	for name := range set {
		list = append(list, name)
	}
	slices.SortFunc(list, strings.Compare)
	return list
}
