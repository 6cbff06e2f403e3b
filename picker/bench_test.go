package picker

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// Numbers of services and targets at full size, from section 1.6 of the design page.
const (
	fullServices = 4_000
	fullTargets  = 22_000
	// maxTableBytes leaves a quarter of a daemon's 32 MB for everything else.
	maxTableBytes = 24_000_000
)

// tableWithHistories returns a table of n targets, all of which released their former buckets after the last one had
// joined. Then every fifth target was suspected and cleared without a release, so that buckets have histories.
func tableWithHistories(service cherviltide.Service, n int) *Table {
	t, position := New(service), uint64(0)
	apply := func(e cherviltide.EventType, m cherviltide.Member) {
		position++
		m.Service = service.Name
		t = t.WithEvent(position, cherviltide.MemberEvent{Type: e, Member: m})
	}
	for i := range n {
		m := testMember(i, 1, uint32(1000+500*(i%7)))
		m.Name = fmt.Sprintf("%s-%d", service.Name, i)
		apply(cherviltide.EventJoined, m)
	}
	for i := range n {
		position++
		e := cherviltide.MemberEvent{Type: cherviltide.EventReleased, Member: t.targets[i].member, Generation: position}
		t = t.WithEvent(position, e)
	}
	for i := range n {
		if i%5 == 0 {
			apply(cherviltide.EventSuspected, t.targets[i].member)
			apply(cherviltide.EventCleared, t.targets[i].member)
		}
	}
	return t
}

func fullService(i int) cherviltide.Service {
	name := fmt.Sprintf("service-%d", i)
	return cherviltide.Service{Name: name, ID: cherviltide.ServiceIDOf(name), Buckets: 1024}
}

// Guards against tables that at full size need more memory than a daemon has.
func TestTablesFitDaemonMemory(t *testing.T) {
	// tablesPerSnapshot is the number of tables that are restored from each snapshot.
	const tablesPerSnapshot = 20
	var snapshots [][]byte
	for i := range fullServices / tablesPerSnapshot {
		n := fullTargets / fullServices
		if i%2 == 0 {
			n++
		}
		data, err := tableWithHistories(fullService(i), n).Snapshot()
		require.NoError(t, err)
		snapshots = append(snapshots, data)
	}
	before, encoded, targets, tables := heapBytes(), 0, 0, make([]*Table, 0, fullServices)
	for i := range fullServices {
		n := i / tablesPerSnapshot
		table, err := Restore(fullService(n), snapshots[n])
		require.NoError(t, err)
		tables = append(tables, table)
		targets += len(table.targets)
		encoded += len(snapshots[n])
	}
	used := heapBytes() - before
	t.Logf("%d tables, %d targets: %d bytes in memory, %d bytes of snapshots", len(tables), targets, used, encoded)
	require.Equal(t, fullTargets, targets)
	require.Less(t, used, uint64(maxTableBytes))
	runtime.KeepAlive(tables)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against allocations for each datagram.
func TestPickDoesNotAllocate(t *testing.T) {
	table := tableWithHistories(fullService(0), 7)
	require.Zero(t, testing.AllocsPerRun(100, func() { table.Pick(testKey(1)) }))
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{7, 100} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			table, keys, i := tableWithHistories(fullService(0), n), benchKeys(), 0
			b.ReportAllocs()
			for b.Loop() {
				i++
				table.Pick(keys[i%len(keys)])
			}
		})
	}
}

func BenchmarkAppendCandidates(b *testing.B) {
	table, keys, i := tableWithHistories(fullService(0), 7), benchKeys(), 0
	candidates := make([]cherviltide.Member, 0, maxHistory+2)
	b.ReportAllocs()
	for b.Loop() {
		i++
		candidates = table.AppendCandidates(candidates[:0], keys[i%len(keys)])
	}
}

func benchKeys() []cherviltide.FlowKey {
	keys := make([]cherviltide.FlowKey, 4096)
	for i := range keys {
		keys[i] = testKey(i)
	}
	return keys
}

// BenchmarkEvent measures an event that moves buckets.
func BenchmarkEvent(b *testing.B) {
	for _, n := range []int{7, 100} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			table := tableWithHistories(fullService(0), n)
			m := table.targets[n/2].member
			m.Weight *= 2
			b.ReportAllocs()
			for b.Loop() {
				table.WithEvent(table.Generation()+1, cherviltide.MemberEvent{Type: cherviltide.EventWeighed, Member: m})
			}
		})
	}
}

func BenchmarkDigest(b *testing.B) {
	table := tableWithHistories(fullService(0), 7)
	for b.Loop() {
		table.clone().Digest()
	}
}
