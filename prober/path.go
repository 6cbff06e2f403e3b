package prober

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"cherviltide.example/cherviltide"
)

// maxRevisionLag is how long the data path may use an older revision than the process has received, in milliseconds.
const maxRevisionLag cherviltide.Millis = 2_000

// Reasons why a data path is not ready.
var (
	errNotOpen    = errors.New("the sockets of the data path are not open")
	errNoRevision = errors.New("no revision is in force in the data path")
	errLeaving    = errors.New("the process is leaving")
)

// DataPathCheck checks whether the data path of an entry or an agent is ready. It is safe for concurrent use.
type DataPathCheck struct {
	// RevisionSeen returns the newest revision that the process has received, RevisionInForce the one that the data path
	// used for its last packet.
	RevisionSeen, RevisionInForce func() uint64
	IsLeaving                     func() bool
	Clock                         cherviltide.Clock

	// started and ended count the parts of the data path that Track has seen start and end.
	started, ended atomic.Int64
	mu             sync.Mutex
	// pendingRevision is the received revision that checkLag waits for, pendingSince the time of the check that first saw
	// it.
	pendingRevision uint64
	pendingSince    cherviltide.Millis
}

// Track wraps run, which runs a part of the data path, so that Ready knows whether the part is running. The part's sockets
// must be open when run starts.
func (p *DataPathCheck) Track(run func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		p.started.Add(1)
		defer p.ended.Add(1)
		return run(ctx)
	}
}

// Ready returns nil while the data path receives packets and uses a revision that is not outdated.
func (p *DataPathCheck) Ready(context.Context) error {
	seen, inForce := p.RevisionSeen(), p.RevisionInForce()
	switch {
	case p.started.Load() == 0 || p.ended.Load() > 0:
		return errNotOpen
	case p.IsLeaving():
		return errLeaving
	case inForce == 0:
		return errNoRevision
	}
	return p.checkLag(seen, inForce)
}

// checkLag returns an error if a revision was received more than maxRevisionLag ago and is still not in force.
func (p *DataPathCheck) checkLag(seen, inForce uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	if p.pendingRevision <= inForce {
		p.pendingRevision, p.pendingSince = seen, now
	}
	if p.pendingRevision > inForce && now-p.pendingSince > maxRevisionLag {
		return fmt.Errorf("revision %d is in force in the data path, revision %d was received %d ms ago", inForce, p.pendingRevision, now-p.pendingSince)
	}
	return nil
}
