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

// healthInterval is the time between two health checks of an entry, as a fabric's link checks would do.
const healthInterval = 100 * time.Millisecond

// answerTime is how long a closed port may take to answer with an ICMP error.
const answerTime = 5 * time.Millisecond

// health knows which entries receive datagrams.
type health struct {
	ports []uint16
	// up is replaced as a whole and lists indexes of ports; it is never empty.
	up atomic.Pointer[[]int]
}

func newHealth(ports []uint16) *health {
	h := &health{ports: ports}
	all := make([]int, len(ports))
	for i := range all {
		all[i] = i
	}
	h.up.Store(&all)
	return h
}

// run checks the entries until ctx ends.
func (h *health) run(ctx context.Context) error {
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

// check sends a datagram to each entry and takes away those whose port is closed.
func (h *health) check(probes []*net.UDPConn) {
	var up []int
	for i, conn := range probes {
		if open(conn) {
			up = append(up, i)
		}
	}
	if len(up) > 0 {
		h.up.Store(&up)
	}
}

// open reports whether no ICMP error answers a datagram within a short time. The error of an earlier datagram is
// returned by the write.
func open(conn *net.UDPConn) bool {
	if _, err := conn.Write([]byte{0}); err != nil {
		return false
	}
	var b [1]byte
	_ = conn.SetReadDeadline(time.Now().Add(answerTime))
	_, err := conn.Read(b[:])
	return errors.Is(err, os.ErrDeadlineExceeded)
}
