package picker

import (
	"maps"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// TestRetain guards against flows that leave a failure domain because control has lost its agents behind a cut, and against agents
// that are retained although their loss is real, they do not answer, or a later event says otherwise. Targets 0 and 3 are in
// domain a, 1 and 4 in b, 2 and 5 in c; b and c are closed.
func TestRetain(t *testing.T) {
	const targets = 6
	type step struct {
		event  cherviltide.EventType
		target int
	}
	died, suspected := cherviltide.EventDied, cherviltide.EventSuspected
	lost := []step{{died, 0}, {died, 3}}
	for name, test := range map[string]struct {
		steps  []step
		silent int
		// agents is the number of the retained agents, takers are the agents of a that take new flows.
		agents int
		takers []int
	}{
		"nothing lost":                    {nil, -1, 0, []int{0, 3}},
		"half lost":                       {[]step{{died, 0}}, -1, 0, []int{3}},
		"all suspect":                     {[]step{{suspected, 0}, {suspected, 3}}, -1, 2, []int{0, 3}},
		"one dead, one suspect":           {[]step{{died, 0}, {suspected, 3}}, -1, 2, []int{0, 3}},
		"all dead":                        {lost, -1, 2, []int{0, 3}},
		"all dead, one does not answer":   {lost, 3, 1, []int{0}},
		"all dead, closed one dead too":   {append([]step{{died, 1}, {died, 4}}, lost...), -1, 2, []int{0, 3}},
		"one drained, one dead":           {[]step{{cherviltide.EventLeaving, 0}, {died, 3}}, -1, 1, []int{3}},
		"new incarnation of one":          {append(lost, step{cherviltide.EventJoined, 0}), -1, 0, []int{0}},
		"new incarnation, another leaves": {append(lost, step{cherviltide.EventJoined, 0}, step{cherviltide.EventLeaving, 0}), -1, 1, []int{3}},
		"evacuated":                       {append(lost, step{cherviltide.EventEvacuated, 0}), -1, 2, nil},
		"evacuated before the loss":       {append([]step{{cherviltide.EventEvacuated, 0}}, lost...), -1, 2, nil},
	} {
		t.Run(name, func(t *testing.T) {
			earlier := tableOfDomains(targets, 256)
			present, joined := earlier, uint64(1)
			for i, s := range test.steps {
				m := earlier.targets[s.target].member
				if s.event == cherviltide.EventJoined {
					joined++
				}
				if s.target == 0 && joined > 1 {
					m.Incarnation = joined
				}
				present = present.WithEvent(uint64(targets+i+1), cherviltide.MemberEvent{Type: s.event, Member: m})
			}
			closed := []string{"b", "c"}
			table, agents := present.Retain(earlier, closed, func(a netip.AddrPort) bool {
				return test.silent < 0 || a != earlier.targets[test.silent].member.Address
			})
			require.Equal(t, test.agents, agents)
			require.Equal(t, present.Generation(), table.Generation())
			if agents == 0 {
				require.Same(t, present, table)
			}
			var want []string
			for _, i := range test.takers {
				want = append(want, earlier.targets[i].member.Name)
			}
			opened := map[string]bool{}
			for i := range 1_000 {
				agent, ok := table.PickOpen(testKey(i), closed)
				require.True(t, ok)
				opened[agent.Name] = true
				if agents == 0 {
					continue
				}
				candidates := names(table.AppendCandidates(nil, testKey(i)))
				for _, m := range earlier.AppendCandidates(nil, testKey(i)) {
					if n, ok := table.findTarget(m.Name); ok && table.targets[n].member.Incarnation == m.Incarnation {
						require.Contains(t, candidates, m.Name, "a possible holder is not searched")
					}
				}
			}
			if len(want) > 0 {
				require.ElementsMatch(t, want, slices.Collect(maps.Keys(opened)))
			} else {
				// The packets of open flows go to agents that refuse new ones.
				require.True(t, table.IsEvacuated("a"))
			}
		})
	}
}

// TestRetainAfterAnyEvents guards against retained tables that are not consistent: targets out of order or more than once, flows
// without an owner, present candidates that a search no longer finds, and retained agents in closed or evacuated domains that get
// new flows.
func TestRetainAfterAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		earlier := tableOfDomains(rapid.IntRange(1, 9).Draw(t, "targets"), 32)
		present := earlier
		kinds := []cherviltide.EventType{
			cherviltide.EventDied, cherviltide.EventDied, cherviltide.EventSuspected, cherviltide.EventJoined, cherviltide.EventLeaving,
			cherviltide.EventCleared, cherviltide.EventEvacuated, cherviltide.EventRestored,
		}
		for i := range rapid.IntRange(1, 25).Draw(t, "events") {
			m := testMember(rapid.IntRange(0, 11).Draw(t, "target"), rapid.Uint64Range(1, 3).Draw(t, "incarnation"), cherviltide.NominalWeight)
			m.FailureDomain = rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain")
			present = present.WithEvent(uint64(100+i), cherviltide.MemberEvent{Type: rapid.SampledFrom(kinds).Draw(t, "kind"), Member: m})
		}
		closed := rapid.SampledFrom([][]string{{"a"}, {"b", "c"}, {"a", "c"}}).Draw(t, "closed")
		table, agents := present.Retain(earlier, closed, func(netip.AddrPort) bool { return true })
		for i := 1; i < len(table.targets); i++ {
			require.Less(t, table.targets[i-1].member.Name, table.targets[i].member.Name)
		}
		require.Equal(t, agents > 0, table != present)
		for _, x := range present.targets {
			i, ok := table.findTarget(x.member.Name)
			require.True(t, ok)
			require.Equal(t, x.member, table.targets[i].member)
		}
		for i := range 200 {
			owner, ok := table.Pick(testKey(i))
			require.Equal(t, len(table.targets) > 0, ok)
			candidates := names(table.AppendCandidates(nil, testKey(i)))
			require.Subset(t, candidates, names(present.AppendCandidates(nil, testKey(i))))
			if agents > 0 && ok && table.IsEvacuated(owner.FailureDomain) {
				for _, x := range table.targets {
					require.False(t, x.state == cherviltide.StateActive && !table.IsEvacuated(x.member.FailureDomain))
				}
			}
		}
	})
}

func names(members []cherviltide.Member) []string {
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Name)
	}
	return list
}

// BenchmarkRetain measures the tables of services with few and with many targets after the targets of one domain in three have died.
func BenchmarkRetain(b *testing.B) {
	for name, targets := range map[string]int{"6": 6, "300": 300} {
		b.Run(name, func(b *testing.B) {
			earlier := tableOfDomains(targets, 1_024)
			present := earlier
			for i, x := range earlier.targets {
				if x.member.FailureDomain == "a" {
					present = present.WithEvent(uint64(targets+i+1), cherviltide.MemberEvent{Type: cherviltide.EventDied, Member: x.member})
				}
			}
			for b.Loop() {
				present.Retain(earlier, []string{"b", "c"}, func(netip.AddrPort) bool { return true })
			}
		})
	}
}
