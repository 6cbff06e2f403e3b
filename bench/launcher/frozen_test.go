package launcher_test

import (
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
)

// Guards against an agent that stays out, or loses packets between its incarnations, after it was frozen for longer than
// its lease.
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
		a, err := newCaller(t, s, s.Plan.Customer).Get(t.Context(), s.URL(service), "/advisories/VECC", 2000)
		require.NoError(t, err)
		require.True(t, a.Whole)
		if a.Target == frozen {
			answered++
		}
	}
	require.Positive(t, answered, "the agent that returned answers nothing")
}
