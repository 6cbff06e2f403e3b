package proxier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that does not wait for a request in progress, and against requests that start after it.
func TestGateWaitsForRequestsInProgress(t *testing.T) {
	g := newGate()
	require.True(t, g.enter())
	empty := g.close()
	require.False(t, g.enter())
	select {
	case <-empty:
		require.Fail(t, "gate is empty while a request is in progress")
	default:
	}
	g.leave()
	<-empty
}
