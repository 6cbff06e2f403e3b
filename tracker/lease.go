package tracker

import (
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
)

// Times of leases, in milliseconds of the leader's own count.
const (
	// LeaseDuration is how long a member counts as alive after an announcement.
	LeaseDuration cherviltide.Millis = 5_000
	// SuspectAfter is how long a member may be silent before it receives no new flows.
	SuspectAfter cherviltide.Millis = 2_500
	// quietAfter is when a member counts towards a mass silence. It is more than one announcement interval below
	// SuspectAfter, so a mass silence is seen as a whole before its first member would be suspected.
	quietAfter cherviltide.Millis = 1_250
	// proposeAgain is how long an event may stay uncommitted before it is proposed again.
	proposeAgain cherviltide.Millis = 2_000
)

// Announcement is what a member says about itself.
type Announcement struct {
	Member         cherviltide.Member
	Leaving, Ended bool
	// Paused is true when the member takes no new flows for now.
	Paused bool
	// Rate is the measured service rate in thousandths of a nominal slot; 0 when it is not known.
	Rate uint32
	// Generation and OldestGeneration are as in the announcing agent's table; 0 when it has none.
	Generation, OldestGeneration uint64
}

// contact is what the leader knows about a member beside the log.
type contact struct {
	incarnation uint64
	heard       cherviltide.Millis
	// rate is the smoothed reported rate; 0 before the first report.
	rate    float64
	weighed cherviltide.Millis
	// oldest is the OldestGeneration of the previous announcement to this leader.
	oldest uint64
	// checked is the generation whose release was last found to change nothing, in the table checkedIn.
	checked, checkedIn uint64
}

// leases is the memory of a leader.
type leases struct {
	// now counts from 0 at the start of the leadership and never goes back; wall is the clock's last value.
	now, wall cherviltide.Millis
	contacts  map[string]*contact
	// proposed has the time of each member's event that is not committed yet.
	proposed map[string]cherviltide.Millis
	// expired has the times and groups of the members that this leader let die by silence.
	expired []expiry
	held    []string
	// maxStep is that of the limits.
	maxStep cherviltide.Millis
}

// StartLeadership starts a leadership: every member has a full lease from now on.
func (t *Tracker) StartLeadership(now cherviltide.Millis) {
	t.leases = &leases{wall: now, maxStep: t.limits.MaxStep, contacts: map[string]*contact{}, proposed: map[string]cherviltide.Millis{}}
}

// EndLeadership ends a leadership and forgets its leases.
func (t *Tracker) EndLeadership() {
	t.leases = nil
}

// IsLeader reports whether a leadership is running.
func (t *Tracker) IsLeader() bool {
	return t.leases != nil
}

// NewestIncarnation returns the newest known incarnation of a member and whether an announcement of m comes too late: a newer
// incarnation is known, or m is dead.
func (t *Tracker) NewestIncarnation(m cherviltide.Member) (uint64, bool) {
	known := t.incarnation(m.Name)
	_, alive := t.entries[m.Name]
	return known, known > m.Incarnation || (known == m.Incarnation && known > 0 && !alive)
}

// advance moves the count of time on by the clock's step, within bounds.
func (l *leases) advance(now cherviltide.Millis) {
	l.now += min(max(now-l.wall, 0), l.maxStep)
	l.wall = now
}

// contact returns the memory of a member; a member that is seen for the first time has a full lease.
func (l *leases) contact(m cherviltide.Member) *contact {
	c, ok := l.contacts[m.Name]
	if !ok || c.incarnation != m.Incarnation {
		c = &contact{incarnation: m.Incarnation, heard: l.now, weighed: l.now}
		l.contacts[m.Name] = c
	}
	return c
}

// propose returns the events unless one of the member is still waiting to be committed.
func (l *leases) propose(name string, events ...cherviltide.MemberEvent) []cherviltide.MemberEvent {
	if at, waits := l.proposed[name]; waits && l.now-at < proposeAgain {
		return nil
	}
	l.proposed[name] = l.now
	return events
}

