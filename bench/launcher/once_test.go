package launcher_test

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/bench/caller"
	"cherviltide.example/cherviltide/bench/launcher"
)

const (
	keyCount       = 30
	attemptsPerKey = 4
)

// attempt is the result of one request with an idempotency key.
type attempt struct {
	response caller.Response
	err      error
}

// sendConcurrently sends several requests with the same key at the same time, each on its own flow.
func sendConcurrently(t *testing.T, s *launcher.System, key string) []attempt {
	t.Helper()
	attempts := make([]attempt, attemptsPerKey)
	var running sync.WaitGroup
	for i := range attempts {
		c := newCaller(t, s, s.Plan.Customer)
		running.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			url := s.URL(s.Plan.Services[advisory]) + "/acknowledgements/VECC"
			attempts[i].response, attempts[i].err = c.Post(ctx, url, key, "seen")
		})
	}
	running.Wait()
	return attempts
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// Guards against an acknowledgement that is executed twice when it is sent again on other flows while agents are killed,
// frozen and added, against one that is executed although each attempt was refused as not executed, and against a
// confirmed one that was not executed.
func TestAcknowledgementRunsOnce(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	require.Eventually(t, func() bool {
		return sendConcurrently(t, s, newKey())[0].response.Status == http.StatusOK
	}, 30*time.Second, 100*time.Millisecond, "no home agent grants claims")
	confirmed := 0
	for i := range keyCount {
		switch i {
		case 5:
			require.NoError(t, s.AddTarget(service, len(service.ServiceTimes), service.ServiceTimes[0]))
			_, err := s.Executions(t.Context(), newKey())
			require.NoError(t, err, "the added target does not answer")
		case 10:
			require.NoError(t, s.Signal(service.Name+"-1", syscall.SIGSTOP))
		case 15:
			require.NoError(t, s.Signal(service.Name+"-2", syscall.SIGKILL))
		case 20:
			require.NoError(t, s.Signal(service.Name+"-1", syscall.SIGCONT))
		}
		key := newKey()
		if checkExecutedOnce(t, s, key, sendConcurrently(t, s, key)) {
			confirmed++
		}
	}
	t.Logf("%d of %d keys were confirmed", confirmed, keyCount)
	require.NotZero(t, confirmed)
}

// checkExecutedOnce compares the responses for a key with its executions by the targets, and reports whether it was
// confirmed.
func checkExecutedOnce(t *testing.T, s *launcher.System, key string, attempts []attempt) bool {
	t.Helper()
	executions, err := s.Executions(t.Context(), key)
	require.NoError(t, err)
	total := 0
	for _, n := range executions {
		total += n
	}
	confirmed, refused := false, 0
	for _, result := range attempts {
		switch {
		case result.err == nil && result.response.Status == http.StatusOK:
			confirmed = true
		case result.err == nil && result.response.Outcome == string(cherviltide.OutcomeRefused):
			refused++
		}
	}
	require.LessOrEqual(t, total, 1, "key %s was executed by %v: %+v", key, executions, attempts)
	if confirmed {
		require.Equal(t, 1, total, "key %s was confirmed: %+v", key, attempts)
	}
	if refused == len(attempts) {
		require.Zero(t, total, "key %s was refused at each attempt: %+v", key, attempts)
	}
	return confirmed
}
