// Package tracker is the state machine of the membership log, and the leases that its leader keeps in memory.
package tracker

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
)

// Lease times.
const (
	// Lease is how long a member counts as alive after an announcement.
	Lease cherviltide.Millis = 5_000
	// SuspectAfter is how long a member may be silent before it receives no new flows.
	SuspectAfter cherviltide.Millis = 2_500
)

// Error is damaged membership state.
type Error struct{ cherviltide.Fault }

// Entry is a member with its state.
type Entry struct {
	Member cherviltide.Member
	State  cherviltide.MemberState
}

// Tracker holds the members and the log of their events. One goroutine uses it.
type Tracker struct {
	entries map[string]Entry
	events  []cherviltide.PlacedEvent
	// heard is when each member last announced itself, by this instance's clock.
	heard map[string]cherviltide.Millis
}

// New returns a tracker without members.
func New() *Tracker {
	return &Tracker{entries: map[string]Entry{}, heard: map[string]cherviltide.Millis{}}
}

// Encode returns the log entry of an event.
func Encode(e cherviltide.MemberEvent) ([]byte, error) {
	return cbor.Marshal(e)
}

// Apply applies a committed event.
func (t *Tracker) Apply(position uint64, entry []byte) {
	var e cherviltide.MemberEvent
	if err := cbor.Unmarshal(entry, &e); err != nil {
		return
	}
	t.events = append(t.events, cherviltide.PlacedEvent{Position: position, Event: e})
	current, known := t.entries[e.Member.Name]
	if e.Type == cherviltide.EventJoined {
		t.entries[e.Member.Name] = Entry{Member: e.Member, State: cherviltide.StateActive}
		return
	}
	if !known || current.Member.Incarnation != e.Member.Incarnation {
		return
	}
	t.entries[e.Member.Name] = current.with(e)
}

// with returns the entry after an event of its member.
func (x Entry) with(e cherviltide.MemberEvent) Entry {
	switch e.Type {
	case cherviltide.EventWeighed:
		x.Member.Weight = e.Member.Weight
	case cherviltide.EventSuspected:
		x.State = cherviltide.StateSuspect
	case cherviltide.EventCleared:
		x.State = cherviltide.StateActive
	case cherviltide.EventLeaving:
		x.State = cherviltide.StateLeaving
	case cherviltide.EventDied:
		x.State = cherviltide.StateDead
	}
	return x
}

// Announcement is what a member says about itself.
type Announcement struct {
	Member         cherviltide.Member
	Leaving, Ended bool
	// Generation and OldestGeneration are as in the announcing agent's table.
	Generation, OldestGeneration uint64
}

// Announce records an announcement and returns the events to propose.
func (t *Tracker) Announce(now cherviltide.Millis, a Announcement) []cherviltide.MemberEvent {
	m := a.Member
	entry, known := t.entries[m.Name]
	if known && entry.Member.Incarnation > m.Incarnation {
		return nil
	}
	t.heard[m.Name] = now
	if !known || entry.Member.Incarnation < m.Incarnation {
		if a.Ended {
			return nil
		}
		return []cherviltide.MemberEvent{{Type: cherviltide.EventJoined, Member: m}}
	}
	switch {
	case a.Ended && entry.State != cherviltide.StateDead:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventDied, Member: m}}
	case a.Leaving && entry.State != cherviltide.StateLeaving && entry.State != cherviltide.StateDead:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventLeaving, Member: m}}
	case !a.Leaving && entry.State == cherviltide.StateSuspect:
		return []cherviltide.MemberEvent{{Type: cherviltide.EventCleared, Member: m}}
	}
	return nil
}

// Tick returns the events for members that have been silent too long.
func (t *Tracker) Tick(now cherviltide.Millis) []cherviltide.MemberEvent {
	var events []cherviltide.MemberEvent
	for _, entry := range t.Entries() {
		name := entry.Member.Name
		if _, ok := t.heard[name]; !ok {
			t.heard[name] = now
		}
		silent := now - t.heard[name]
		switch {
		case entry.State == cherviltide.StateDead:
		case silent > Lease:
			events = append(events, cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: entry.Member})
		case silent > SuspectAfter && entry.State == cherviltide.StateActive:
			events = append(events, cherviltide.MemberEvent{Type: cherviltide.EventSuspected, Member: entry.Member})
		}
	}
	return events
}

// Entries returns the members in the order of their names.
func (t *Tracker) Entries() []Entry {
	list := make([]Entry, 0, len(t.entries))
	for _, e := range t.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return list
}

// Events returns the log. The caller must not change it.
func (t *Tracker) Events() []cherviltide.PlacedEvent {
	return t.events
}

// Snapshot returns the state in a form that Restore reads.
func (t *Tracker) Snapshot() ([]byte, error) {
	return cbor.Marshal(t.events)
}

// Restore replaces the state by a snapshot.
func (t *Tracker) Restore(_ uint64, snapshot []byte) error {
	var events []cherviltide.PlacedEvent
	if err := cbor.Unmarshal(snapshot, &events); err != nil {
		return &Error{cherviltide.Fault{Op: "tracker.Restore", Kind: cherviltide.KindDamaged, Err: err}}
	}
	*t = *New()
	for _, e := range events {
		entry, err := Encode(e.Event)
		if err != nil {
			return &Error{cherviltide.Fault{Op: "tracker.Restore", Kind: cherviltide.KindDamaged, Err: err}}
		}
		t.Apply(e.Position, entry)
	}
	return nil
}
