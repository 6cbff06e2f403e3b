package launcher

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two processes of a system that get the same port because neither has opened it yet. Without the set of
// allocated ports, 2,000 random choices among 22,000 ports repeat some.
func TestFreePortsDiffer(t *testing.T) {
	seen := map[uint16]bool{}
	for range 2000 {
		port := freePort()
		require.False(t, seen[port], "port %d was returned twice", port)
		seen[port] = true
	}
}
