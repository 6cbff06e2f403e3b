// Package follower subscribes a process to configuration and membership, announces the process and renews its lease.
package follower

import (
	"maps"
	"net/netip"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/messenger"
	"cherviltide.example/cherviltide/picker"
)

// View is the configuration and membership that a process uses for its decisions. It is immutable.
type View struct {
	Rules cherviltide.Rules
	// Base and Position are those of the membership log; all tables include the events up to Position.
	Base     uint64
	Position uint64
	// Tables has one table for each service of the rules.
	Tables map[string]*picker.Table
	// ByAddress has the table of the service behind each virtual address.
	ByAddress map[netip.AddrPort]*picker.Table
	// Routes has the tables of each relayed route by its virtual address.
	Routes map[netip.AddrPort]*RouteTables
	// Key is the packet key of the membership log; it is zero until it was received from control.
	Key [16]byte
	// routeRevisions has the revision that last changed each route's shares.
	routeRevisions map[netip.AddrPort]uint64
	// formerServices has the former services of the routes, from the rules that this process has seen and from control.
	formerServices []cherviltide.FormerServices
	// controlTables has the tables that control sent, including those of services that are not or no longer in the rules.
	controlTables map[string]*picker.Table
	// evacuated has the evacuated failure domains at Position, in the order of their names. All tables have them.
	evacuated []string
	// text is the rules file at receivedRevision, which is newer than Rules when the file could not be parsed.
	text             string
	receivedRevision uint64
}

// NewView returns a view without services.
func NewView() *View {
	return &View{Tables: map[string]*picker.Table{}, ByAddress: map[netip.AddrPort]*picker.Table{}}
}

// WithRules returns the view with newer rules. Older or equal rules leave it unchanged. A service whose table was not
// received yet gets an empty one.
func (v *View) WithRules(rules cherviltide.Rules) *View {
	if rules.Revision <= v.Rules.Revision {
		return v
	}
	next := *v
	next.Rules = rules
	next.formerServices = cherviltide.UpdateFormerServices(v.Rules.Routes, rules.Routes, rules.Former, v.formerServices)
	next.routeRevisions = updateRouteRevisions(v.routeRevisions, v.Rules, rules)
	next.receivedRevision = max(v.receivedRevision, rules.Revision)
	next.Tables = make(map[string]*picker.Table, len(rules.Services))
	for _, s := range rules.Services {
		table, ok := v.controlTables[s.Name]
		if !ok {
			table, ok = v.Tables[s.Name]
		}
		if !ok || table.Service().Buckets != min(s.Buckets, picker.MaxBuckets) {
			table = v.newTable(s)
		}
		next.Tables[s.Name] = table.WithService(s)
	}
	next.rebuildIndexes()
	return &next
}

// WithEvents returns the view after newer events. It skips events that the view already includes.
func (v *View) WithEvents(events []cherviltide.PositionedEvent) *View {
	next := *v
	next.Tables = maps.Clone(v.Tables)
	next.controlTables = maps.Clone(v.controlTables)
	for _, e := range events {
		if e.Position <= next.Position {
			continue
		}
		next.Position = e.Position
		next.applyEvent(e)
	}
	next.rebuildIndexes()
	return &next
}

// applyEvent applies an event to the tables of its service, or to all tables if it is about a failure domain. The maps of the
// view must not be shared with another view.
func (v *View) applyEvent(e cherviltide.PositionedEvent) {
	if !e.Event.Type.IsAboutDomain() {
		v.applyToService(e.Event.Member.Service, e)
		return
	}
	v.evacuated = picker.New(cherviltide.Service{}).WithEvacuated(v.evacuated).WithEvent(e.Position, e.Event).Evacuated()
	for name := range v.controlTables {
		if _, ok := v.Tables[name]; !ok {
			v.applyToService(name, e)
		}
	}
	for name := range v.Tables {
		v.applyToService(name, e)
	}
}

// applyToService applies an event to the tables of a service.
func (v *View) applyToService(name string, e cherviltide.PositionedEvent) {
	controlTable, sent := v.controlTables[name]
	if sent {
		v.controlTables[name] = controlTable.WithEvent(e.Position, e.Event)
	}
	table, ok := v.Tables[name]
	switch {
	case !ok:
	case sent && controlTable.Service().Buckets == table.Service().Buckets:
		v.Tables[name] = v.controlTables[name].WithService(table.Service())
	default:
		v.Tables[name] = table.WithEvent(e.Position, e.Event)
	}
}

// WithTables returns the view with tables that control sent. A snapshot without data removes the table of its service from
// controlTables. With reset all other tables are dropped, and evacuated are the evacuated failure domains.
func (v *View) WithTables(snapshots []messenger.TableSnapshot, reset bool, evacuated []string) (*View, error) {
	next := *v
	next.Tables, next.controlTables = maps.Clone(v.Tables), maps.Clone(v.controlTables)
	if reset || next.controlTables == nil {
		next.controlTables = map[string]*picker.Table{}
	}
	if reset {
		next.Tables, next.evacuated = map[string]*picker.Table{}, evacuated
	}
	for _, s := range snapshots {
		delete(next.controlTables, s.Service)
		if len(s.Data) == 0 {
			continue
		}
		service := cherviltide.Service{Name: s.Service, ID: cherviltide.ServiceIDOf(s.Service), Buckets: s.Buckets}
		table, err := picker.Restore(service, s.Data)
		if err != nil {
			return nil, err
		}
		next.controlTables[s.Service] = table
	}
	for _, s := range v.Rules.Services {
		table, ok := next.controlTables[s.Name]
		switch {
		case ok && table.Service().Buckets == min(s.Buckets, picker.MaxBuckets):
			next.Tables[s.Name] = table.WithService(s)
		case next.Tables[s.Name] == nil:
			next.Tables[s.Name] = next.newTable(s)
		}
	}
	next.rebuildIndexes()
	return &next, nil
}

// ServiceTable returns the table of a service, and false if there is none. A service that the rules do not define any more keeps the
// table that control sends: its targets still have open flows.
func (v *View) ServiceTable(name string) (*picker.Table, bool) {
	if table, ok := v.Tables[name]; ok {
		return table, true
	}
	table, ok := v.controlTables[name]
	return table, ok
}

// newTable returns an empty table of a service, with the evacuated failure domains.
func (v *View) newTable(s cherviltide.Service) *picker.Table {
	return picker.New(s).WithEvacuated(v.evacuated)
}

// Evacuated returns the evacuated failure domains in the order of their names. The caller must not change them.
func (v *View) Evacuated() []string {
	return v.evacuated
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
	next.receivedRevision, next.text = revision, text
	return &next
}

// rebuildIndexes computes ByAddress and Routes from the rules and tables.
func (v *View) rebuildIndexes() {
	v.ByAddress = make(map[netip.AddrPort]*picker.Table, len(v.ByAddress))
	for _, s := range v.Rules.Services {
		for _, a := range s.Addresses {
			v.ByAddress[a] = v.Tables[s.Name]
		}
	}
	v.Routes = v.routeTables()
}
