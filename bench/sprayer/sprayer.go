// Package sprayer simulates the network fabric: it forwards each datagram of a caller to a random entry that is up.
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
	maxDatagramSize  = 65535
	socketBufferSize = 4 << 20
)

// Sprayer forwards datagrams between callers and entries.
type Sprayer struct {
	// ports has the listening port of each entry; all entries use the virtual addresses.
	ports     []uint16
	listeners []*virtualListener
	// DatagramsSent counts the datagrams sent to each entry.
	DatagramsSent []atomic.Uint64
	random        func(n int) int
	health        *healthChecker
}

// virtualListener receives the datagrams of callers at one virtual address.
type virtualListener struct {
	virtual netip.AddrPort
	conn    *net.UDPConn
	mu      sync.Mutex
	// callers has a socket for each caller, so that all entries receive its datagrams from the same address.
	callers map[netip.AddrPort]*net.UDPConn
}

// Listen opens sockets at the virtual addresses. The seed makes the choice of entries repeatable.
func Listen(virtual []netip.AddrPort, ports []uint16, seed uint64) (*Sprayer, error) {
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(seed, seed))
	s := &Sprayer{ports: ports, DatagramsSent: make([]atomic.Uint64, len(ports)), health: newHealthChecker(ports)}
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
		_ = conn.SetReadBuffer(socketBufferSize)
		s.listeners = append(s.listeners, &virtualListener{virtual: v, conn: conn, callers: map[netip.AddrPort]*net.UDPConn{}})
	}
	return s, nil
}

// Run forwards datagrams until ctx is done.
func (s *Sprayer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	group := runner.NewGroup(ctx, len(s.listeners)+1)
	group.Go("health", s.health.run)
	for _, l := range s.listeners {
		group.Go("front", func(ctx context.Context) error { return s.forwardToEntries(ctx, l) })
	}
	return group.Wait()
}

func (s *Sprayer) close() {
	for _, l := range s.listeners {
		_ = l.conn.Close()
		l.mu.Lock()
		for _, c := range l.callers {
			_ = c.Close()
		}
		l.mu.Unlock()
	}
}

func (s *Sprayer) forwardToEntries(ctx context.Context, l *virtualListener) error {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, caller, err := l.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Trace(err)
		}
		conn, err := l.callerSocket(caller)
		if err != nil {
			return errors.Trace(err)
		}
		healthy := *s.health.healthy.Load()
		entry := healthy[s.random(len(healthy))]
		s.DatagramsSent[entry].Add(1)
		_, _ = conn.WriteToUDPAddrPort(buffer[:n], netip.AddrPortFrom(l.virtual.Addr(), s.ports[entry]))
	}
}

// callerSocket returns the socket of a caller, and opens it for the caller's first datagram.
func (l *virtualListener) callerSocket(caller netip.AddrPort) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn, ok := l.callers[caller]; ok {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBufferSize)
	l.callers[caller] = conn
	go l.forwardToCaller(conn, caller)
	return conn, nil
}

// forwardToCaller forwards the datagrams of entries to the caller until the socket is closed.
func (l *virtualListener) forwardToCaller(conn *net.UDPConn, caller netip.AddrPort) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			return
		}
		_, _ = l.conn.WriteToUDPAddrPort(buffer[:n], caller)
	}
}
