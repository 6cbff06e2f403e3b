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

// allocated has the ports that freePort has returned. A system allocates about 45 ports before its processes open them, so
// without this set about one start in twenty gave the same port to two processes.
var allocated sync.Map

// freePort returns a port that is free for TCP and UDP on all addresses and that it has not returned before.
func freePort() uint16 {
	for {
		port := minPort + rand.IntN(maxPort-minPort)
		if _, taken := allocated.Load(port); taken || !isFree(port) {
			continue
		}
		if _, taken := allocated.LoadOrStore(port, true); !taken {
			return uint16(port)
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
