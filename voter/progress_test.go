package voter

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestVoterBehindIsNotCurrent guards against a control instance that keeps its followers on older rules, or accepts new ones, because it hears
// the leader's heartbeats, although the entries do not reach it.
func TestVoterBehindIsNotCurrent(t *testing.T) {
	c := newCluster(1, 3, disabledProtections{}, false)
	blocked := ""
	// advance runs the cluster for a while; messages with entries to the blocked instance are lost.
	advance := func(steps int) {
		for range steps {
			c.network = slices.DeleteFunc(c.network, func(f inFlightMessage) bool {
				return f.m.To.Name == blocked && (len(f.m.Entries) > 0 || f.m.Chunk != nil)
			})
			c.step()
		}
		require.NoError(t, c.violation)
	}
	var leader, behind *instance
	for range 100 {
		advance(20)
		for i, node := range c.instances {
			if _, leads := node.voter.IsLeader(); leads {
				leader, behind = node, c.instances[(i+1)%3]
			}
		}
		if leader != nil && leader.voter.IsCurrent() && behind.voter.IsCurrent() {
			break
		}
	}
	require.NotNil(t, leader)
	propose := func() {
		_, _, err := leader.voter.Propose([]byte("edit"))
		require.NoError(t, err)
	}
	currentNow := func() bool {
		advance(400)
		_, leads := leader.voter.IsLeader()
		require.True(t, leads)
		require.True(t, leader.voter.IsCurrent())
		return behind.voter.IsCurrent()
	}
	propose()
	require.True(t, currentNow())

	blocked = behind.id.Name
	require.True(t, currentNow(), "no entry is missing")
	propose()
	require.False(t, currentNow())
	blocked = ""
	require.True(t, currentNow())

	blocked = behind.id.Name
	propose()
	c.crash(behind)
	c.start(behind)
	require.False(t, currentNow(), "an instance that has just started is current before it has caught up")
	blocked = ""
	require.True(t, currentNow())
}

// TestMessageNames guards against a message type without a name in the logs.
func TestMessageNames(t *testing.T) {
	require.Len(t, messageNames, int(MessageFoundingEnded)+1)
	require.Equal(t, "Join", MessageJoin.String())
	require.Equal(t, "FoundingEnded", MessageFoundingEnded.String())
	require.Equal(t, "unknown", MessageType(200).String())
}
