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
	onceKeys     = 30
	onceSendings = 4
)

// sending is one request with a key and what became of it.
type sending struct {
	answer caller.Answer
	err    error
}

// sendOnce sends a key several times at once, each time on a flow of its own.
func sendOnce(t *testing.T, s *launcher.System, key string) []sending {
	t.Helper()
	sent := make([]sending, onceSendings)
	var all sync.WaitGroup
	for i := range sent {
		c := newCaller(t, s, s.Plan.Customer)
		all.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			url := s.URL(s.Plan.Services[advisory]) + "/acknowledgements/VECC"
			sent[i].answer, sent[i].err = c.Post(ctx, url, key, "seen")
		})
	}
	all.Wait()
	return sent
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// Guards against an acknowledgement that runs twice when it is resent on other flows while agents are killed, frozen and
// added, against one that ran although each sending was refused as not run, and against a confirmed one that did not run.
func TestAcknowledgementRunsOnce(t *testing.T) {
	s := startSystem(t)
	service := s.Plan.Services[advisory]
	require.Eventually(t, func() bool {
		return sendOnce(t, s, newKey())[0].answer.Status == http.StatusOK
	}, 30*time.Second, 100*time.Millisecond, "no home takes claims")
	confirmed := 0
	for i := range onceKeys {
		switch i {
		case 5:
			require.NoError(t, s.AddTarget(service, len(service.Speeds), service.Speeds[0]))
		case 10:
			require.NoError(t, s.Signal(service.Name+"-1", syscall.SIGSTOP))
		case 15:
			require.NoError(t, s.Signal(service.Name+"-2", syscall.SIGKILL))
		case 20:
			require.NoError(t, s.Signal(service.Name+"-1", syscall.SIGCONT))
		}
		key := newKey()
		if checkOnce(t, s, key, sendOnce(t, s, key)) {
			confirmed++
		}
	}
	t.Logf("%d of %d keys were confirmed", confirmed, onceKeys)
	require.NotZero(t, confirmed)
}

// checkOnce compares what callers were told about a key with what the targets did, and reports whether it was confirmed.
func checkOnce(t *testing.T, s *launcher.System, key string, sent []sending) bool {
	t.Helper()
	runs, err := s.Runs(t.Context(), key)
	require.NoError(t, err)
	total := 0
	for _, n := range runs {
		total += n
	}
	confirmed, refused := false, 0
	for _, x := range sent {
		switch {
		case x.err == nil && x.answer.Status == http.StatusOK:
			confirmed = true
		case x.err == nil && x.answer.Outcome == string(cherviltide.OutcomeRefused):
			refused++
		}
	}
	require.LessOrEqual(t, total, 1, "key %s ran on %v: %+v", key, runs, sent)
	if confirmed {
		require.Equal(t, 1, total, "key %s was confirmed: %+v", key, sent)
	}
	if refused == len(sent) {
		require.Zero(t, total, "key %s was refused each time: %+v", key, sent)
	}
	return confirmed
}
