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
	pktinfoSource      = unix.SizeofCmsghdr + 4 // ipi_spec_dst
	pktinfoDestination = unix.SizeofCmsghdr + 8 // ipi_addr
	pktinfoEnd         = unix.SizeofCmsghdr + unix.SizeofInet4Pktinfo
)

// destinationAddress returns the virtual address of a received datagram: the IP address from its control messages and
// the given port.
func destinationAddress(oob []byte, port uint16) (netip.AddrPort, bool) {
	if len(oob) < pktinfoEnd {
		return netip.AddrPort{}, false
	}
	level := binary.NativeEndian.Uint32(oob[8:])
	kind := binary.NativeEndian.Uint32(oob[12:])
	if level != unix.IPPROTO_IP || kind != unix.IP_PKTINFO {
		return netip.AddrPort{}, false
	}
	ip := netip.AddrFrom4([4]byte(oob[pktinfoDestination:pktinfoEnd]))
	return netip.AddrPortFrom(ip, port), true
}

// putSourceControl writes a control message that sets the source address of a datagram into b. It returns the part of b
// that it used.
func putSourceControl(b []byte, source netip.Addr) []byte {
	b = b[:unix.CmsgSpace(unix.SizeofInet4Pktinfo)]
	clear(b)
	binary.NativeEndian.PutUint64(b, unix.SizeofCmsghdr+unix.SizeofInet4Pktinfo)
	binary.NativeEndian.PutUint32(b[8:], unix.IPPROTO_IP)
	binary.NativeEndian.PutUint32(b[12:], unix.IP_PKTINFO)
	ip := source.As4()
	copy(b[pktinfoSource:], ip[:])
	return b
}

// enablePacketInfo makes a socket report the destination address of each datagram in a control message.
func enablePacketInfo(conn *net.UDPConn) error {
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
