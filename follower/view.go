// Package follower subscribes a process to configuration and membership, announces the process and renews its lease.
package follower

import (
	"maps"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// View is the state that a process decides with. It is immutable.
type View struct {
	Rules cherviltide.Rules
	// Base and Position are of the membership log that all tables include.
	Base     uint64
	Position uint64
	// Tables has one table for each service of the rules.
	Tables map[string]*picker.Table
	// ByAddress has the table of the service behind each virtual address.
	ByAddress map[netip.AddrPort]*picker.Table
	// Routes has the tables of each relayed route by its virtual address.
	Routes map[netip.AddrPort]*RouteTables
	// Key is the packet key of the membership log; it is zero until control has sent it.
	Key [16]byte
	// changed has the revision of the last change of each route's shares.
	changed map[netip.AddrPort]uint64
	// former has the services that routes had under earlier rules, as this process saw them or control remembers them.
	former []cherviltide.FormerServices
	// defined has the tables that control sent, also those of services that the rules do not have yet or any more.
	defined map[string]*picker.Table
	// text is the rules file at the revision received, which may be newer than Rules when it could not be parsed.
	text     string
	received uint64
}

// NewView returns a view without services.
func NewView() *View {
	return &View{Tables: map[string]*picker.Table{}, ByAddress: map[netip.AddrPort]*picker.Table{}}
}

// WithRules returns the view under newer rules. Older or equal rules leave it unchanged. A service whose table has not
// arrived yet has an empty one.
func (v *View) WithRules(rules cherviltide.Rules) *View {
	if rules.Revision <= v.Rules.Revision {
		return v
	}
	next := *v
	next.Rules = rules
	next.former = cherviltide.UpdateFormerServices(v.Rules.Routes, rules.Routes, rules.Former, v.former)
	next.changed = changes(v.changed, v.Rules, rules)
	next.received = max(v.received, rules.Revision)
	next.Tables = make(map[string]*picker.Table, len(rules.Services))
	for _, s := range rules.Services {
		table, ok := v.defined[s.Name]
		if !ok {
			table, ok = v.Tables[s.Name]
		}
		if !ok || table.Service().Buckets != min(s.Buckets, picker.MaxBuckets) {
			table = picker.New(s)
		}
		next.Tables[s.Name] = table.WithService(s)
	}
	next.index()
	return &next
}

// WithEvents returns the view after newer events. Events that the view includes already are skipped.
func (v *View) WithEvents(events []cherviltide.PositionedEvent) *View {
	next := *v
	next.Tables = maps.Clone(v.Tables)
	next.defined = maps.Clone(v.defined)
	for _, e := range events {
		if e.Position <= next.Position {
			continue
		}
		next.Position = e.Position
		next.apply(e)
	}
	next.index()
	return &next
}

// apply applies an event to the tables of its service, which the view owns.
func (v *View) apply(e cherviltide.PositionedEvent) {
	name := e.Event.Member.Service
	defined, sent := v.defined[name]
	if sent {
		v.defined[name] = defined.WithEvent(e.Position, e.Event)
	}
	table, ok := v.Tables[name]
	switch {
	case !ok:
	case sent && defined.Service().Buckets == table.Service().Buckets:
		v.Tables[name] = v.defined[name].WithService(table.Service())
	default:
		v.Tables[name] = table.WithEvent(e.Position, e.Event)
	}
}

// withTables returns the view with tables that control sent; all others are dropped on reset.
func (v *View) withTables(snapshots []messenger.TableSnapshot, reset bool) (*View, error) {
	next := *v
	next.Tables, next.defined = maps.Clone(v.Tables), maps.Clone(v.defined)
	if reset || next.defined == nil {
		next.defined = map[string]*picker.Table{}
	}
	if reset {
		next.Tables = map[string]*picker.Table{}
	}
	for _, s := range snapshots {
		delete(next.defined, s.Service)
		if len(s.Data) == 0 {
			continue
		}
		service := cherviltide.Service{Name: s.Service, ID: cherviltide.ServiceIDOf(s.Service), Buckets: s.Buckets}
		table, err := picker.Restore(service, s.Data)
		if err != nil {
			return nil, err
		}
		next.defined[s.Service] = table
	}
	for _, s := range v.Rules.Services {
		table, ok := next.defined[s.Name]
		switch {
		case ok && table.Service().Buckets == min(s.Buckets, picker.MaxBuckets):
			next.Tables[s.Name] = table.WithService(s)
		case next.Tables[s.Name] == nil:
			next.Tables[s.Name] = picker.New(s)
		}
	}
	next.index()
	return &next, nil
}

func (v *View) withPosition(base, position uint64) *View {
	if v.Base == base && v.Position == position {
		return v
	}
	next := *v
	next.Base, next.Position = base, position
	return &next
}

func (v *View) withText(revision uint64, text string) *View {
	next := *v
	next.received, next.text = revision, text
	return &next
}

func (v *View) index() {
	v.ByAddress = make(map[netip.AddrPort]*picker.Table, len(v.ByAddress))
	for _, s := range v.Rules.Services {
		for _, a := range s.Addresses {
			v.ByAddress[a] = v.Tables[s.Name]
		}
	}
	v.Routes = v.routes()
}
