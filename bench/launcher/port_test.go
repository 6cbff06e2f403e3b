package launcher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two processes of a system, or of systems that two test processes start, that get the same port because neither has
// opened it yet. Two allocators stand for the two test processes.
func TestFreePortsDiffer(t *testing.T) {
	seen := map[uint16]bool{}
	var allocators [2]portAllocator
	for i := range 2000 {
		port := allocators[i%2].allocate()
		require.False(t, seen[port], "port %d was returned twice", port)
		seen[port] = true
	}
	for i := range allocators {
		for _, claim := range allocators[i].claims {
			require.NoError(t, claim.Close())
		}
	}
}
