package proxier

import (
	"sync"
	"time"
)

// lingerTimeout is how long connections stay open after the last request has ended, so that callers can acknowledge and
// ask again for the last packets of their answers.
const lingerTimeout = 3 * time.Second

// gate counts the requests in progress and can be closed to new ones. It is safe for concurrent use.
type gate struct {
	mu     sync.Mutex
	active int
	closed bool
	// empty is closed when the gate is closed and no request is in progress.
	empty chan struct{}
}

func newGate() *gate {
	return &gate{empty: make(chan struct{})}
}

// enter reports whether a request may start. Each true result is followed by one call of leave.
func (g *gate) enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.active++
	return true
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.active--
	g.signal()
}

// close refuses new requests and returns a channel that is closed when none is in progress.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.closed = true
		g.signal()
	}
	return g.empty
}

func (g *gate) signal() {
	if g.closed && g.active == 0 {
		close(g.empty)
	}
}
