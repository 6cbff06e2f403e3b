package proxier

import (
	"sync"
	"time"
)

// lingerTimeout is how long connections stay open after the last request has ended, so that callers can acknowledge the
// last packets of their responses or have them retransmitted.
const lingerTimeout = 3 * time.Second

// requestTracker counts the requests in progress, and can be closed to new ones. It is safe for concurrent use.
type requestTracker struct {
	mu     sync.Mutex
	active int
	closed bool
	// idle is closed when the tracker is closed and no request is in progress.
	idle chan struct{}
}

func newRequestTracker() *requestTracker {
	return &requestTracker{idle: make(chan struct{})}
}

// begin reports whether a request may start. After each true result, end must be called once.
func (t *requestTracker) begin() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.active++
	return true
}

func (t *requestTracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active--
	t.signalIdle()
}

// close refuses new requests and returns a channel that is closed when no request is in progress.
func (t *requestTracker) close() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.closed = true
		t.signalIdle()
	}
	return t.idle
}

func (t *requestTracker) signalIdle() {
	if t.closed && t.active == 0 {
		close(t.idle)
	}
}
