// Package tracker is the state machine of the membership log, with the leases of the members that the leader keeps in
// memory.
package tracker

import (
	"cmp"
	"crypto/rand"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// Bounds of the state.
const (
	// maxFollowerEvents is the number of newest events that are always kept for followers that lag; followers that miss
	// events that were dropped need a snapshot.
	maxFollowerEvents = 4096
	// maxTombstones is how many dead members have a tombstone, which makes late announcements of them ineffective.
	maxTombstones = 4096
	// packetKeySize is the size of a packet key, in bytes.
	packetKeySize = 16
)

// Error is a snapshot of the membership that cannot be decoded.
type Error struct{ cherviltide.Fault }

// MemberRecord is a member with its state.
type MemberRecord struct {
	Member cherviltide.Member
	State  cherviltide.MemberState
}

// tombstone is the record of a dead member.
type tombstone struct {
	Member   cherviltide.Member
	Position uint64
}

// Tracker holds the members, the placement tables of the services and the newest events. It is not safe for concurrent
// use.
type Tracker struct {
	limits Limits
	// logBase is added to the index of an entry in the log to get its position; it is 0 until the log is bootstrapped.
	logBase uint64
	// packetKey is the packet key from the first event of the log.
	packetKey []byte
	position  uint64
	// eventsSince is a position after which all events are in events.
	eventsSince uint64
	// live has the members that are not dead, by name.
	live       map[string]MemberRecord
	tombstones map[string]tombstone
	// evacuations has the evacuated failure domains, by name. The tables have the same domains.
	evacuations map[string]Evacuation
	// events has at most 2*maxFollowerEvents events; older ones are contained in tables and live only.
	events []cherviltide.PositionedEvent
	tables map[string]*picker.Table
	// leader is nil unless this instance leads the membership group.
	leader *leaderState
}

// New returns a tracker without members and with the default limits.
func New() *Tracker {
	return NewWithLimits(DefaultLimits)
}

// NewWithLimits returns a tracker without members.
func NewWithLimits(limits Limits) *Tracker {
	return &Tracker{
		limits: limits, live: map[string]MemberRecord{}, tombstones: map[string]tombstone{},
		evacuations: map[string]Evacuation{}, tables: map[string]*picker.Table{},
	}
}

// Encode returns the log entry of an event.
func Encode(e cherviltide.MemberEvent) ([]byte, error) {
	return cbor.Marshal(e)
}

// NewFoundedEvent returns the first event of a log that is bootstrapped at the given time since the Unix epoch. All
// positions of the log are above those of a log that was bootstrapped at least a millisecond earlier and has had fewer
// than 65,536 events for each millisecond since. The event has a new packet key for entries and agents whose settings
// have none.
func NewFoundedEvent(now cherviltide.Millis) cherviltide.MemberEvent {
	key := make([]byte, packetKeySize)
	_, _ = rand.Read(key) // It never fails.
	return cherviltide.MemberEvent{Type: cherviltide.EventFounded, Generation: uint64(now) << 16, Key: key}
}

// Apply applies the committed entry with the given index in the log. Entries that do not fit the state change nothing.
func (t *Tracker) Apply(index uint64, entry []byte) {
	var e cherviltide.MemberEvent
	if err := cbor.Unmarshal(entry, &e); err != nil {
		return
	}
	if e.Type == cherviltide.EventFounded && t.logBase == 0 {
		t.logBase, t.eventsSince, t.packetKey = e.Generation, e.Generation, e.Key
	}
	if t.logBase == 0 {
		return
	}
	t.position = t.logBase + index
	if t.leader != nil {
		delete(t.leader.pendingProposals, pendingKey(e))
	}
	if !t.applyToMembers(e) {
		return
	}
	t.appendEvent(cherviltide.PositionedEvent{Position: t.position, Event: e})
	if e.Type.IsAboutDomain() {
		for name, table := range t.tables {
			t.tables[name] = table.WithEvent(t.position, e)
		}
		return
	}
	if table, ok := t.tables[e.Member.Service]; ok {
		t.tables[e.Member.Service] = table.WithEvent(t.position, e)
	}
}

// applyToMembers applies an event to the members, and reports false if the event does not fit their state.
func (t *Tracker) applyToMembers(e cherviltide.MemberEvent) bool {
	switch e.Type {
	case cherviltide.EventFounded:
		return false
	case cherviltide.EventDefined:
		return t.defineTable(e)
	case cherviltide.EventJoined:
		return t.join(e.Member)
	case cherviltide.EventEvacuated:
		return t.evacuate(e)
	case cherviltide.EventRestored:
		return t.restoreDomain(e.Member.FailureDomain)
	}
	current, known := t.live[e.Member.Name]
	if !known || current.Member.Incarnation != e.Member.Incarnation {
		return false
	}
	next, applies := current.afterEvent(e)
	if next.State == cherviltide.StateDead {
		t.recordDeath(e.Member)
	} else {
		t.live[e.Member.Name] = next
	}
	return applies
}

// join adds a member unless the same or a newer incarnation is known.
func (t *Tracker) join(m cherviltide.Member) bool {
	if m.Incarnation <= t.knownIncarnation(m.Name) {
		return false
	}
	delete(t.tombstones, m.Name)
	t.live[m.Name] = MemberRecord{Member: m, State: cherviltide.StateActive}
	return true
}

// knownIncarnation returns the newest known incarnation of a member, dead or alive, or 0.
func (t *Tracker) knownIncarnation(name string) uint64 {
	return max(t.live[name].Member.Incarnation, t.tombstones[name].Member.Incarnation)
}

// recordDeath replaces a member by a tombstone, and drops the oldest tombstone if there are too many.
func (t *Tracker) recordDeath(m cherviltide.Member) {
	t.tombstones[m.Name] = tombstone{Member: t.live[m.Name].Member, Position: t.position}
	delete(t.live, m.Name)
	if len(t.tombstones) <= maxTombstones {
		return
	}
	var oldest string
	for name, x := range t.tombstones {
		if oldest == "" || x.Position < t.tombstones[oldest].Position {
			oldest = name
		}
	}
	delete(t.tombstones, oldest)
}

// defineTable creates the table of a service from its current members, so that every instance computes the same table,
// or removes it. It reports false if the service already has this table.
func (t *Tracker) defineTable(e cherviltide.MemberEvent) bool {
	name := e.Member.Service
	if e.Buckets <= 0 {
		delete(t.tables, name)
		return true
	}
	if old, ok := t.tables[name]; ok && old.Service().Buckets == min(e.Buckets, picker.MaxBuckets) {
		return false
	}
	table := picker.New(newService(name, e.Buckets)).WithEvacuated(t.EvacuatedDomains())
	for _, x := range t.LiveMembers() {
		for _, event := range x.replayEvents() {
			table = table.WithEvent(t.position, event)
		}
	}
	t.tables[name] = table
	return true
}

// replayEvents returns the events that bring a new table to the state of the member.
func (x MemberRecord) replayEvents() []cherviltide.MemberEvent {
	list := []cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: x.Member}}
	switch x.State {
	case cherviltide.StateSuspect:
		list = append(list, cherviltide.MemberEvent{Type: cherviltide.EventSuspected, Member: x.Member})
	case cherviltide.StateLeaving:
		list = append(list, cherviltide.MemberEvent{Type: cherviltide.EventLeaving, Member: x.Member})
	}
	return list
}

