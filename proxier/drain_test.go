package proxier

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTrackerWaitsForRequestsInProgress guards against a stop that does not wait for a request in progress, and against
// requests that start after it.
func TestTrackerWaitsForRequestsInProgress(t *testing.T) {
	tracker := newRequestTracker()
	require.True(t, tracker.begin())
	idle := tracker.close()
	require.False(t, tracker.begin())
	select {
	case <-idle:
		require.Fail(t, "the tracker is idle while a request is in progress")
	default:
	}
	tracker.end()
	<-idle
}
