package picker

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
)

// TestRankedProposals guards against processes that place flows differently because a bucket's proposals come from the
// ranked ones or from all.
func TestRankedProposals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var targets []target
		for i := range rapid.IntRange(1, 40).Draw(t, "targets") {
			m := cherviltide.Member{Name: fmt.Sprint("agent-", i), Weight: uint32(rapid.IntRange(0, 4_000).Draw(t, "weight"))}
			targets = append(targets, target{member: m, nameHash: uint64(i+1) * 0x9e3779b97f4a7c15, state: cherviltide.StateActive})
		}
		a := newAssigner(targets, nil, func(int) *row { return &row{} })
		const buckets = 64
		a.rank(buckets)
		all := newAssigner(targets, nil, func(int) *row { return &row{} })
		for b := range buckets {
			var after *proposal
			for {
				want, ok := all.bestProposal(b, after, nil)
				got, found := a.bestProposal(b, after, nil)
				require.Equal(t, ok, found)
				require.Equal(t, want, got)
				if !ok {
					break
				}
				after = &want
			}
		}
	})
}
