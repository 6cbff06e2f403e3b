package sprayer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/runner"
)

// healthInterval is the time between two health checks of an entry. They model the link checks of a network fabric.
const healthInterval = 100 * time.Millisecond

// icmpTimeout is how long a health check waits for the ICMP error of a closed port.
const icmpTimeout = 5 * time.Millisecond

// healthChecker checks which entries receive datagrams.
type healthChecker struct {
	ports []uint16
	// healthy has the indexes in ports of the entries that are up. The slice is replaced, not changed, and is never empty.
	healthy atomic.Pointer[[]int]
}

func newHealthChecker(ports []uint16) *healthChecker {
	h := &healthChecker{ports: ports}
	all := make([]int, len(ports))
	for i := range all {
		all[i] = i
	}
	h.healthy.Store(&all)
	return h
}

// run checks the entries until ctx is done.
func (h *healthChecker) run(ctx context.Context) error {
	var probes []*net.UDPConn
	for _, port := range h.ports {
		conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), port)))
		if err != nil {
			return errors.Trace(err)
		}
		defer func() { _ = conn.Close() }()
		probes = append(probes, conn)
	}
	return runner.Every(ctx, healthInterval, func() { h.check(probes) })
}

// check sends a datagram to each entry and removes the entries whose ports are closed, unless all of them are.
func (h *healthChecker) check(probes []*net.UDPConn) {
	var healthy []int
	for i, conn := range probes {
		if isPortOpen(conn) {
			healthy = append(healthy, i)
		}
	}
	if len(healthy) > 0 {
		h.healthy.Store(&healthy)
	}
}

// isPortOpen reports whether a datagram causes no ICMP error within icmpTimeout. If the error of an earlier datagram
// arrives later, the next write returns it.
func isPortOpen(conn *net.UDPConn) bool {
	if _, err := conn.Write([]byte{0}); err != nil {
		return false
	}
	var b [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(icmpTimeout))
	_, err := conn.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}
