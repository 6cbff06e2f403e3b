package coalescer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockedJob is a job that starts, waits, and returns a result or the end of its context.
type blockedJob struct {
	started, release chan struct{}
}

func newBlockedJob() blockedJob {
	return blockedJob{started: make(chan struct{}, 1), release: make(chan struct{})}
}

func (b blockedJob) run(ctx context.Context) (string, error) {
	b.started <- struct{}{}
	select {
	case <-b.release:
		return "done", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

var errNotExpected = errors.New("a second job was started")

func notExpected(context.Context) (string, error) { return "", errNotExpected }

// TestAbandonedJobGoesOn guards against a job that ends with its first caller, and against a later caller that starts the
// work from the beginning.
func TestAbandonedJobGoesOn(t *testing.T) {
	c := New[string, string](Config{MaxJobs: 2, MaxBytes: 10, Timeout: time.Minute})
	defer c.Close()
	job := newBlockedJob()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := c.Do(ctx, "a", 1, job.run)
	require.ErrorIs(t, err, ErrAbandoned)
	<-job.started
	results := make(chan string, 1)
	errs := make(chan error, 1)
	go func() {
		result, err := c.Do(t.Context(), "a", 1, notExpected)
		results <- result
		errs <- err
	}()
	require.Eventually(t, func() bool { return c.Counts().Joined == 1 }, time.Minute, time.Millisecond)
	close(job.release)
	require.Equal(t, "done", <-results)
	require.NoError(t, <-errs)
	require.Equal(t, Counts{Started: 1, Joined: 1, Abandoned: 1}, c.Counts())
	_, err = c.Do(t.Context(), "a", 1, notExpected)
	require.ErrorIs(t, err, errNotExpected, "the result of a job is not kept")
}

// TestBounds guards against callers who give up and repeat different requests until their jobs fill the memory.
func TestBounds(t *testing.T) {
	tests := map[string]struct {
		config Config
		// sizes are those of the jobs; the last one must be refused.
		sizes []int
	}{
		"number":       {Config{MaxJobs: 2, MaxBytes: 100}, []int{1, 1, 1}},
		"bytes":        {Config{MaxJobs: 9, MaxBytes: 100}, []int{60, 40, 1}},
		"one large":    {Config{MaxJobs: 9, MaxBytes: 100}, []int{101, 1}},
		"second large": {Config{MaxJobs: 9, MaxBytes: 100}, []int{1, 101}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			test.config.Timeout = time.Minute
			c := New[int, string](test.config)
			defer c.Close()
			job := newBlockedJob()
			gone, cancel := context.WithCancel(t.Context())
			cancel()
			last := len(test.sizes) - 1
			for key, size := range test.sizes[:last] {
				_, err := c.Do(gone, key, size, job.run)
				require.ErrorIs(t, err, ErrAbandoned)
				<-job.started
			}
			_, err := c.Do(t.Context(), last, test.sizes[last], notExpected)
			require.ErrorIs(t, err, ErrTooManyJobs)
			require.EqualValues(t, 1, c.Counts().Refused)
			close(job.release)
			require.Eventually(t, func() bool {
				_, err := c.Do(t.Context(), last, test.sizes[last], func(context.Context) (string, error) { return "", nil })
				return err == nil
			}, time.Minute, time.Millisecond, "ended jobs still count")
		})
	}
}

// TestEndsOfJobs guards against a job without an end: it stops at its timeout, and when its process stops.
func TestEndsOfJobs(t *testing.T) {
	c := New[string, string](Config{MaxJobs: 2, MaxBytes: 10, Timeout: time.Millisecond})
	_, err := c.Do(t.Context(), "a", 1, newBlockedJob().run)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	c.Close()
	c = New[string, string](Config{MaxJobs: 2, MaxBytes: 10, Timeout: time.Minute})
	job, errs := newBlockedJob(), make(chan error, 1)
	go func() {
		_, err := c.Do(t.Context(), "a", 1, job.run)
		errs <- err
	}()
	<-job.started
	c.Close()
	require.ErrorIs(t, <-errs, context.Canceled)
	_, err = c.Do(t.Context(), "b", 1, notExpected)
	require.ErrorIs(t, err, errClosed)
}

// TestPanicOfJob guards against a request that ends the process.
func TestPanicOfJob(t *testing.T) {
	c := New[string, string](Config{MaxJobs: 1, MaxBytes: 10, Timeout: time.Minute})
	defer c.Close()
	_, err := c.Do(t.Context(), "a", 1, func(context.Context) (string, error) { panic("malformed") })
	require.ErrorIs(t, err, errPanic)
	require.ErrorContains(t, err, "malformed")
	result, err := c.Do(t.Context(), "a", 1, func(context.Context) (string, error) { return "next", nil })
	require.NoError(t, err)
	require.Equal(t, "next", result)
}
