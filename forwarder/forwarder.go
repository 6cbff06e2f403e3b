// Package forwarder is the data path of an entry: it takes datagrams of callers on any virtual address, sends each to the
// agent that its table names, and sends the agents' replies back to the callers.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/runner"
)

// Sizes and times of the data path.
const (
	// maxDatagram is the largest UDP payload, in bytes.
	maxDatagram = 65535
	// socketBuffer is the receive buffer of each socket, in bytes.
	socketBuffer = 4 << 20
	// idleRefresh is how often an idle receiver looks at the current view.
	idleRefresh = 200 * time.Millisecond
)

// Error is a failure of the forwarder's sockets.
type Error struct{ cherviltide.Fault }

// Port maps a listening port to the port of the virtual addresses that it serves.
type Port struct {
	Listen  uint16
	Virtual uint16
}

// Config describes an entry's data path.
type Config struct {
	// Listen is the wildcard address of the public sockets.
	Listen netip.Addr
	Ports  []Port
	// Internal is the address of the socket towards the agents.
	Internal netip.AddrPort
	Framer   framer.Framer
	View     func() *follower.View
}

// Forwarder is an entry's data path.
type Forwarder struct {
	config   Config
	public   []*net.UDPConn
	internal *net.UDPConn
	inForce  atomic.Uint64
	Counters Counters
}

// Listen opens the sockets.
func Listen(config Config) (*Forwarder, error) {
	f := &Forwarder{config: config}
	internal, err := listenUDP(config.Internal)
	if err != nil {
		return nil, fault("forwarder.Listen", err)
	}
	f.internal = internal
	for _, p := range config.Ports {
		conn, err := listenUDP(netip.AddrPortFrom(config.Listen, p.Listen))
		if err != nil {
			f.close()
			return nil, fault("forwarder.Listen", err)
		}
		f.public = append(f.public, conn)
		if err := setPacketInfo(conn); err != nil {
			f.close()
			return nil, fault("forwarder.Listen", err)
		}
	}
	return f, nil
}

// InForce returns the configuration revision that decided the last datagram.
func (f *Forwarder) InForce() uint64 {
	return f.inForce.Load()
}

// Run forwards until ctx ends, then closes the sockets.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, f.close)
	defer stop()
	group := runner.NewGroup(ctx, len(f.public)+1)
	for i := range f.public {
		group.Go("receive", func(ctx context.Context) error { return f.receive(ctx, i) })
	}
	group.Go("reply", f.reply)
	return group.Wait()
}

func (f *Forwarder) close() {
	_ = f.internal.Close()
	for _, c := range f.public {
		_ = c.Close()
	}
}

// receive takes the callers' datagrams of one port.
func (f *Forwarder) receive(ctx context.Context, port int) error {
	conn := f.public[port]
	buffer := make([]byte, framer.Size+maxDatagram)
	oob := make([]byte, 128)
	for ctx.Err() == nil {
		_ = conn.SetReadDeadline(time.Now().Add(idleRefresh))
		n, nOOB, _, caller, err := conn.ReadMsgUDPAddrPort(buffer[framer.Size:], oob)
		view := f.config.View()
		f.inForce.Store(view.Rules.Revision)
		if err != nil {
			if ended := endOfSocket(err); ended {
				return nil
			}
			continue
		}
		virtual, ok := destination(oob[:nOOB], f.config.Ports[port].Virtual)
		if !ok {
			f.Counters.NoDestination.Add(1)
			continue
		}
		f.forward(view, buffer, n, cherviltide.FlowKey{Caller: unmap(caller), Virtual: virtual})
	}
	return nil
}

// forward sends one datagram, which stands behind room for the header, to the flow's owner.
func (f *Forwarder) forward(view *follower.View, buffer []byte, n int, key cherviltide.FlowKey) {
	table, ok := view.ByAddress[key.Virtual]
	if !ok {
		f.Counters.NoService.Add(1)
		return
	}
	agent, ok := table.Pick(key)
	if !ok {
		f.Counters.NoTarget.Add(1)
		return
	}
	h := framer.Header{
		Type:       framer.TypeForward,
		Service:    table.Service().ID,
		Generation: table.Generation(),
		Flow:       key,
		Entry:      f.config.Internal,
	}
	f.config.Framer.Encode(buffer, h, n)
	if _, err := f.internal.WriteToUDPAddrPort(buffer[:framer.Size+n], agent.Address); err != nil {
		f.Counters.SendFailed.Add(1)
		return
	}
	f.Counters.Forwarded.Add(1)
}

// reply takes the agents' datagrams and sends them to the callers.
func (f *Forwarder) reply(ctx context.Context) error {
	buffer := make([]byte, framer.Size+maxDatagram)
	for ctx.Err() == nil {
		n, _, err := f.internal.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ended := endOfSocket(err); ended {
				return nil
			}
			continue
		}
		h, payload, err := f.config.Framer.Decode(buffer[:n])
		if err != nil {
			f.Counters.drop(err)
			continue
		}
		f.answer(h, payload)
	}
	return nil
}

func (f *Forwarder) answer(h framer.Header, payload []byte) {
	if h.Type != framer.TypeReply {
		f.Counters.BadType.Add(1)
		return
	}
	for i, p := range f.config.Ports {
		if p.Virtual != h.Flow.Virtual.Port() {
			continue
		}
		var oob [unix.SizeofCmsghdr + unix.SizeofInet4Pktinfo + 8]byte
		control := sourceControl(oob[:], h.Flow.Virtual.Addr())
		if _, _, err := f.public[i].WriteMsgUDPAddrPort(payload, control, h.Flow.Caller); err != nil {
			f.Counters.SendFailed.Add(1)
			return
		}
		f.Counters.Replied.Add(1)
		return
	}
	f.Counters.NoService.Add(1)
}

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInternal, Err: err}}
}

// endOfSocket reports whether a receive error means that the socket was closed.
func endOfSocket(err error) bool {
	return errors.Is(err, net.ErrClosed)
}

func unmap(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func listenUDP(address netip.AddrPort) (*net.UDPConn, error) {
	network := "udp4"
	if address.Addr().Is6() {
		network = "udp6"
	}
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	return conn, conn.SetReadBuffer(socketBuffer)
}

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
