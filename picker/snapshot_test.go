package picker

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// Guards against a process that starts from a snapshot and then decides differently from one that applied the whole
// log.
func TestRestoredTableContinuesAsTheOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := randomEvents(t)
		split := rapid.IntRange(0, len(log)).Draw(t, "split")
		original := applyEvents(New(testService()), log[:split])
		data, err := original.Snapshot()
		require.NoError(t, err)
		restored, err := Restore(testService(), data)
		require.NoError(t, err)
		require.Equal(t, original.Digest(), restored.Digest())
		original, restored = applyEvents(original, log[split:]), applyEvents(restored, log[split:])
		a, _ := original.Snapshot()
		b, _ := restored.Snapshot()
		require.Equal(t, a, b)
		require.Equal(t, original.rowSet, restored.rowSet)
	})
}

// Guards against a panic on a damaged snapshot or one of another service, and against a restored table that panics
// later.
func TestRestoreRefusesBadSnapshots(t *testing.T) {
	table := New(testService())
	for i := 1; i <= 3; i++ {
		e := cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: testMember(i, 1, 1000)}
		table = table.WithEvent(uint64(i), e)
	}
	good, err := table.Snapshot()
	require.NoError(t, err)
	otherService := testService()
	otherService.Name = "advisory-desk"
	otherBuckets := testService()
	otherBuckets.Buckets++
	cases := map[string]struct {
		service cherviltide.Service
		data    []byte
		want    cherviltide.ErrorKind
	}{
		"empty":         {testService(), nil, cherviltide.KindDamaged},
		"truncated":     {testService(), good[:len(good)-1], cherviltide.KindDamaged},
		"other service": {otherService, good, cherviltide.KindConflict},
		"other buckets": {otherBuckets, good, cherviltide.KindConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Restore(c.service, c.data)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, c.want, e.FaultKind())
		})
	}
	evacuated, err := table.WithEvent(9, domainEvent(cherviltide.EventEvacuated, testDomains[0])).Snapshot()
	require.NoError(t, err)
	for _, data := range [][]byte{good, evacuated} {
		for i := range data {
			damaged := append([]byte{}, data...)
			damaged[i] ^= 0x11
			if restored, err := Restore(testService(), damaged); err == nil {
				restored.AppendCandidates(nil, testKey(i))
			}
		}
	}
}
