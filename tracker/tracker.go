// Package tracker is the state machine of the membership log, and the leases that its leader keeps in memory.
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
	// eventLimit is how many events are kept for followers that lag; those further behind need a snapshot.
	eventLimit = 4096
	// graveLimit is how many dead members are remembered, so that late announcements of theirs change nothing.
	graveLimit = 4096
	// keySize is the size of a packet key, in bytes.
	keySize = 16
)

// Error is damaged membership state.
type Error struct{ cherviltide.Fault }

// MemberRecord is a member with its state.
type MemberRecord struct {
	Member cherviltide.Member
	State  cherviltide.MemberState
}

// grave remembers a dead member.
type grave struct {
	Member   cherviltide.Member
	Position uint64
}

// Tracker holds the members, the tables of the services and the newest events. One goroutine uses it.
type Tracker struct {
	limits Limits
	// base is 0 until the log is founded.
	base uint64
	// key is the packet key that the founder of the log made.
	key      []byte
	position uint64
	// oldest is a position after which all events are in events.
	oldest uint64
	// entries has no dead members.
	entries map[string]MemberRecord
	graves  map[string]grave
	// events has at most 2*eventLimit events; older ones are in tables and entries only.
	events []cherviltide.PositionedEvent
	tables map[string]*picker.Table
	// leases is nil unless this instance leads the membership group.
	leases *leases
}

// New returns a tracker without members and with the default limits.
func New() *Tracker {
	return WithLimits(DefaultLimits)
}

// WithLimits returns a tracker without members.
func WithLimits(limits Limits) *Tracker {
	return &Tracker{limits: limits, entries: map[string]MemberRecord{}, graves: map[string]grave{}, tables: map[string]*picker.Table{}}
}

// Encode returns the log entry of an event.
func Encode(e cherviltide.MemberEvent) ([]byte, error) {
	return cbor.Marshal(e)
}

// NewFoundedEvent returns the first event of a log that starts at the given time since the Unix epoch. Positions of the log are
// above all positions of a log that was founded a millisecond earlier and has had fewer than 65,536 events for each
// millisecond since. The event carries a new packet key for entries and agents whose settings have none.
func NewFoundedEvent(now cherviltide.Millis) cherviltide.MemberEvent {
	key := make([]byte, keySize)
	_, _ = rand.Read(key) // It never fails.
	return cherviltide.MemberEvent{Type: cherviltide.EventFounded, Generation: uint64(now) << 16, Key: key}
}

// Apply applies the committed entry with the given index in the log. Entries that do not fit the state change nothing.
func (t *Tracker) Apply(index uint64, entry []byte) {
	var e cherviltide.MemberEvent
	if err := cbor.Unmarshal(entry, &e); err != nil {
		return
	}
	if e.Type == cherviltide.EventFounded && t.base == 0 {
		t.base, t.oldest, t.key = e.Generation, e.Generation, e.Key
	}
	if t.base == 0 {
		return
	}
	t.position = t.base + index
	if t.leases != nil {
		delete(t.leases.proposed, e.Member.Name)
	}
	if !t.change(e) {
		return
	}
	t.retain(cherviltide.PositionedEvent{Position: t.position, Event: e})
	if table, ok := t.tables[e.Member.Service]; ok {
		t.tables[e.Member.Service] = table.WithEvent(t.position, e)
	}
}

// change applies an event to the members and reports whether it fits them.
func (t *Tracker) change(e cherviltide.MemberEvent) bool {
	switch e.Type {
	case cherviltide.EventFounded:
		return false
	case cherviltide.EventDefined:
		return t.define(e)
	case cherviltide.EventJoined:
		return t.join(e.Member)
	}
	current, known := t.entries[e.Member.Name]
	if !known || current.Member.Incarnation != e.Member.Incarnation {
		return false
	}
	next, fits := current.with(e)
	if next.State == cherviltide.StateDead {
		t.bury(e.Member)
	} else {
		t.entries[e.Member.Name] = next
	}
	return fits
}

// join adds a member unless the same or a newer incarnation is known.
func (t *Tracker) join(m cherviltide.Member) bool {
	if m.Incarnation <= t.incarnation(m.Name) {
		return false
	}
	delete(t.graves, m.Name)
	t.entries[m.Name] = MemberRecord{Member: m, State: cherviltide.StateActive}
	return true
}

