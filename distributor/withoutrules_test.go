package distributor

import (
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// TestFollowerWithoutRules guards against rules that fill the link of a process that does not use them.
func TestFollowerWithoutRules(t *testing.T) {
	d := New()
	for revision := range uint64(3) {
		d.Publish(State{Revision: revision + 1, Text: routesText(2_000, int(revision))})
		state, _ := d.current()
		for name, held := range map[string]messenger.FollowRequest{"new": {WithoutRules: true}, "behind": {WithoutRules: true, Revision: 1}} {
			require.NoError(t, state.refusalFor(0, &held), name)
			u, err := state.update(&held, true)
			require.NoError(t, err)
			require.False(t, u.HasRules(), name)
		}
	}
}