// afterEvent returns the record after an event of its member, and false if the event does not fit the state of the
// member.
func (x MemberRecord) afterEvent(e cherviltide.MemberEvent) (MemberRecord, bool) {
	before := x.State
	switch e.Type {
	case cherviltide.EventWeighed:
		applies := x.Member.Weight != e.Member.Weight
		x.Member.Weight = e.Member.Weight
		return x, applies
	case cherviltide.EventReleased:
		return x, true
	case cherviltide.EventSuspected:
		if before == cherviltide.StateActive {
			x.State = cherviltide.StateSuspect
		}
	case cherviltide.EventCleared:
		if before == cherviltide.StateSuspect {
			x.State = cherviltide.StateActive
		}
	case cherviltide.EventLeaving:
		x.State = cherviltide.StateLeaving
	case cherviltide.EventDied:
		x.State = cherviltide.StateDead
	}
	return x, x.State != before
}

// appendEvent appends an event and drops the older half if there are too many. Slices that were returned before do not
// change.
func (t *Tracker) appendEvent(e cherviltide.PositionedEvent) {
	if len(t.events) >= 2*maxFollowerEvents {
		t.eventsSince = t.events[maxFollowerEvents-1].Position
		t.events = slices.Clone(t.events[maxFollowerEvents:])
	}
	t.events = append(t.events, e)
}

// Position returns the position of the newest applied entry; it is 0 before the log is bootstrapped.
func (t *Tracker) Position() uint64 {
	return t.position
}

// LiveMembers returns the members that are not dead, sorted by name.
func (t *Tracker) LiveMembers() []MemberRecord {
	list := slices.Collect(maps.Values(t.live))
	slices.SortFunc(list, func(a, b MemberRecord) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return list
}

// RecentlyDead returns at most limit dead members, most recent deaths first.
func (t *Tracker) RecentlyDead(limit int) []MemberRecord {
	list := slices.Collect(maps.Values(t.tombstones))
	slices.SortFunc(list, func(a, b tombstone) int { return cmp.Compare(b.Position, a.Position) })
	var dead []MemberRecord
	for _, x := range list[:min(limit, len(list))] {
		dead = append(dead, MemberRecord{Member: x.Member, State: cherviltide.StateDead})
	}
	return dead
}

// Base returns the base of the log, which is added to the index of an entry to get its position; it is 0 before the log
// is bootstrapped.
func (t *Tracker) Base() uint64 {
	return t.logBase
}

// PacketKey returns the packet key of the log; it is empty before the log is bootstrapped. The caller must not change
// it.
func (t *Tracker) PacketKey() []byte {
	return t.packetKey
}

// Events returns the newest events and a position after which none is missing. The caller must not change them.
func (t *Tracker) Events() (events []cherviltide.PositionedEvent, oldest uint64) {
	return t.events, t.eventsSince
}

// Tables returns the table of each defined service. The caller may change the map.
func (t *Tracker) Tables() map[string]*picker.Table {
	return maps.Clone(t.tables)
}
