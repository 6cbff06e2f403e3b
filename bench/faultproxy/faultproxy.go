// Package faultproxy is a fault-injecting TCP proxy. It can delay, block and reset connections, or turn open connections
// into black holes while new ones work, as a middlebox does that has lost its connection state.
package faultproxy

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Proxy forwards the connections to its address to a target. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections map[*connection]struct{}
	conditions  atomic.Pointer[Conditions]
	closed      atomic.Bool
}

// Conditions are the network conditions of all connections, open and new ones.
type Conditions struct {
	// Delay is added before each chunk that is forwarded.
	Delay time.Duration
	// BlockToTarget and BlockToCaller hold back the bytes of one direction until they are cleared, as a broken link does.
	BlockToTarget, BlockToCaller bool
}

// blockPollInterval is the time between two checks whether a direction is still blocked.
const blockPollInterval = 10 * time.Millisecond

// connection is a forwarded connection with its two ends.
type connection struct {
	caller, target net.Conn
	blackholed     atomic.Bool
}

// Listen listens on a loopback port whose connections Run forwards to the target.
func Listen(target string) (*Proxy, error) {
	return ListenAt("127.0.0.1:0", target)
}

// ListenAt listens on an address whose connections Run forwards to the target.
func ListenAt(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	p := &Proxy{listener: listener, target: target, connections: map[*connection]struct{}{}}
	p.SetConditions(Conditions{})
	return p, nil
}

// SetConditions replaces the conditions of all connections.
func (p *Proxy) SetConditions(c Conditions) { p.conditions.Store(&c) }

// ResetConnections resets both ends of the connections that are open now, and returns their number.
func (p *Proxy) ResetConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		for _, end := range []net.Conn{c.caller, c.target} {
			if conn, ok := end.(*net.TCPConn); ok {
				_ = conn.SetLinger(0)
			}
			_ = end.Close()
		}
	}
	return len(p.connections)
}

// Address returns the address that callers dial.
func (p *Proxy) Address() string {
	return p.listener.Addr().String()
}

// Run forwards connections until ctx ends, then closes all of them.
func (p *Proxy) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { _ = p.listener.Close() })()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		caller, err := p.listener.Accept()
		if ctx.Err() != nil {
			p.close()
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		c := &connection{caller: caller, target: target}
		p.mu.Lock()
		p.connections[c] = struct{}{}
		p.mu.Unlock()
		running.Go(func() { p.forward(c) })
	}
}

// Blackhole turns the connections that are open now into black holes: their bytes are dropped in both directions, but they
// stay open. It returns their number.
func (p *Proxy) Blackhole() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.blackholed.Store(true)
	}
	return len(p.connections)
}

func (p *Proxy) close() {
	p.closed.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		_, _ = c.caller.Close(), c.target.Close()
	}
}

// forward copies both directions until both have ended. The end of one side closes the other unless the connection is a
// black hole.
func (p *Proxy) forward(c *connection) {
	var directions sync.WaitGroup
	directions.Go(func() { c.copy(c.target, c.caller, p.waitToTarget) })
	directions.Go(func() { c.copy(c.caller, c.target, p.waitToCaller) })
	directions.Wait()
	_, _ = c.caller.Close(), c.target.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.connections, c)
}

// waitToTarget returns when bytes may be sent to the target.
func (p *Proxy) waitToTarget() {
	p.waitUntilUnblocked(func(c *Conditions) bool { return c.BlockToTarget })
}

// waitToCaller returns when bytes may be sent to the caller.
func (p *Proxy) waitToCaller() {
	p.waitUntilUnblocked(func(c *Conditions) bool { return c.BlockToCaller })
}

func (p *Proxy) waitUntilUnblocked(blocked func(*Conditions) bool) {
	time.Sleep(p.conditions.Load().Delay)
	for blocked(p.conditions.Load()) && !p.closed.Load() {
		time.Sleep(blockPollInterval)
	}
}

func (c *connection) copy(to, from net.Conn, waitToSend func()) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		waitToSend()
		if c.blackholed.Load() {
			n = 0
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil && err == nil {
			err = writeErr
		}
		if err == nil {
			continue
		}
		if !c.blackholed.Load() || !errors.Is(err, io.EOF) {
			_ = to.Close()
		}
		return
	}
}
