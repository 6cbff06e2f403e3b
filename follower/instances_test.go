package follower

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestInstances guards against control instances that are dropped when the settings or control announce others, and against
// instances that were replaced and are tried before present ones.
func TestInstances(t *testing.T) {
	configured := []string{"s1", "s2"}
	x := instances{configured: func() []string { return configured }}
	require.ElementsMatch(t, []string{"s1", "s2"}, x.toFollow())
	x.announce([]string{"k1", "s2"})
	require.True(t, x.takeHasNew())
	require.False(t, x.takeHasNew())
	require.ElementsMatch(t, []string{"k1", "s2"}, x.toFollow()[:2])
	require.Equal(t, "s1", x.toFollow()[2])
	x.announce([]string{"k2"})
	list := x.toFollow()
	require.Equal(t, "k2", list[0])
	require.ElementsMatch(t, []string{"s1", "s2"}, list[1:3])
	require.Equal(t, []string{"k1"}, list[3:])
	configured = []string{"s3"}
	list = x.toFollow()
	require.Equal(t, []string{"k2", "s3"}, list[:2])
	require.ElementsMatch(t, []string{"k1", "s2"}, list[2:])
	require.Equal(t, "k2", x.voters()[0])
	require.ElementsMatch(t, []string{"k1", "s2"}, x.voters()[1:])
	require.Equal(t, []string{"k1", "k2", "s3", "s2"}, x.toCall("k1"))
	x.takeHasNew()
	x.refer([]string{"k1", "k2"})
	require.False(t, x.takeHasNew())
	x.refer([]string{"k9"})
	require.True(t, x.takeHasNew())
	require.Equal(t, "k2", x.toFollow()[0], "a referral replaced the present instances")
	require.Contains(t, x.toFollow(), "k9")
}

// TestReplacementsDoNotDelay guards against a search whose length grows with the number of instances that were ever replaced.
func TestReplacementsDoNotDelay(t *testing.T) {
	x := instances{configured: func() []string { return []string{"s1"} }}
	for i := range 500 {
		x.announce([]string{fmt.Sprint("k", i), fmt.Sprint("k", i+1), fmt.Sprint("k", i+2)})
	}
	for followed := 499; followed < 502; followed++ {
		x.setFollowed(fmt.Sprint("k", followed))
		list := x.toFollow()
		require.ElementsMatch(t, []string{"k499", "k500", "k501"}, list[:3])
		require.Equal(t, fmt.Sprint("k", followed), list[2], "the instance of the last subscription is not the last one")
		require.Len(t, list, 3+1+maxOthersTried)
	}
	require.LessOrEqual(t, len(x.voters()), 3+maxOthers)
}

// TestFollowersSpread guards against followers that all move to the same instance when theirs stops.
func TestFollowersSpread(t *testing.T) {
	first := map[string]int{}
	for range 300 {
		x := instances{configured: func() []string { return nil }}
		x.announce([]string{"k1", "k2", "k3"})
		x.setFollowed("k2")
		first[x.toFollow()[0]]++
	}
	require.Len(t, first, 2)
	require.Greater(t, first["k1"], 100)
	require.Greater(t, first["k3"], 100)
}
