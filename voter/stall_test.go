package voter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStalledDisk guards against a voter that leads, or passes for up to date, while its disk takes nothing: what others
// accept meanwhile does not reach those that follow it.
func TestStalledDisk(t *testing.T) {
	self := ID{Name: "a", Number: 1}
	v := New(Config{Self: self, Names: []string{"a"}, Bootstrap: true}, StoredState{}, 0)
	now := ElectionTimeout
	run := func(stores bool) {
		for range 10 {
			now += 10
			v.Tick(now)
			if out := v.TakeOutput(); out.Write != nil && stores {
				v.WriteCompleted(out.Write.Sequence, nil)
			}
		}
	}
	for range 10 {
		run(true)
	}
	_, leads := v.IsLeader()
	require.True(t, leads)
	_, _, err := v.Propose([]byte("x"))
	require.NoError(t, err)
	write := v.TakeOutput().Write
	require.NotNil(t, write)
	now += diskLimit
	run(false)
	_, leads = v.IsLeader()
	require.False(t, leads)
	require.False(t, v.IsCurrent())
	now += 2 * ElectionTimeout
	run(false)
	_, leads = v.IsLeader()
	require.False(t, leads, "a voter with a stalled disk was elected")
	v.WriteCompleted(write.Sequence, nil)
	now += 2 * ElectionTimeout
	for range 10 {
		run(true)
	}
	_, leads = v.IsLeader()
	require.True(t, leads)
	require.True(t, v.IsCurrent())
}
