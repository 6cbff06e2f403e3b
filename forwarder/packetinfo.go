package forwarder

import (
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"syscall"

	"golang.org/x/sys/unix"
)

// Layout of an IP_PKTINFO control message, in bytes.
const (
	infoSource      = unix.SizeofCmsghdr + 4 // ipi_spec_dst
	infoDestination = unix.SizeofCmsghdr + 8 // ipi_addr
	infoEnd         = unix.SizeofCmsghdr + unix.SizeofInet4Pktinfo
)

// destination returns the virtual address from the control messages of a received datagram.
func destination(oob []byte, port uint16) (netip.AddrPort, bool) {
	if len(oob) < infoEnd {
		return netip.AddrPort{}, false
	}
	level := binary.NativeEndian.Uint32(oob[8:])
	kind := binary.NativeEndian.Uint32(oob[12:])
	if level != unix.IPPROTO_IP || kind != unix.IP_PKTINFO {
		return netip.AddrPort{}, false
	}
	ip := netip.AddrFrom4([4]byte(oob[infoDestination:infoEnd]))
	return netip.AddrPortFrom(ip, port), true
}

// sourceControl writes a control message into b that sets the source address of a datagram.
func sourceControl(b []byte, source netip.Addr) []byte {
	b = b[:unix.CmsgSpace(unix.SizeofInet4Pktinfo)]
	clear(b)
	binary.NativeEndian.PutUint64(b, unix.SizeofCmsghdr+unix.SizeofInet4Pktinfo)
	binary.NativeEndian.PutUint32(b[8:], unix.IPPROTO_IP)
	binary.NativeEndian.PutUint32(b[12:], unix.IP_PKTINFO)
	ip := source.As4()
	copy(b[infoSource:], ip[:])
	return b
}

// setPacketInfo lets a socket tell the destination address of each datagram.
func setPacketInfo(conn *net.UDPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, syscall.IP_PKTINFO, 1)
	})
	return errors.Join(err, optionErr)
}
