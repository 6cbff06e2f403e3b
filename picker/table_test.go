package picker

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// Guards against a former owner that stops being a candidate before it has released the bucket or died, and against
// candidate lists that have a target twice or have no owner although there are live targets.
func TestCandidatesAreKeptUntilReleased(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New(testService())
		for _, e := range randomEvents(t) {
			next := table.WithEvent(e.Position, e.Event)
			for b := range next.buckets {
				checkRow(t, next, next.rowAt(next.buckets[b]))
				checkCandidatesKept(t, table, next, b, e.Event)
			}
			table = next
		}
	})
}

// checkRow checks that a row has an owner if there are live targets, and has no target twice.
func checkRow(t require.TestingT, table *Table, r row) {
	seen := map[uint16]bool{noTarget: true, r.owner: true}
	require.False(t, r.owner == noTarget && len(table.targets) > 0)
	require.False(t, r.secondary != noTarget && seen[r.secondary])
	seen[r.secondary] = true
	for _, f := range r.history {
		require.False(t, seen[f.target])
		seen[f.target] = true
	}
}

// checkCandidatesKept checks that the candidates of a bucket before an event are still candidates after it, unless the
// event removed them.
func checkCandidatesKept(t require.TestingT, before, after *Table, b int, e cherviltide.MemberEvent) {
	rowBefore, rowAfter := before.rowAt(before.buckets[b]), after.rowAt(after.buckets[b])
	for i, x := range before.targets {
		n, alive := after.findTarget(x.member.Name)
		if !rowBefore.includes(uint16(i)) || !alive || after.targets[n].member.Incarnation != x.member.Incarnation {
			continue
		}
		if e.Type != cherviltide.EventReleased || x.member.Name != e.Member.Name {
			require.True(t, rowAfter.includes(uint16(n)), "bucket %d lost %s by %s", b, x.member.Name, e.Type)
		}
	}
}

// Guards against a target that owns more than its weighted share of the buckets.
func TestOwnersStayWithinCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, total := New(testService()), uint64(0)
		weights := rapid.SliceOfN(rapid.Uint32Range(1, 4000), 1, 12).Draw(t, "weights")
		for i, w := range weights {
			e := cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: testMember(i, 1, w)}
			table = table.WithEvent(uint64(i+1), e)
			total += uint64(w)
		}
		owned := map[uint16]uint64{}
		for _, n := range table.buckets {
			owned[table.rows[n].owner]++
		}
		for i, x := range table.targets {
			share := float64(testBuckets) * float64(x.member.Weight) / float64(total)
			require.LessOrEqual(t, float64(owned[uint16(i)]), share*(100+capacitySlack)/100+1)
		}
	})
}

// Guards against a candidate list too long for the position in the header, and against a lost candidate when a history
// is full.
func TestFullHistoriesLoseNoCandidate(t *testing.T) {
	service := testService()
	service.Buckets = 2
	table := New(service)
	for i := range 500 {
		e := cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: testMember(i, 1, 1_000_000)}
		if i >= 250 {
			owner, _ := table.Pick(testKey(i))
			e = cherviltide.MemberEvent{Type: cherviltide.EventWeighed, Member: owner}
			e.Member.Weight = 1
		}
		next := table.WithEvent(uint64(i+1), e)
		for b := range next.buckets {
			checkRow(t, next, next.rowAt(next.buckets[b]))
			checkCandidatesKept(t, table, next, b, e)
		}
		table = next
	}
	longest := 0
	for n := range 100 {
		longest = max(longest, len(table.AppendCandidates(nil, testKey(n))))
	}
	require.Greater(t, longest, maxHistory-2)
	require.LessOrEqual(t, longest, maxHistory+2)
}

// Guards against late or repeated events that change a table which has already applied them or newer ones.
func TestLateEventsChangeNothing(t *testing.T) {
	joined := cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: testMember(1, 2, 1000)}
	event := func(e cherviltide.EventType, incarnation uint64) cherviltide.MemberEvent {
		return cherviltide.MemberEvent{Type: e, Member: testMember(1, incarnation, 1000), Generation: 9}
	}
	cases := map[string][]cherviltide.MemberEvent{
		"joined twice":                   {joined, joined},
		"older incarnation joins":        {joined, event(cherviltide.EventJoined, 1)},
		"older incarnation dies":         {joined, event(cherviltide.EventDied, 1)},
		"dead incarnation joins again":   {joined, event(cherviltide.EventDied, 2), joined},
		"leaving target is cleared":      {joined, event(cherviltide.EventLeaving, 2), event(cherviltide.EventCleared, 2)},
		"leaving target is suspected":    {joined, event(cherviltide.EventLeaving, 2), event(cherviltide.EventSuspected, 2)},
		"weight that the target has":     {joined, event(cherviltide.EventWeighed, 2)},
		"release without history":        {joined, event(cherviltide.EventReleased, 2)},
		"suspicion of an unknown member": {event(cherviltide.EventSuspected, 2)},
	}
	for name, log := range cases {
		t.Run(name, func(t *testing.T) {
			table := New(testService())
			for i, e := range log[:len(log)-1] {
				table = table.WithEvent(uint64(i+1), e)
			}
			require.Same(t, table, table.WithEvent(9, log[len(log)-1]))
		})
	}
}
