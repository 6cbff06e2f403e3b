package launcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// minPort and maxPort bound the ports of the processes. They lie below the range of ephemeral ports, so that no outgoing
// connection takes a port before its process listens on it.
const minPort, maxPort = 10_000, 32_000

// portsPerBlock is the number of ports that a process claims at once.
const portsPerBlock = 250

// ports allocates the ports of the processes that this one starts.
var ports portAllocator

// freePort returns a port that is free for TCP and UDP on all addresses and that neither this process nor another one has allocated.
func freePort() uint16 {
	return ports.allocate()
}

// portAllocator allocates ports from blocks that it claims. A system allocates about 45 ports before its processes open them, and tests run
// several systems in processes of their own, so it is not enough that a port is free. It is safe for concurrent use.
type portAllocator struct {
	mu sync.Mutex
	// claims listen on the first port of each claimed block until the process ends, so that no other allocator claims it.
	claims []net.Listener
	// next and end bound the ports of the newest block that are not allocated yet.
	next, end int
}

func (a *portAllocator) allocate() uint16 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		if a.next == a.end {
			a.claimBlock()
		}
		port := a.next
		a.next++
		if isFree(port) {
			return uint16(port)
		}
	}
}

// claimBlock claims a block that no allocator has claimed.
func (a *portAllocator) claimBlock() {
	for {
		first := minPort + rand.IntN((maxPort-minPort)/portsPerBlock)*portsPerBlock
		claim, err := net.Listen("tcp4", fmt.Sprintf(":%d", first))
		if err == nil {
			a.claims, a.next, a.end = append(a.claims, claim), first+1, first+portsPerBlock
			return
		}
	}
}

func isFree(port int) bool {
	listener, err := net.Listen("tcp4", fmt.Sprintf(":%d", port))
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp4", fmt.Sprintf(":%d", port))
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
