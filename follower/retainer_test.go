package follower

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// TestRetainer guards against a view that is kept after the cut or is from the middle of it, agents of a forgotten closed domain
// that are taken for reachable ones, and routes that do not lead to the retained agents.
func TestRetainer(t *testing.T) {
	address := netip.MustParseAddrPort("198.18.0.1:443")
	members := map[string]cherviltide.Member{}
	view := NewView().WithRules(cherviltide.Rules{
		Revision: 1, Services: []cherviltide.Service{{Name: "s", ID: cherviltide.ServiceIDOf("s"), Buckets: 16}},
		Routes: []cherviltide.Route{{Name: "r", Address: address, Shares: []cherviltide.Share{{Service: "s", Weight: 1}}}},
	})
	apply := func(kind cherviltide.EventType, domain string) {
		view = view.WithEvents([]cherviltide.PositionedEvent{{Position: view.Position + 1, Event: cherviltide.MemberEvent{Type: kind, Member: members[domain]}}})
	}
	for i, domain := range []string{"a", "b", "c"} {
		members[domain] = cherviltide.Member{
			Name: "agent-" + domain, Role: cherviltide.RoleAgent, Service: "s", Incarnation: 1, Weight: 1, FailureDomain: domain,
			Address: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1)),
		}
		apply(cherviltide.EventJoined, domain)
	}
	var r Retainer
	answers := func(netip.AddrPort) bool { return true }
	domains := func(v *View) (list []string) {
		for _, m := range v.Tables["s"].Active() {
			list = append(list, m.FailureDomain)
		}
		return list
	}
	require.Same(t, view, r.Update(view, nil, 0, answers))
	require.Same(t, view, r.Update(view, []string{"b", "c"}, 0, answers))
	apply(cherviltide.EventDied, "a")
	apply(cherviltide.EventDied, "c")
	used := r.Update(view, []string{"b"}, 0, answers)
	require.Equal(t, []string{"a", "b"}, domains(used), "c is forgotten, not reached")
	table, _ := used.Routes[address].Pick(0)
	require.Same(t, used.Tables["s"], table)
	require.Equal(t, 1, r.Agents())
	require.Same(t, used, r.Update(view, []string{"b"}, 0, answers))
	require.Same(t, view, r.Update(view, []string{"b"}, 1, func(netip.AddrPort) bool { return false }))
	require.Equal(t, []string{"a", "b"}, domains(r.Update(view, []string{"b"}, 2, answers)))
	require.Same(t, view, r.Update(view, nil, 2, answers))
	require.Zero(t, r.Agents())
	require.Same(t, view, r.Update(view, []string{"b"}, 2, answers), "the view from before an earlier cut")
}