// incarnation returns the newest known incarnation of a member, dead or alive, or 0.
func (t *Tracker) incarnation(name string) uint64 {
	return max(t.entries[name].Member.Incarnation, t.graves[name].Member.Incarnation)
}

// bury moves a member to the dead and forgets the member that died first when there are too many.
func (t *Tracker) bury(m cherviltide.Member) {
	t.graves[m.Name] = grave{Member: t.entries[m.Name].Member, Position: t.position}
	delete(t.entries, m.Name)
	if len(t.graves) <= graveLimit {
		return
	}
	var oldest string
	for name, g := range t.graves {
		if oldest == "" || g.Position < t.graves[oldest].Position {
			oldest = name
		}
	}
	delete(t.graves, oldest)
}

// define starts the table of a service from its present members, so every instance derives the same table. It reports
// whether the table is new.
func (t *Tracker) define(e cherviltide.MemberEvent) bool {
	name := e.Member.Service
	if e.Buckets <= 0 {
		delete(t.tables, name)
		return true
	}
	if old, ok := t.tables[name]; ok && old.Service().Buckets == min(e.Buckets, picker.MaxBuckets) {
		return false
	}
	table := picker.New(newService(name, e.Buckets))
	for _, x := range t.LiveMembers() {
		for _, event := range x.events() {
			table = table.WithEvent(t.position, event)
		}
	}
	t.tables[name] = table
	return true
}

// events returns the events that lead a new table to the entry's state.
func (x MemberRecord) events() []cherviltide.MemberEvent {
	list := []cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: x.Member}}
	switch x.State {
	case cherviltide.StateSuspect:
		list = append(list, cherviltide.MemberEvent{Type: cherviltide.EventSuspected, Member: x.Member})
	case cherviltide.StateLeaving:
		list = append(list, cherviltide.MemberEvent{Type: cherviltide.EventLeaving, Member: x.Member})
	}
	return list
}

// with returns the entry after an event of its member, and false when the event does not fit the state.
func (x MemberRecord) with(e cherviltide.MemberEvent) (MemberRecord, bool) {
	before := x.State
	switch e.Type {
	case cherviltide.EventWeighed:
		fits := x.Member.Weight != e.Member.Weight
		x.Member.Weight = e.Member.Weight
		return x, fits
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

// retain appends an event and drops the older half when there are too many. Published slices stay as they are.
func (t *Tracker) retain(e cherviltide.PositionedEvent) {
	if len(t.events) >= 2*eventLimit {
		t.oldest = t.events[eventLimit-1].Position
		t.events = slices.Clone(t.events[eventLimit:])
	}
	t.events = append(t.events, e)
}

// Position returns the position of the newest applied entry; it is 0 before the log is founded.
func (t *Tracker) Position() uint64 {
	return t.position
}

// LiveMembers returns the members that are not dead in the order of their names.
func (t *Tracker) LiveMembers() []MemberRecord {
	list := slices.Collect(maps.Values(t.entries))
	slices.SortFunc(list, func(a, b MemberRecord) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return list
}

// RecentlyDead returns at most limit dead members, those that died last first.
func (t *Tracker) RecentlyDead(limit int) []MemberRecord {
	list := slices.Collect(maps.Values(t.graves))
	slices.SortFunc(list, func(a, b grave) int { return cmp.Compare(b.Position, a.Position) })
	var dead []MemberRecord
	for _, g := range list[:min(limit, len(list))] {
		dead = append(dead, MemberRecord{Member: g.Member, State: cherviltide.StateDead})
	}
	return dead
}

// Base returns the base of the log; it is 0 before the log is founded.
func (t *Tracker) Base() uint64 {
	return t.base
}

// PacketKey returns the packet key of the log; it is empty before the log is founded. The caller must not change it.
func (t *Tracker) PacketKey() []byte {
	return t.key
}

// Events returns the newest events and a position after which none is missing. The caller must not change them.
func (t *Tracker) Events() (events []cherviltide.PositionedEvent, oldest uint64) {
	return t.events, t.oldest
}

// Tables returns the table of each defined service. The caller owns the map.
func (t *Tracker) Tables() map[string]*picker.Table {
	return maps.Clone(t.tables)
}
