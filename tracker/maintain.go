package tracker

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// ReconcileTables returns the events that found the log and give each service of the rules its table. It returns none unless
// this instance leads.
func (t *Tracker) ReconcileTables(now cherviltide.Millis, services []cherviltide.Service) []cherviltide.MemberEvent {
	l := t.leases
	if l == nil {
		return nil
	}
	l.advance(now)
	if t.base == 0 {
		return l.propose("", NewFoundedEvent(now))
	}
	wanted := make(map[string]bool, len(services))
	var events []cherviltide.MemberEvent
	for _, s := range services {
		wanted[s.Name] = true
		if table, ok := t.tables[s.Name]; !ok || table.Service().Buckets != min(s.Buckets, picker.MaxBuckets) {
			events = append(events, l.propose("Service "+s.Name, defined(s.Name, s.Buckets))...)
		}
	}
	for _, x := range t.entries {
		wanted[x.Member.Service] = true
	}
	for name := range t.tables {
		if !wanted[name] {
			events = append(events, l.propose("Service "+name, defined(name, 0))...)
		}
	}
	return events
}

func defined(service string, buckets int) cherviltide.MemberEvent {
	return cherviltide.MemberEvent{
		Type: cherviltide.EventDefined, Member: cherviltide.Member{Service: service}, Buckets: buckets,
	}
}

// IsAlive reports whether this incarnation of a member is in the log and not dead.
func (t *Tracker) IsAlive(m cherviltide.Member) bool {
	entry, ok := t.entries[m.Name]
	return ok && entry.Member.Incarnation == m.Incarnation
}
