package forwarder

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Batches use recvmmsg and sendmmsg directly, because golang.org/x/net/ipv4 allocates an address for each datagram.
const (
	// batchSize is the number of datagrams of one system call.
	batchSize = 32
	// slotSize is the memory of one datagram with its header, in bytes; relaySlotSize that of a packet of a relayed flow,
	// which fits an Ethernet frame.
	slotSize      = 1 << 16
	relaySlotSize = 2 << 10
	// controlSize has room for the control messages of one datagram, in bytes.
	controlSize = 64
)

// message is the kernel's struct mmsghdr.
type message struct {
	header unix.Msghdr
	length uint32
}

// batch is the memory of one batched system call on a UDP socket over IPv4.
type batch struct {
	raw      syscall.RawConn
	messages [batchSize]message
	vectors  [batchSize]unix.Iovec
	names    [batchSize]unix.RawSockaddrInet4
	controls [batchSize][controlSize]byte
}

func newBatch(conn *net.UDPConn) (*batch, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	b := &batch{raw: raw}
	for i := range b.messages {
		h := &b.messages[i].header
		h.Name = (*byte)(unsafe.Pointer(&b.names[i]))
		h.Namelen = unix.SizeofSockaddrInet4
		h.Iov = &b.vectors[i]
		h.SetIovlen(1)
		h.Control = &b.controls[i][0]
	}
	return b, nil
}

// call runs a batched system call on n messages from the given one on, and returns the number of messages it took.
func (b *batch) call(trap, fd uintptr, from, n int) (int, syscall.Errno) {
	for {
		first := uintptr(unsafe.Pointer(&b.messages[from]))
		done, _, errno := unix.Syscall6(trap, fd, first, uintptr(n), unix.MSG_DONTWAIT, 0, 0)
		if errno != unix.EINTR {
			return int(done), errno
		}
	}
}

// receiver reads batches of datagrams.
type receiver struct {
	*batch
	// room is kept free before each datagram, in bytes.
	room int
	// size is the memory of one datagram with its header, in bytes.
	size    int
	slots   []byte
	n       int
	errno   syscall.Errno
	receive func(fd uintptr) bool
}

func newReceiver(conn *net.UDPConn, room, size int) (*receiver, error) {
	b, err := newBatch(conn)
	if err != nil {
		return nil, err
	}
	r := &receiver{batch: b, room: room, size: size, slots: make([]byte, batchSize*size)}
	for i := range b.vectors {
		slot := r.slot(i)[room:]
		b.vectors[i].Base = &slot[0]
		b.vectors[i].SetLen(len(slot))
	}
	r.receive = func(fd uintptr) bool {
		r.n, r.errno = r.call(unix.SYS_RECVMMSG, fd, 0, batchSize)
		return r.errno != unix.EAGAIN
	}
	return r, nil
}

// read waits for datagrams and returns their number.
func (r *receiver) read() (int, error) {
	for i := range r.messages {
		h := &r.messages[i].header
		h.Namelen = unix.SizeofSockaddrInet4
		h.SetControllen(controlSize)
	}
	if err := r.raw.Read(r.receive); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.n, nil
}

// slot returns the memory of a datagram, with the room before it.
func (r *receiver) slot(i int) []byte {
	return r.slots[i*r.size : (i+1)*r.size]
}

// length returns the length of a datagram, in bytes.
func (r *receiver) length(i int) int {
	return int(r.messages[i].length)
}

// source returns the sender of a datagram.
func (r *receiver) source(i int) netip.AddrPort {
	name := &r.names[i]
	port := (*[2]byte)(unsafe.Pointer(&name.Port))
	return netip.AddrPortFrom(netip.AddrFrom4(name.Addr), binary.BigEndian.Uint16(port[:]))
}

// control returns the control messages of a datagram.
func (r *receiver) control(i int) []byte {
	return r.controls[i][:min(int(r.messages[i].header.Controllen), controlSize)]
}

// sender writes batches of datagrams.
type sender struct {
	*batch
	n int
	// good and failed count the datagrams of the last flush.
	good, failed int
	lastError    syscall.Errno
	done         int
	errno        syscall.Errno
	send         func(fd uintptr) bool
}

func newSender(conn *net.UDPConn) (*sender, error) {
	b, err := newBatch(conn)
	if err != nil {
		return nil, err
	}
	s := &sender{batch: b}
	s.send = func(fd uintptr) bool {
		s.done, s.errno = s.call(unix.SYS_SENDMMSG, fd, s.good+s.failed, s.n-s.good-s.failed)
		return s.errno != unix.EAGAIN
	}
	return s, nil
}

// add queues a datagram, which must stay unchanged until the flush. A valid source address replaces the socket's.
// There is room for batchSize datagrams.
func (s *sender) add(datagram []byte, to netip.AddrPort, source netip.Addr) {
	i := s.n
	s.n++
	s.vectors[i].Base = &datagram[0]
	s.vectors[i].SetLen(len(datagram))
	name := &s.names[i]
	name.Family = unix.AF_INET
	name.Addr = to.Addr().As4()
	port := (*[2]byte)(unsafe.Pointer(&name.Port))
	binary.BigEndian.PutUint16(port[:], to.Port())
	h := &s.messages[i].header
	h.SetControllen(0)
	if source.IsValid() {
		h.SetControllen(len(sourceControl(s.controls[i][:], source)))
	}
}

// flush sends the queued datagrams. A datagram that the system refuses is counted and does not stop the others. The
// error is that of the socket, as when it is closed.
func (s *sender) flush() error {
	s.good, s.failed = 0, 0
	for s.good+s.failed < s.n {
		if err := s.raw.Write(s.send); err != nil {
			s.failed = s.n - s.good
			s.n = 0
			return err
		}
		if s.errno != 0 {
			s.failed++
			s.lastError = s.errno
			continue
		}
		s.good += s.done
	}
	s.n = 0
	return nil
}
