// Package swallower forwards TCP connections and can delay, cut and reset them, or make open ones go silent while new ones
// work, as a device between two ends does that has lost its state.
package swallower

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Swallower forwards the connections to one address to another one.
type Swallower struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	pairs   map[*pair]struct{}
	conduct atomic.Pointer[Conduct]
	closed  atomic.Bool
}

// Conduct is what happens to the bytes of all connections, open and new ones.
type Conduct struct {
	// Delay is added before each piece that is forwarded.
	Delay time.Duration
	// CutToTarget and CutToCaller hold the bytes of one direction back until the cut ends, as a broken link does.
	CutToTarget, CutToCaller bool
}

// cutPoll is the time between two looks at whether a cut has ended.
const cutPoll = 10 * time.Millisecond

// pair is a forwarded connection.
type pair struct {
	caller, target net.Conn
	silent         atomic.Bool
}

// Listen opens a port on the loopback whose connections Run forwards to the target.
func Listen(target string) (*Swallower, error) {
	return ListenAt("127.0.0.1:0", target)
}

// ListenAt opens an address whose connections Run forwards to the target.
func ListenAt(address, target string) (*Swallower, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	s := &Swallower{listener: listener, target: target, pairs: map[*pair]struct{}{}}
	s.Set(Conduct{})
	return s, nil
}

// Set changes what happens to the bytes of all connections.
func (s *Swallower) Set(c Conduct) { s.conduct.Store(&c) }

// Reset ends the connections that are open now with a reset at both ends, and returns their number.
func (s *Swallower) Reset() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		for _, end := range []net.Conn{p.caller, p.target} {
			if conn, ok := end.(*net.TCPConn); ok {
				_ = conn.SetLinger(0)
			}
			_ = end.Close()
		}
	}
	return len(s.pairs)
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
	s.closed.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for p := range s.pairs {
		_, _ = p.caller.Close(), p.target.Close()
	}
}

// forward copies both directions until both have ended. The end of one side closes the other unless the pair is silent.
func (s *Swallower) forward(p *pair) {
	var both sync.WaitGroup
	both.Go(func() { p.copy(p.target, p.caller, s.toTarget) })
	both.Go(func() { p.copy(p.caller, p.target, s.toCaller) })
	both.Wait()
	_, _ = p.caller.Close(), p.target.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pairs, p)
}

// toTarget returns when bytes to the target may pass.
func (s *Swallower) toTarget() { s.hold(func(c *Conduct) bool { return c.CutToTarget }) }

// toCaller returns when bytes to the caller may pass.
func (s *Swallower) toCaller() { s.hold(func(c *Conduct) bool { return c.CutToCaller }) }

func (s *Swallower) hold(cut func(*Conduct) bool) {
	time.Sleep(s.conduct.Load().Delay)
	for cut(s.conduct.Load()) && !s.closed.Load() {
		time.Sleep(cutPoll)
	}
}

func (p *pair) copy(to, from net.Conn, wait func()) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		wait()
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
