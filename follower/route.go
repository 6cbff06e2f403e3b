package follower

import (
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

// RouteTables has the tables of the services that may hold flows of a route. It is immutable.
type RouteTables struct {
	Route cherviltide.Route
	// RouteRevision is the revision that last changed the shares of the route, as far as this process has seen.
	RouteRevision uint64
	// tables has the tables of the route's shares in their order, then those of the former services, newest first. A table is
	// nil when its service is not known.
	tables      []*picker.Table
	totalWeight uint64
}

// Pick returns the table of the service that takes a new flow with the given hash, and false when there is none.
func (r *RouteTables) Pick(hash uint64) (*picker.Table, bool) {
	i := r.shareIndex(hash)
	if i < 0 || r.tables[i] == nil {
		return nil, false
	}
	return r.tables[i], true
}

// shareIndex returns the index of the share that a hash selects, or -1. It uses other bits of the hash than the tables do.
func (r *RouteTables) shareIndex(hash uint64) int {
	if r.totalWeight == 0 {
		return -1
	}
	at := (hash >> 32) % r.totalWeight
	for i, s := range r.Route.Shares {
		if at < uint64(s.Weight) {
			return i
		}
		at -= uint64(s.Weight)
	}
	return -1
}

// ServiceCount returns the number of services that may hold a flow of the route.
func (r *RouteTables) ServiceCount() int {
	return len(r.tables)
}

// TableAt returns the table to try at a service index: index 0 is the service that takes the flow under the present rules,
// the others follow. The others are tried because a change of the rules does not move open flows.
func (r *RouteTables) TableAt(hash uint64, index int) (*picker.Table, bool) {
	first := max(r.shareIndex(hash), 0)
	i := index
	switch {
	case index == 0:
		i = first
	case index <= first:
		i = index - 1
	}
	if i >= len(r.tables) || r.tables[i] == nil {
		return nil, false
	}
	return r.tables[i], true
}

// AcceptsNewFlows reports whether new flows of the route may go to a service.
func (r *RouteTables) AcceptsNewFlows(service string) bool {
	return slices.ContainsFunc(r.Route.Shares, func(s cherviltide.Share) bool { return s.Service == service && s.Weight > 0 })
}

// updateRouteRevisions returns, for each route after a change of the rules, the revision that last changed its shares.
func updateRouteRevisions(known map[netip.AddrPort]uint64, before, after cherviltide.Rules) map[netip.AddrPort]uint64 {
	if known != nil && slices.EqualFunc(before.Routes, after.Routes, cherviltide.Route.SameShares) {
		return known
	}
	shares := make(map[netip.AddrPort][]cherviltide.Share, len(before.Routes))
	for _, r := range before.Routes {
		shares[r.Address] = r.Shares
	}
	next := make(map[netip.AddrPort]uint64, len(after.Routes))
	for _, r := range after.Routes {
		next[r.Address] = after.Revision
		if old, ok := shares[r.Address]; ok && slices.Equal(old, r.Shares) {
			next[r.Address] = known[r.Address]
		}
	}
	return next
}

// routeTables returns the tables of each route by its address.
func (v *View) routeTables() map[netip.AddrPort]*RouteTables {
	routes := make(map[netip.AddrPort]*RouteTables, len(v.Rules.Routes))
	table := func(service string) *picker.Table {
		t, _ := v.ServiceTable(service)
		return t
	}
	former := make(map[netip.AddrPort][]string, len(v.formerServices))
	for _, f := range v.formerServices {
		former[f.Address] = f.Services
	}
	// All values are in one slice, and routes with the same slice of shares have the same tables: an entry computes thousands of
	// routes again after each event.
	values := make([]RouteTables, len(v.Rules.Routes))
	var last *RouteTables
	for i, r := range v.Rules.Routes {
		x := &values[i]
		x.Route, x.RouteRevision = r, v.routeRevisions[r.Address]
		formerNames := former[r.Address]
		if len(formerNames) == 0 && last != nil && isSameSlice(last.Route.Shares, r.Shares) {
			x.tables, x.totalWeight = last.tables, last.totalWeight
		} else {
			x.addTables(formerNames, table)
		}
		if len(formerNames) == 0 {
			last = x
		}
		routes[r.Address] = x
	}
	return routes
}

// isSameSlice reports whether two slices are the same part of the same array.
func isSameSlice(a, b []cherviltide.Share) bool {
	return len(a) == len(b) && len(a) > 0 && &a[0] == &b[0]
}

// addTables sets the tables of the route's shares and of its former services.
func (r *RouteTables) addTables(former []string, table func(service string) *picker.Table) {
	r.tables = make([]*picker.Table, 0, len(r.Route.Shares)+len(former))
	for _, s := range r.Route.Shares {
		r.tables = append(r.tables, table(s.Service))
		r.totalWeight += uint64(s.Weight)
	}
	for _, name := range former {
		r.tables = append(r.tables, table(name))
	}
}
