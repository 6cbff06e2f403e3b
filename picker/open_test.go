package picker

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// tableOfDomains returns a table of targets in the failure domains a, b and c in turn.
func tableOfDomains(targets, buckets int) *Table {
	service := testService()
	service.Buckets = buckets
	t := New(service)
	for i := range targets {
		m := testMember(i, 1, cherviltide.NominalWeight)
		m.FailureDomain = []string{"a", "b", "c"}[i%3]
		t = t.WithEvent(uint64(i+1), cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: m})
	}
	return t
}

// TestPickOpen guards against new flows that go to a closed domain although another is open, flows that move although their
// agent's domain stays open, and an open domain whose targets share the flows of the closed ones unevenly.
func TestPickOpen(t *testing.T) {
	const targets, flows = 12, 24_000
	table := tableOfDomains(targets, 1_024)
	for name, closed := range map[string][]string{
		"none": nil, "one": {"a"}, "another": {"c"}, "two": {"b", "c"}, "two others": {"a", "b"}, "all": {"a", "b", "c"}, "unknown": {"x"},
	} {
		t.Run(name, func(t *testing.T) {
			counts := map[string]int{}
			for i := range flows {
				key := testKey(i)
				owner, _ := table.Pick(key)
				m, ok := table.PickOpen(key, closed)
				require.True(t, ok)
				counts[m.Name]++
				if len(closed) == 3 || !slices.Contains(closed, owner.FailureDomain) {
					require.Equal(t, owner, m)
					continue
				}
				require.NotContains(t, closed, m.FailureDomain)
				within, ok := table.PickWithin(key, m.FailureDomain)
				require.True(t, ok)
				require.Equal(t, m, within)
			}
			open := targets
			if len(closed) < 3 && name != "unknown" {
				open = targets * (3 - len(closed)) / 3
			}
			require.Len(t, counts, open)
			for agent, n := range counts {
				require.InEpsilon(t, flows/open, n, 0.25, agent)
			}
		})
	}
}

// TestPickOpenRareDomain guards against an open domain that is not found because it has few buckets.
func TestPickOpenRareDomain(t *testing.T) {
	table := tableOfDomains(1, 1_024)
	for i := range 100 {
		m := testMember(i+10, 1, cherviltide.NominalWeight)
		m.FailureDomain = "b"
		table = table.WithEvent(uint64(i+10), cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: m})
	}
	for i := range 100 {
		m, ok := table.PickOpen(testKey(i), []string{"b"})
		require.True(t, ok)
		require.Equal(t, "a", m.FailureDomain)
	}
	_, ok := table.PickWithin(testKey(1), "x")
	require.False(t, ok)
	_, ok = New(testService()).PickOpen(testKey(1), []string{"a"})
	require.False(t, ok)
}

// TestPickOpenAllocatesNothing guards against allocations on the packet path.
func TestPickOpenAllocatesNothing(t *testing.T) {
	table, closed := tableOfDomains(12, 64), []string{"a", "b"}
	require.Zero(t, testing.AllocsPerRun(1_000, func() { table.PickOpen(testKey(7), closed) }))
}

func BenchmarkPickOpen(b *testing.B) {
	table := tableOfDomains(52, 1_024)
	for name, closed := range map[string][]string{"none closed": nil, "one closed": {"a"}, "two closed": {"a", "b"}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				table.PickOpen(testKey(i), closed)
			}
		})
	}
}
