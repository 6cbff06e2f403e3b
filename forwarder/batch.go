package forwarder

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// Batches call recvmmsg and sendmmsg directly, because golang.org/x/net/ipv4 allocates an address for each datagram.
const (
	// batchSize is the highest number of datagrams in one system call.
	batchSize = 32
	// datagramBufferSize is the memory of one datagram with its header, in bytes; relayBufferSize that of a packet of a
	// relayed flow, which fits an Ethernet frame.
	datagramBufferSize = 1 << 16
	relayBufferSize    = 2 << 10
	// controlSize is the memory for the control messages of one datagram, in bytes.
	controlSize = 64
)

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	header unix.Msghdr
	length uint32
}

// batch is the memory of a batched system call on a UDP socket over IPv4.
type batch struct {
	raw      syscall.RawConn
	messages [batchSize]mmsghdr
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

// systemCall runs a batched system call on n messages, beginning with the given one. It returns the number of messages
// that the kernel processed.
func (b *batch) systemCall(trap, fd uintptr, from, n int) (int, syscall.Errno) {
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
	// headroom is the number of bytes kept free before each datagram.
	headroom int
	// bufferSize is the memory of one datagram with its headroom, in bytes.
	bufferSize   int
	buffers      []byte
	received     int
	errno        syscall.Errno
	receiveBatch func(fd uintptr) bool
}

func newReceiver(conn *net.UDPConn, headroom, size int) (*receiver, error) {
	b, err := newBatch(conn)
	if err != nil {
		return nil, err
	}
	r := &receiver{batch: b, headroom: headroom, bufferSize: size, buffers: make([]byte, batchSize*size)}
	for i := range b.vectors {
		buffer := r.buffer(i)[headroom:]
		b.vectors[i].Base = &buffer[0]
		b.vectors[i].SetLen(len(buffer))
	}
	r.receiveBatch = func(fd uintptr) bool {
		r.received, r.errno = r.systemCall(unix.SYS_RECVMMSG, fd, 0, batchSize)
		return r.errno != unix.EAGAIN
	}
	return r, nil
}

// read waits for datagrams and returns how many it has read.
func (r *receiver) read() (int, error) {
	for i := range r.messages {
		h := &r.messages[i].header
		h.Namelen = unix.SizeofSockaddrInet4
		h.SetControllen(controlSize)
	}
	if err := r.raw.Read(r.receiveBatch); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.received, nil
}

// buffer returns the memory of a datagram, including the headroom before it.
func (r *receiver) buffer(i int) []byte {
	return r.buffers[i*r.bufferSize : (i+1)*r.bufferSize]
}

// length returns the length of a datagram, in bytes.
func (r *receiver) length(i int) int {
	return int(r.messages[i].length)
}

// source returns the address of a datagram's sender.
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
	queued int
	// sent and failed count the datagrams of the last flush.
	sent, failed int
	lastError    syscall.Errno
	accepted     int
	errno        syscall.Errno
	sendBatch    func(fd uintptr) bool
}

func newSender(conn *net.UDPConn) (*sender, error) {
	b, err := newBatch(conn)
	if err != nil {
		return nil, err
	}
	s := &sender{batch: b}
	s.sendBatch = func(fd uintptr) bool {
		s.accepted, s.errno = s.systemCall(unix.SYS_SENDMMSG, fd, s.sent+s.failed, s.queued-s.sent-s.failed)
		return s.errno != unix.EAGAIN
	}
	return s, nil
}

// enqueue queues a datagram, which must stay unchanged until the flush. A valid source address replaces the socket's.
// At most batchSize datagrams may be queued.
func (s *sender) enqueue(datagram []byte, to netip.AddrPort, source netip.Addr) {
	i := s.queued
	s.queued++
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
		h.SetControllen(len(putSourceControl(s.controls[i][:], source)))
	}
}

// flush sends the queued datagrams. A datagram that the operating system refuses counts as failed and does not stop the
// others. The returned error is that of the socket, for example that it is closed.
func (s *sender) flush() error {
	s.sent, s.failed = 0, 0
	for s.sent+s.failed < s.queued {
		if err := s.raw.Write(s.sendBatch); err != nil {
			s.failed = s.queued - s.sent
			s.queued = 0
			return err
		}
		if s.errno != 0 {
			s.failed++
			s.lastError = s.errno
			continue
		}
		s.sent += s.accepted
	}
	s.queued = 0
	return nil
}
