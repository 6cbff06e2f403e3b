package follower

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/picker"
)

var routeAddress = netip.MustParseAddrPort("198.18.0.1:443")

// routeRules returns rules with three services and one route with the given shares; a share of 0 takes no new flows.
func routeRules(revision uint64, shares ...cherviltide.Share) cherviltide.Rules {
	rules := cherviltide.Rules{Revision: revision, Routes: []cherviltide.Route{{Name: "r", Address: routeAddress, Shares: shares}}}
	for _, name := range []string{"a", "b", "c"} {
		rules.Services = append(rules.Services, cherviltide.Service{Name: name, ID: cherviltide.ServiceIDOf(name), Buckets: 8})
	}
	return rules
}

func share(service string, weight uint32) cherviltide.Share {
	return cherviltide.Share{Service: service, Weight: weight}
}

// serviceNames returns the services of a route in the order in which they are tried for a flow.
func serviceNames(t *testing.T, r *RouteTables, hash uint64) []string {
	var names []string
	for i := range r.ServiceCount() {
		table, ok := r.TableAt(hash, i)
		require.True(t, ok)
		names = append(names, table.Service().Name)
	}
	return names
}

// TestTablesOfRoute guards against open flows that are lost when the rules send new flows of their route to another
// service, and against new flows that go to a former service.
func TestTablesOfRoute(t *testing.T) {
	view := NewView().WithRules(routeRules(1, share("a", 1)))
	require.Equal(t, []string{"a"}, serviceNames(t, view.Routes[routeAddress], 0))
	view = view.WithRules(routeRules(2, share("b", 1)))
	require.Equal(t, []string{"b", "a"}, serviceNames(t, view.Routes[routeAddress], 0))
	view = view.WithRules(routeRules(3, share("c", 1), share("a", 0)))
	require.Equal(t, []string{"c", "a", "b"}, serviceNames(t, view.Routes[routeAddress], 0))
	for hash := range uint64(100) {
		table, ok := view.Routes[routeAddress].Pick(hash << 32)
		require.True(t, ok)
		require.Equal(t, "c", table.Service().Name)
	}
	require.True(t, view.Routes[routeAddress].AcceptsNewFlows("c"))
	require.False(t, view.Routes[routeAddress].AcceptsNewFlows("a"), "a share of 0")
	require.False(t, view.Routes[routeAddress].AcceptsNewFlows("b"), "a former service")
	view = view.WithRules(cherviltide.Rules{Revision: 4})
	require.Empty(t, view.Routes)
}

// TestFormerServicesFromControl guards against open flows that are lost when an entry restarts after their route changed to
// another service.
func TestFormerServicesFromControl(t *testing.T) {
	rules := routeRules(3, share("c", 1))
	rules.Former = []cherviltide.FormerServices{{Address: routeAddress, Services: []string{"b", "a"}}}
	view := NewView().WithRules(rules)
	require.Equal(t, []string{"c", "b", "a"}, serviceNames(t, view.Routes[routeAddress], 0))
	view = view.WithRules(routeRules(4, share("a", 1)))
	require.Equal(t, []string{"a", "c", "b"}, serviceNames(t, view.Routes[routeAddress], 0))
}

// TestManyRoutesMove guards against open flows that are lost when one revision moves more routes than an edit used to keep
// the former services of, at followers that see the change and at one that starts later, and when routes move through many
// services or back.
func TestManyRoutesMove(t *testing.T) {
	const routes = 2_000
	rules := func(revision uint64, service string) cherviltide.Rules {
		next := cherviltide.Rules{Revision: revision}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
			next.Services = append(next.Services, cherviltide.Service{Name: name, ID: cherviltide.ServiceIDOf(name), Buckets: 8})
		}
		for i := range routes {
			address := netip.AddrPortFrom(routeAddress.Addr(), uint16(i+1))
			next.Routes = append(next.Routes, cherviltide.Route{Address: address, Shares: []cherviltide.Share{share(service, 1)}})
		}
		return next
	}
	for name, moves := range map[string]string{"one move": "ab", "moved back": "aba", "series of moves": "abcdefghij"} {
		t.Run(name, func(t *testing.T) {
			view := NewView()
			for i, service := range moves {
				view = view.WithRules(rules(uint64(i+1), string(service)))
			}
			last := rules(uint64(len(moves)), moves[len(moves)-1:])
			last.Former = view.formerServices
			for _, v := range []*View{view, NewView().WithRules(last)} {
				for _, r := range v.Routes {
					names := serviceNames(t, r, 0)
					for _, service := range moves {
						if !slices.Contains(names, string(service)) {
							require.Fail(t, "a service is not searched", "%v of route %v: %v", string(service), r.Route.Address, names)
						}
					}
				}
			}
		})
	}
}

// TestRouteShares guards against new flows that are not distributed by the shares, and against a search that tries a
// service twice.
func TestRouteShares(t *testing.T) {
	view := NewView().WithRules(routeRules(1, share("a", 900), share("b", 100)))
	route := view.Routes[routeAddress]
	counts := map[string]int{}
	for i := range uint64(10_000) {
		hash := cherviltide.FlowKey{Caller: netip.AddrPortFrom(routeAddress.Addr(), uint16(i)), Virtual: routeAddress}.Hash()
		table, ok := route.Pick(hash)
		require.True(t, ok)
		counts[table.Service().Name]++
		all := serviceNames(t, route, hash)
		require.Equal(t, table.Service().Name, all[0])
		require.ElementsMatch(t, []string{"a", "b"}, all)
	}
	require.InDelta(t, 9_000, counts["a"], 200)
	none := NewView().WithRules(routeRules(1, share("a", 0))).Routes[routeAddress]
	_, ok := none.Pick(1)
	require.False(t, ok)
}

// TestRouteRevision guards against a change of other rules that counts as a change of a route's shares, and against a route
// that keeps an old table after an event of its service.
func TestRouteRevision(t *testing.T) {
	revision := func(v *View) uint64 { return v.Routes[routeAddress].RouteRevision }
	view := NewView().WithRules(routeRules(5, share("a", 1)))
	require.EqualValues(t, 5, revision(view))
	next := routeRules(6, share("a", 1))
	next.Routes[0].Deadline = 900
	view = view.WithRules(next)
	require.EqualValues(t, 5, revision(view))
	view = view.WithRules(routeRules(7, share("b", 1)))
	require.EqualValues(t, 7, revision(view))
	view = view.WithEvents([]cherviltide.PositionedEvent{{Position: 9, Event: cherviltide.MemberEvent{
		Type: cherviltide.EventJoined, Member: cherviltide.Member{Name: "x", Role: cherviltide.RoleAgent, Service: "b", Incarnation: 1, Weight: 1},
	}}})
	require.EqualValues(t, 7, revision(view))
	table, _ := view.Routes[routeAddress].Pick(0)
	_, ok := table.Pick(cherviltide.FlowKey{})
	require.True(t, ok, "the route has an old table")
	require.IsType(t, &picker.Table{}, table)
}
