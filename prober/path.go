package prober

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

// lagLimit is how long the data path may decide with an older revision than the process has received.
const lagLimit cherviltide.Millis = 2_000

// Reasons why a data path is not ready.
var (
	errClosed  = errors.New("the sockets of the data path are not open")
	errNone    = errors.New("no revision is in force in the data path")
	errLeaving = errors.New("the process is leaving")
)

// Path judges the data path of an entry or an agent. It is safe for concurrent use.
type Path struct {
	// Seen is the newest revision that the process has received; InForce is the one that decided its last packet.
	Seen, InForce func() uint64
	Leaving       func() bool
	Clock         cherviltide.Clock

	// closed counts the parts of the data path that have ended, open those that run.
	open, closed atomic.Int64
	mu           sync.Mutex
	// behind is a revision that was seen, but not in force, at the time since.
	behind uint64
	since  cherviltide.Millis
}

// Watch returns run with a note of when it runs. The sockets must be open when it starts.
func (p *Path) Watch(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		p.open.Add(1)
		defer p.closed.Add(1)
		return run(ctx)
	}
}

// Ready returns nil while the data path takes packets and decides with a revision that is not outdated.
func (p *Path) Ready(context.Context) error {
	seen, inForce := p.Seen(), p.InForce()
	switch {
	case p.open.Load() == 0 || p.closed.Load() > 0:
		return errClosed
	case p.Leaving():
		return errLeaving
	case inForce == 0:
		return errNone
	}
	return p.lag(seen, inForce)
}

// lag returns an error when a revision has been seen for too long without coming into force.
func (p *Path) lag(seen, inForce uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if p.behind <= inForce {
		p.behind, p.since = seen, now
	}
	if p.behind > inForce && now-p.since > lagLimit {
		return fmt.Errorf("revision %d is in force in the data path, revision %d was received %d ms ago", inForce, p.behind, now-p.since)
	}
	return nil
}