// HandleAnnouncement records an announcement and returns the events to propose. It returns none unless this instance leads.
func (t *Tracker) HandleAnnouncement(now cherviltide.Millis, a Announcement) []cherviltide.MemberEvent {
	l := t.leases
	if l == nil || t.base == 0 {
		return nil
	}
	l.advance(now)
	if _, late := t.NewestIncarnation(a.Member); late {
		return nil
	}
	entry, known := t.entries[a.Member.Name]
	if !known || entry.Member.Incarnation < a.Member.Incarnation {
		return t.admit(a)
	}
	c := l.contact(a.Member)
	c.heard = l.now
	events := t.transition(entry, a)
	if len(events) == 0 {
		events = append(t.weigh(c, entry, a), t.release(c, entry, a)...)
	}
	if len(events) == 0 {
		return nil
	}
	return l.propose(a.Member.Name, events...)
}

// admit returns the events for a member that is not in the log. A process at the address of another member replaces it.
func (t *Tracker) admit(a Announcement) []cherviltide.MemberEvent {
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
		events = append(events, cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: brief(x.Member)})
	}
	events = append(events, cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: a.Member})
	return t.leases.propose(a.Member.Name, events...)
}

// transition returns the change of state that an announcement asks for.
func (t *Tracker) transition(entry MemberRecord, a Announcement) []cherviltide.MemberEvent {
	switch {
	case a.Ended:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventDied, Member: brief(entry.Member)}}
	case a.Leaving && entry.State != cherviltide.StateLeaving:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: brief(entry.Member)}}
	case a.Paused && entry.State == cherviltide.StateActive:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventSuspected, Member: brief(entry.Member)}}
	case !a.Leaving && !a.Paused && entry.State == cherviltide.StateSuspect:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventCleared, Member: brief(entry.Member)}}
	}
	return nil
}

// Tick returns the events for members that have been silent too long. It returns none unless this instance leads.
func (t *Tracker) Tick(now cherviltide.Millis) []cherviltide.MemberEvent {
	l := t.leases
	if l == nil || t.base == 0 {
		return nil
	}
	l.advance(now)
	entries := t.LiveMembers()
	static := t.survey(entries)
	var events []cherviltide.MemberEvent
	for _, entry := range entries {
		if static[group(entry.Member)] || static[everyone] {
			continue
		}
		events = append(events, l.judge(entry)...)
	}
	t.forget()
	return events
}

// judge returns the event for a member's silence.
func (l *leases) judge(entry MemberRecord) []cherviltide.MemberEvent {
	e := cherviltide.MemberEvent{Member: brief(entry.Member)}
	silent := l.now - l.contact(entry.Member).heard
	switch {
	case silent > LeaseDuration:
		e.Type = cherviltide.EventDied
	case silent > SuspectAfter && entry.State == cherviltide.StateActive:
		e.Type = cherviltide.EventSuspected
	default:
		return nil
	}
	events := l.propose(entry.Member.Name, e)
	if len(events) > 0 && e.Type == cherviltide.EventDied {
		l.expired = append(l.expired, expiry{at: l.now, name: entry.Member.Name, group: group(entry.Member)})
	}
	return events
}

// forget drops the memory of members that are not in the log.
func (t *Tracker) forget() {
	for name := range t.leases.contacts {
		if _, ok := t.entries[name]; !ok {
			delete(t.leases.contacts, name)
		}
	}
	for name, at := range t.leases.proposed {
		if t.leases.now-at >= proposeAgain {
			delete(t.leases.proposed, name)
		}
	}
}

// brief returns the part of a member that events other than Joined carry.
func brief(m cherviltide.Member) cherviltide.Member {
	return cherviltide.Member{Name: m.Name, Role: m.Role, Service: m.Service, Incarnation: m.Incarnation}
}

// HeldGroups returns the groups in which silent members are kept because too many are silent at once, in order.
func (t *Tracker) HeldGroups() []string {
	if t.leases == nil {
		return nil
	}
	return slices.Clone(t.leases.held)
}

func sortedKeys(set map[string]bool) []string {
	var list []string
	for name := range set {
		list = append(list, name)
	}
	slices.SortFunc(list, strings.Compare)
	return list
}
