package voter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// newLeader returns the voter of a group of three that leads, while the other two have not stored anything since.
func newLeader(t *testing.T) (*cluster, *instance) {
	const seed = 1
	c := newCluster(seed, configuredCount, disabledProtections{}, false)
	for range 2_000 {
		c.step()
		for _, node := range c.instances {
			if _, leads := node.voter.IsLeader(); leads && c.allAreVoters() && node.voter.commitIndex == node.voter.log.lastIndex() {
				return c, node
			}
		}
	}
	t.Fatal("no voter leads")
	return nil, nil
}

// TestUncommittedBytesAreBounded guards against a leader whose memory is filled by edits that are sent again while the other
// voters do not store them.
func TestUncommittedBytesAreBounded(t *testing.T) {
	_, node := newLeader(t)
	accepted := 0
	for range 20 {
		_, _, err := node.voter.Propose(make([]byte, MaxEntrySize/4))
		if err != nil {
			require.ErrorIs(t, err, ErrTooMuchUncommitted)
			continue
		}
		accepted++
	}
	require.Less(t, accepted, 5)
	require.LessOrEqual(t, node.voter.log.sizeAfter(node.voter.commitIndex), maxUncommittedBytes+entryOverhead*accepted)
}

// TestRetainedEntriesAreBoundedInBytes guards against large entries that stay in the memory of each voter because their number
// is small.
func TestRetainedEntriesAreBoundedInBytes(t *testing.T) {
	c, node := newLeader(t)
	for range 20 {
		_, _, err := node.voter.Propose(make([]byte, retainedBytes/3))
		require.NoError(t, err)
		for node.voter.commitIndex < node.voter.log.lastIndex() || node.pendingWrite != nil {
			c.step()
		}
	}
	require.True(t, node.voter.NeedsCompaction(1_000_000))
	node.voter.Compact(make([]byte, 8))
	require.False(t, node.voter.NeedsCompaction(1_000_000))
	require.Positive(t, node.voter.log.lastIndex()-node.voter.log.baseIndex)
	require.LessOrEqual(t, node.voter.log.sizeAfter(node.voter.log.baseIndex), retainedBytes)
}
