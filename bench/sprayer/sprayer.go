// Package sprayer stands in for the network fabric: it sends each datagram of a caller to a random entry that is up.
package sprayer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/runner"
)

const (
	maxDatagram  = 65535
	socketBuffer = 4 << 20
)

// Sprayer forwards datagrams between callers and entries.
type Sprayer struct {
	// ports are the entries' listening ports; entries share the virtual addresses.
	ports  []uint16
	fronts []*front
	// Sprayed counts the datagrams sent to each entry.
	Sprayed []atomic.Uint64
	random  func(n int) int
	health  *health
}

// front is one virtual address, as callers see it.
type front struct {
	virtual netip.AddrPort
	conn    *net.UDPConn
	mu      sync.Mutex
	// callers has a socket for each caller, so that every entry sees the same caller address.
	callers map[netip.AddrPort]*net.UDPConn
}

// Listen opens the virtual addresses. The seed makes the choice of entries repeatable.
func Listen(virtual []netip.AddrPort, ports []uint16, seed uint64) (*Sprayer, error) {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, seed))
	s := &Sprayer{ports: ports, Sprayed: make([]atomic.Uint64, len(ports)), health: newHealth(ports)}
	s.random = func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return source.IntN(n)
	}
	for _, v := range virtual {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(v))
		if err != nil {
			s.close()
			return nil, errors.Annotatef(err, "listening on virtual address %s", v)
		}
		_ = conn.SetReadBuffer(socketBuffer)
		s.fronts = append(s.fronts, &front{virtual: v, conn: conn, callers: map[netip.AddrPort]*net.UDPConn{}})
	}
	return s, nil
}

// Run forwards until ctx ends.
func (s *Sprayer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	group := runner.NewGroup(ctx, len(s.fronts)+1)
	group.Go("health", s.health.run)
	for _, f := range s.fronts {
		group.Go("front", func(ctx context.Context) error { return s.spray(ctx, f) })
	}
	return group.Wait()
}

func (s *Sprayer) close() {
	for _, f := range s.fronts {
		_ = f.conn.Close()
		f.mu.Lock()
		for _, c := range f.callers {
			_ = c.Close()
		}
		f.mu.Unlock()
	}
}

func (s *Sprayer) spray(ctx context.Context, f *front) error {
	buffer := make([]byte, maxDatagram)
	for {
		n, caller, err := f.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		conn, err := f.socket(caller)
		if err != nil {
			return errors.Trace(err)
		}
		up := *s.health.up.Load()
		entry := up[s.random(len(up))]
		s.Sprayed[entry].Add(1)
		_, _ = conn.WriteToUDPAddrPort(buffer[:n], netip.AddrPortFrom(f.virtual.Addr(), s.ports[entry]))
	}
}

// socket returns the caller's socket and opens it on the caller's first datagram.
func (f *front) socket(caller netip.AddrPort) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn, ok := f.callers[caller]; ok {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBuffer)
	f.callers[caller] = conn
	go f.answer(conn, caller)
	return conn, nil
}

// answer sends entries' datagrams to the caller until the socket is closed.
func (f *front) answer(conn *net.UDPConn, caller netip.AddrPort) {
	buffer := make([]byte, maxDatagram)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_, _ = f.conn.WriteToUDPAddrPort(buffer[:n], caller)
	}
}
