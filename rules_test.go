package cherviltide

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestUpdateFormerServices guards against flows that are lost because the service that holds them is dropped from the
// former services too early, and against a list that grows with each change.
func TestUpdateFormerServices(t *testing.T) {
	route := func(port int, services ...string) Route {
		r := Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(port))}
		for _, name := range services {
			r.Shares = append(r.Shares, Share{Service: name, Weight: 1})
		}
		return r
	}
	former := func(port int, services ...string) FormerServices {
		return FormerServices{Address: route(port).Address, Services: services}
	}
	var many []string
	for i := range maxFormerServicesPerRoute {
		many = append(many, string(rune('A'+i)))
	}
	for name, test := range map[string]struct {
		before, after []Route
		known         []FormerServices
		want          []FormerServices
	}{
		"nothing moves":            {[]Route{route(1, "a")}, []Route{route(1, "a"), route(2, "b")}, nil, nil},
		"route moves":              {[]Route{route(1, "a", "b")}, []Route{route(1, "b", "c")}, nil, []FormerServices{former(1, "a")}},
		"newest first":             {[]Route{route(1, "a")}, []Route{route(1, "b")}, []FormerServices{former(1, "c")}, []FormerServices{former(1, "a", "c")}},
		"route moves back":         {[]Route{route(1, "a")}, []Route{route(1, "b")}, []FormerServices{former(1, "b")}, []FormerServices{former(1, "a")}},
		"route ends":               {[]Route{route(1, "a")}, nil, []FormerServices{former(1, "c")}, nil},
		"bound for a route":        {[]Route{route(1, "a")}, []Route{route(1, "b")}, []FormerServices{former(1, many...)}, []FormerServices{former(1, append([]string{"a"}, many[:maxFormerServicesPerRoute-1]...)...)}},
		"last change comes first":  {[]Route{route(1, "a"), route(2, "a")}, []Route{route(1, "a"), route(2, "b")}, []FormerServices{former(1, "c")}, []FormerServices{former(2, "a"), former(1, "c")}},
		"first rules of a process": {nil, []Route{route(1, "b")}, []FormerServices{former(1, "a")}, []FormerServices{former(1, "a")}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, UpdateFormerServices(test.before, test.after, test.known))
		})
	}
}

// TestFormerServicesOfManyRoutes guards against open flows that are lost because many routes move at once or one after the
// other, and against former services that grow with each change.
func TestFormerServicesOfManyRoutes(t *testing.T) {
	const routes, services, changes = 4_000, 6, 40
	at := func(change int) []Route {
		list := make([]Route, routes)
		for i := range list {
			list[i] = Route{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(i+1))}
			list[i].Shares = []Share{{Service: string(rune('a' + change%services)), Weight: 1}}
		}
		return list
	}
	var former []FormerServices
	for change := range changes {
		next := UpdateFormerServices(at(change), at(change+1), former)
		require.Equal(t, next, MergeFormerServices(former, ChangedFormerServices(former, next)))
		former = next
		require.Len(t, former, routes)
		for _, f := range former {
			require.Len(t, f.Services, min(change+1, services-1))
			require.Equal(t, string(rune('a'+change%services)), f.Services[0])
		}
	}
	moved := at(changes)
	moved[7].Shares = []Share{{Service: "x", Weight: 1}}
	changed := ChangedFormerServices(former, UpdateFormerServices(at(changes), moved, former))
	require.Len(t, changed, 1, "an edit that moves one route contains the former services of others")
	ended := UpdateFormerServices(moved, moved[1:], former)
	require.Equal(t, []FormerServices{{Address: moved[0].Address}}, ChangedFormerServices(former, ended)[len(ChangedFormerServices(former, ended))-1:])
}
