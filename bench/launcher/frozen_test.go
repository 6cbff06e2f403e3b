package launcher_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// Guards against an agent that, after it was frozen for longer than its lease, does not become a member again or loses
// packets between its old and its new incarnation.
func TestFrozenAgentReturns(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	frozen := service.Name + "-1"
	require.NoError(t, s.Signal(frozen, syscall.SIGSTOP))
	require.NoError(t, s.WaitForState(t.Context(), frozen, cherviltide.StateDead))
	require.NoError(t, s.Signal(frozen, syscall.SIGCONT))
	require.NoError(t, s.WaitForState(t.Context(), frozen, cherviltide.StateActive))
	answered := 0
	for range 60 {
		response, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, response.Complete)
		if response.Target == frozen {
			answered++
		}
	}
	require.Positive(t, answered, "the target of the continued agent responded to no request")
}
