package launcher

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// firstPort and lastPort bound the ports of the processes. They lie below the range from which the operating system gives
// ports to outgoing connections, so that none of them takes a port before its process.
const firstPort, lastPort = 10_000, 32_000

// given has the ports that freePort has returned. A system takes about 45 ports before its processes open them, so without
// it about one start in twenty gave one port to two processes.
var given sync.Map

// freePort returns a port that is free for TCP and UDP on all addresses and was not returned before.
func freePort() uint16 {
	for {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := given.Load(port); taken || !free(port) {
			continue
		}
		if _, taken := given.LoadOrStore(port, true); !taken {
			return uint16(port)
		}
	}
}

func free(port int) bool {
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
