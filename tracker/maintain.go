package tracker

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// ReconcileTables returns the events that bootstrap the log, define the tables of the services in the rules, and remove
// tables that neither a rule nor a member needs. It returns none unless this instance leads.
func (t *Tracker) ReconcileTables(now cherviltide.Millis, services []cherviltide.Service) []cherviltide.MemberEvent {
	l := t.leader
	if l == nil {
		return nil
	}
	l.advanceTime(now)
	if t.logBase == 0 {
		return l.proposeUnlessPending("", NewFoundedEvent(now))
	}
	wanted := make(map[string]bool, len(services))
	var events []cherviltide.MemberEvent
	for _, s := range services {
		wanted[s.Name] = true
		if table, ok := t.tables[s.Name]; !ok || table.Service().Buckets != min(s.Buckets, picker.MaxBuckets) {
			events = append(events, l.proposeDefined(s.Name, s.Buckets)...)
		}
	}
	for _, x := range t.live {
		wanted[x.Member.Service] = true
	}
	for name := range t.tables {
		if !wanted[name] {
			events = append(events, l.proposeDefined(name, 0)...)
		}
	}
	return events
}

// proposeDefined returns the event that defines the table of a service, unless one is pending.
func (l *leaderState) proposeDefined(service string, buckets int) []cherviltide.MemberEvent {
	e := newDefinedEvent(service, buckets)
	return l.proposeUnlessPending(pendingKey(e), e)
}

// pendingKey returns the key under which a proposed event counts as pending.
func pendingKey(e cherviltide.MemberEvent) string {
	switch {
	case e.Type == cherviltide.EventDefined:
		return "Service " + e.Member.Service
	case e.Type.IsAboutDomain():
		return "FailureDomain " + e.Member.FailureDomain
	}
	return e.Member.Name
}

func newDefinedEvent(service string, buckets int) cherviltide.MemberEvent {
	return cherviltide.MemberEvent{
		Type: cherviltide.EventDefined, Member: cherviltide.Member{Service: service}, Buckets: buckets,
	}
}

// IsAlive reports whether this incarnation of a member is in the log and not dead.
func (t *Tracker) IsAlive(m cherviltide.Member) bool {
	record, ok := t.live[m.Name]
	return ok && record.Member.Incarnation == m.Incarnation
}
