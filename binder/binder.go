// Package binder binds UDP sockets.
package binder

import (
	"errors"
	"net"
	"net/netip"
)

// ListenUDP binds a socket to an IPv4 address. buffer is the size of its receive and of its send buffer, in bytes.
func ListenUDP(address netip.AddrPort, buffer int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(conn.SetReadBuffer(buffer), conn.SetWriteBuffer(buffer)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
