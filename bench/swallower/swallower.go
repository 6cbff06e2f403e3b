// Package swallower forwards TCP connections and can make open ones go silent while new ones work, as a device between
// two ends does that has lost its state.
package swallower

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"
)

// Swallower forwards the connections to one address to another one.
type Swallower struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is a forwarded connection.
type pair struct {
	caller, target net.Conn
	silent         atomic.Bool
}

// Listen opens a port on the loopback whose connections Run forwards to the target.
func Listen(target string) (*Swallower, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Swallower{listener: listener, target: target, pairs: map[*pair]struct{}{}}, nil
}

// Address returns the address that callers dial.
func (s *Swallower) Address() string {
	return s.listener.Addr().String()
}

// Run forwards until ctx ends, then closes all connections.
func (s *Swallower) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = s.listener.Close() })()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		caller, err := s.listener.Accept()
		if ctx.Err() != nil {
			s.close()
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		target, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		p := &pair{caller: caller, target: target}
		s.mu.Lock()
		s.pairs[p] = struct{}{}
		s.mu.Unlock()
		running.Go(func() { s.forward(p) })
	}
}

// Silence swallows all bytes on the connections that are open now, in both directions, without closing them. It returns
// their number.
func (s *Swallower) Silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		p.silent.Store(true)
	}
	return len(s.pairs)
}

func (s *Swallower) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		_, _ = p.caller.Close(), p.target.Close()
	}
}

// forward copies both directions until both have ended. The end of one side closes the other unless the pair is silent.
func (s *Swallower) forward(p *pair) {
	var both sync.WaitGroup
	both.Go(func() { p.copy(p.target, p.caller) })
	both.Go(func() { p.copy(p.caller, p.target) })
	both.Wait()
	_, _ = p.caller.Close(), p.target.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pairs, p)
}

func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			n = 0
		}
		if _, failed := to.Write(buffer[:n]); failed != nil && err == nil {
			err = failed
		}
		if err == nil {
			continue
		}
		if !p.silent.Load() || !errors.Is(err, io.EOF) {
			_ = to.Close()
		}
		return
	}
}
