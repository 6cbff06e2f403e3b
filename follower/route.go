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
	// RouteRevision is the revision since which this process knows the route with the same shares.
	RouteRevision uint64
	// tables belong to the route's shares, in their order, then to former services, newest first.
	tables []*picker.Table
	total  uint64
}

// Pick returns the table of the service that takes a new flow with the given hash, and false when there is none.
func (r *RouteTables) Pick(hash uint64) (*picker.Table, bool) {
	i := r.pick(hash)
	if i < 0 || r.tables[i] == nil {
		return nil, false
	}
	return r.tables[i], true
}

// pick returns the index of the share of a hash, or -1. It uses other bits of the hash than the placement in a table.
func (r *RouteTables) pick(hash uint64) int {
	if r.total == 0 {
		return -1
	}
	at := (hash >> 32) % r.total
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

// TableAt returns the table to try at a stage: first that of the service that takes the flow under the present rules, then
// the others. A change of the rules leaves open flows where they are.
func (r *RouteTables) TableAt(hash uint64, stage int) (*picker.Table, bool) {
	first := max(r.pick(hash), 0)
	i := stage
	switch {
	case stage == 0:
		i = first
	case stage <= first:
		i = stage - 1
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

// changes returns the revision of the last change of each route's shares after a change of the rules.
func changes(known map[netip.AddrPort]uint64, before, after cherviltide.Rules) map[netip.AddrPort]uint64 {
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

// routes returns the tables of each route by its address.
func (v *View) routes() map[netip.AddrPort]*RouteTables {
	routes := make(map[netip.AddrPort]*RouteTables, len(v.Rules.Routes))
	table := func(service string) *picker.Table {
		if t, ok := v.Tables[service]; ok {
			return t
		}
		return v.defined[service]
	}
	former := make(map[netip.AddrPort][]string, len(v.former))
	for _, f := range v.former {
		former[f.Address] = f.Services
	}
	for _, r := range v.Rules.Routes {
		x := &RouteTables{Route: r, RouteRevision: v.changed[r.Address]}
		for _, s := range r.Shares {
			x.tables = append(x.tables, table(s.Service))
			x.total += uint64(s.Weight)
		}
		for _, name := range former[r.Address] {
			x.tables = append(x.tables, table(name))
		}
		routes[r.Address] = x
	}
	return routes
}
