// Package follower subscribes a process to configuration and membership, announces the process and renews its lease.
package follower

import (
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// View is the state that a process decides with. It is immutable.
type View struct {
	Rules cherviltide.Rules
	// Position is the membership position that all tables include.
	Position uint64
	// Tables has one table for each service.
	Tables map[string]*picker.Table
	// ByAddress has the table of the service behind each virtual address.
	ByAddress map[netip.AddrPort]*picker.Table
	// events is the log since position 1; a service that is added later is built from it.
	events []cherviltide.PlacedEvent
}

// NewView returns a view without services.
func NewView() *View {
	return &View{Tables: map[string]*picker.Table{}, ByAddress: map[netip.AddrPort]*picker.Table{}}
}

// WithRules returns the view under newer rules. Older or equal rules leave it unchanged.
func (v *View) WithRules(rules cherviltide.Rules) *View {
	if rules.Revision <= v.Rules.Revision {
		return v
	}
	next := *v
	next.Rules = rules
	next.Tables = make(map[string]*picker.Table, len(rules.Services))
	for _, s := range rules.Services {
		old, ok := v.Tables[s.Name]
		if ok && old.Service().Buckets == s.Buckets {
			next.Tables[s.Name] = old
			continue
		}
		next.Tables[s.Name] = replay(picker.New(s), v.events)
	}
	next.index()
	return &next
}

// WithEvents returns the view after newer events. Events that the view includes already are skipped.
func (v *View) WithEvents(events []cherviltide.PlacedEvent) *View {
	next := *v
	next.Tables = make(map[string]*picker.Table, len(v.Tables))
	for name, t := range v.Tables {
		next.Tables[name] = t
	}
	for _, e := range events {
		if e.Position <= next.Position {
			continue
		}
		next.Position = e.Position
		next.events = append(next.events, e)
		if t, ok := next.Tables[e.Event.Member.Service]; ok {
			next.Tables[e.Event.Member.Service] = t.WithEvent(e.Position, e.Event)
		}
	}
	next.index()
	return &next
}

func (v *View) index() {
	v.ByAddress = make(map[netip.AddrPort]*picker.Table, len(v.ByAddress))
	for _, s := range v.Rules.Services {
		for _, a := range s.Addresses {
			v.ByAddress[a] = v.Tables[s.Name]
		}
	}
}

func replay(t *picker.Table, events []cherviltide.PlacedEvent) *picker.Table {
	for _, e := range events {
		t = t.WithEvent(e.Position, e.Event)
	}
	return t
}
