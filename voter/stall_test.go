package voter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStalledDisk guards against a voter that leads, or is reported as current, while its disk completes no writes:
// entries that others commit meanwhile do not reach its clients.
func TestStalledDisk(t *testing.T) {
	self := ID{Name: "a", Number: 1}
	v := New(Config{Self: self, Names: []string{"a"}, Bootstrap: true}, StoredState{}, 0)
	now := ElectionTimeout
	run := func(diskResponds bool) {
		for range 10 {
			now += 10
			v.Tick(now)
			if out := v.TakeOutput(); out.Write != nil && diskResponds {
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
	now += diskStallTimeout
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
