package distributor

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/messenger"
)

// routesText returns a configuration with a number of routes.
func routesText(routes, version int) string {
	lines := make([]string, routes)
	for i := range lines {
		lines[i] = fmt.Sprintf(`{"Name":"r-%x","Host":"198.18.%d.%d","Prefix":"/%d/","Kind":"idempotent","TimeoutMs":%d,"GoalMs":120,"Priority":2,"Service":"desk"},`,
			i*7919, i/250, i%250, 1024+i, 1000+version)
	}
	return strings.Join(lines, "\n")
}

// TestSlowFollowersOfLargeRules guards against a control instance that exceeds its memory when many followers read a large
// change slowly. The bound is half of a machine with 123 MB.
func TestSlowFollowersOfLargeRules(t *testing.T) {
	const followers, routes, maxHeld = 230, 2_000, 123_000_000 / 2
	d := New()
	d.Publish(State{Revision: 1, Base: 1, Position: 1, Text: routesText(routes, 1)})
	requests := make([]messenger.FollowRequest, followers)
	held := make([][]byte, followers)
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for revision := range uint64(6) {
		d.Publish(State{Revision: revision + 2, Base: 1, Position: 1, Text: routesText(routes, int(revision)+2)})
		state, _ := d.current()
		for i := range requests {
			requests[i].AcceptsPackedRules = true
			u, err := state.update(&requests[i], false)
			require.NoError(t, err)
			// A follower that reads nothing holds the encoded message.
			held[i], err = cbor.Marshal(u)
			require.NoError(t, err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, after.HeapAlloc-before.HeapAlloc, uint64(maxHeld))
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(6*maxHeld), "bytes that the storm allocates")
	runtime.KeepAlive(held)
}

// TestSharedRules guards against followers that get the rules of others, or rules that they cannot read.
func TestSharedRules(t *testing.T) {
	d := New()
	first, second := routesText(200, 1), routesText(200, 2)
	d.Publish(State{Revision: 1, Text: first})
	d.Publish(State{Revision: 2, Text: second})
	for name, test := range map[string]struct {
		held   messenger.FollowRequest
		packed bool
	}{
		"no rules":                 {messenger.FollowRequest{AcceptsPackedRules: true}, true},
		"former revision":          {messenger.FollowRequest{Revision: 1, RulesDigest: messenger.TextDigest(first), AcceptsPackedRules: true}, true},
		"other text":               {messenger.FollowRequest{Revision: 1, RulesDigest: 7, AcceptsPackedRules: true}, true},
		"does not read the packed": {messenger.FollowRequest{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			state, _ := d.current()
			u, err := state.update(&test.held, false)
			require.NoError(t, err)
			require.Equal(t, test.packed, u.PackedRules != nil)
			require.NoError(t, u.UnpackRules())
			text := u.Rules.Text
			if len(u.Rules.Deltas) > 0 {
				text, err = messenger.ApplyLineDeltas(first, u.Rules.Deltas)
				require.NoError(t, err)
			}
			require.Equal(t, second, text)
			require.Equal(t, uint64(2), test.held.Revision)
		})
	}
	t.Run("same revision with another text", func(t *testing.T) {
		d.Publish(State{Revision: 2, Text: first})
		state, _ := d.current()
		u, err := state.update(&messenger.FollowRequest{AcceptsPackedRules: true}, false)
		require.NoError(t, err)
		require.NoError(t, u.UnpackRules())
		require.Equal(t, first, u.Rules.Text)
	})
}
