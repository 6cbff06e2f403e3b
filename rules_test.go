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
		"bound for a route":        {[]Route{route(1, "a")}, []Route{route(1, "b")}, []FormerServices{former(1, "c", "d", "e", "f")}, []FormerServices{former(1, "a", "c", "d", "e")}},
		"last change comes first":  {[]Route{route(1, "a"), route(2, "a")}, []Route{route(1, "a"), route(2, "b")}, []FormerServices{former(1, "c")}, []FormerServices{former(2, "a"), former(1, "c")}},
		"first rules of a process": {nil, []Route{route(1, "b")}, []FormerServices{former(1, "a")}, []FormerServices{former(1, "a")}},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, test.want, UpdateFormerServices(test.before, test.after, test.known))
		})
	}
	var before, after []Route
	for port := range 2 * maxFormerRoutes {
		before, after = append(before, route(port, "a")), append(after, route(port, "b"))
	}
	require.Len(t, UpdateFormerServices(before, after), maxFormerRoutes)
}
