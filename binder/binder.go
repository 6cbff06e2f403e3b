// Package binder opens UDP sockets with given buffer sizes.
package binder

import (
	"errors"
	"net"
	"net/netip"
)

// ListenUDP binds a socket to an IPv4 address. bufferSize is the size of its receive buffer and of its send buffer, in
// bytes.
func ListenUDP(address netip.AddrPort, bufferSize int) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	if err := errors.Join(conn.SetReadBuffer(bufferSize), conn.SetWriteBuffer(bufferSize)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}
