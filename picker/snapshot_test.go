package picker

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// Guards against a process that starts from a snapshot and then decides differently from one that saw the whole log.
func TestRestoredTableContinuesAsTheOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := events(t)
		cut := rapid.IntRange(0, len(log)).Draw(t, "cut")
		original := apply(New(testService()), log[:cut])
		data, err := original.Snapshot()
		require.NoError(t, err)
		restored, err := Restore(testService(), data)
		require.NoError(t, err)
		require.Equal(t, original.Digest(), restored.Digest())
		original, restored = apply(original, log[cut:]), apply(restored, log[cut:])
		a, _ := original.Snapshot()
		b, _ := restored.Snapshot()
		require.Equal(t, a, b)
		require.Equal(t, original.rowSet, restored.rowSet)
	})
}

// Guards against a panic, or a table that panics later, on a damaged or foreign snapshot.
func TestRestoreRefusesBadSnapshots(t *testing.T) {
	table := New(testService())
	for i := 1; i <= 3; i++ {
		e := cherviltide.MemberEvent{Type: cherviltide.EventJoined, Member: testMember(i, 1, 1000)}
		table = table.WithEvent(uint64(i), e)
	}
	good, err := table.Snapshot()
	require.NoError(t, err)
	other := testService()
	other.Name = "advisory-desk"
	wide := testService()
	wide.Buckets++
	cases := map[string]struct {
		service cherviltide.Service
		data    []byte
		want    cherviltide.ErrorKind
	}{
		"empty":         {testService(), nil, cherviltide.KindDamaged},
		"cut":           {testService(), good[:len(good)-1], cherviltide.KindDamaged},
		"other service": {other, good, cherviltide.KindConflict},
		"other buckets": {wide, good, cherviltide.KindConflict},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Restore(c.service, c.data)
			var e *Error
			require.ErrorAs(t, err, &e)
			require.Equal(t, c.want, e.FaultKind())
		})
	}
	for i := range good {
		damaged := append([]byte{}, good...)
		damaged[i] ^= 0x11
		if restored, err := Restore(testService(), damaged); err == nil {
			restored.AppendCandidates(nil, testKey(i))
		}
	}
}
