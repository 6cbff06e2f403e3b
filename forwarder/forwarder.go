// Package forwarder is the data path of an entry. It receives callers' datagrams on any virtual address, sends each to
// the agent that the service's table selects, and sends the agents' replies back to the callers. It keeps no state per
// flow.
package forwarder

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/binder"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/runner"
)

const (
	// socketBufferSize is the size of the receive buffer and of the send buffer of each socket, in bytes.
	socketBufferSize = 4 << 20
	// viewRefreshInterval bounds the time until an idle receiver uses the current view.
	viewRefreshInterval = 200 * time.Millisecond
	// logInterval is the time between two log lines about drops for the same reason.
	logInterval = 5 * time.Second
	// receiveErrorPause is the pause after a receive error. It keeps a receiver whose socket fails repeatedly from
	// using a whole core.
	receiveErrorPause = 10 * time.Millisecond
)

var errNotIPv4 = errors.New("an address of the entry's sockets is not IPv4")

// Error is a failure of the forwarder's sockets.
type Error struct{ cherviltide.Fault }

// Port maps a listening port to the port of the virtual addresses that it serves.
type Port struct {
	Listen  uint16
	Virtual uint16
}

// Config has the settings of an entry's data path.
type Config struct {
	// Listen is the wildcard address of the public sockets (IPv4).
	Listen netip.Addr
	Ports  []Port
	// Internal is the address of the socket for datagrams from and to agents (IPv4); port 0 means any free port.
	Internal netip.AddrPort
	Framer   framer.Framer
	View     func() *follower.View
	// Receivers is the number of goroutines that read each socket; 0 means 1. Each uses 2 MiB for the buffers of its
	// batch.
	Receivers int
	// Grace is the grace period: how long Run goes on after its context has ended.
	Grace time.Duration
	// Log may be nil.
	Log *zap.Logger
}

// Forwarder is an entry's data path.
type Forwarder struct {
	config   Config
	public   []*net.UDPConn
	internal *net.UDPConn
	// inForce has the configuration revision that each receiver of a public socket last used.
	inForce   []atomic.Uint64
	closed    chan struct{}
	closeOnce sync.Once
	Counters  Counters
}

// Listen opens the sockets. An error of kind Invalid means that an address is not IPv4.
func Listen(config Config) (*Forwarder, error) {
	if !config.Listen.Is4() || !config.Internal.Addr().Is4() {
		return nil, fault(cherviltide.KindInvalid, errNotIPv4)
	}
	config.Receivers = max(config.Receivers, 1)
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	f := &Forwarder{config: config, closed: make(chan struct{})}
	f.inForce = make([]atomic.Uint64, config.Receivers*len(config.Ports))
	internal, err := binder.ListenUDP(config.Internal, socketBufferSize)
	if err != nil {
		return nil, fault(cherviltide.KindInternal, err)
	}
	f.internal = internal
	f.config.Internal = internal.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, p := range config.Ports {
		conn, err := binder.ListenUDP(netip.AddrPortFrom(config.Listen, p.Listen), socketBufferSize)
		if err != nil {
			f.close()
			return nil, fault(cherviltide.KindInternal, err)
		}
		f.public = append(f.public, conn)
		if err := enablePacketInfo(conn); err != nil {
			f.close()
			return nil, fault(cherviltide.KindInternal, err)
		}
	}
	return f, nil
}

// RevisionInForce returns the lowest of the configuration revisions that the receivers of the public sockets last used.
func (f *Forwarder) RevisionInForce() uint64 {
	if len(f.inForce) == 0 {
		return 0
	}
	lowest := f.inForce[0].Load()
	for i := range f.inForce {
		lowest = min(lowest, f.inForce[i].Load())
	}
	return lowest
}

// Run forwards datagrams until the grace period after the end of ctx is over, then closes the sockets.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(f.config.Grace, f.close) })
	defer stop()
	defer f.close()
	group := runner.NewGroup(ctx, f.config.Receivers*(len(f.public)+1)+1)
	for i := range f.config.Receivers {
		for port := range f.public {
			group.Go("receive", func(context.Context) error { return f.receiveFromCallers(port, &f.inForce[port*f.config.Receivers+i]) })
		}
		group.Go("reply", func(context.Context) error { return f.receiveReplies() })
	}
	group.Go("log", func(context.Context) error { logDrops(&f.Counters, f.config.Log, f.closed); return nil })
	return group.Wait()
}

func (f *Forwarder) close() {
	f.closeOnce.Do(func() { close(f.closed) })
	_ = f.internal.Close()
	for _, c := range f.public {
		_ = c.Close()
	}
}

// receiveFromCallers forwards the callers' datagrams of one port until its socket is closed.
func (f *Forwarder) receiveFromCallers(port int, inForce *atomic.Uint64) error {
	in, err := newReceiver(f.public[port], framer.HeaderSize, datagramBufferSize)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	out, err := newSender(f.internal)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	deadline := newViewDeadline(f.public[port])
	for {
		deadline.renew()
		n, err := in.read()
		view := f.config.View()
		inForce.Store(view.Rules.Revision)
		if err != nil {
			if receiverEnded(err, f.closed) {
				return nil
			}
			continue
		}
		f.forward(view, in, out, n, f.config.Ports[port].Virtual)
	}
}

// forward sends a batch of callers' datagrams to the owners of their flows. It writes the header into the headroom of
// each.
func (f *Forwarder) forward(view *follower.View, in *receiver, out *sender, n int, port uint16) {
	for i := range n {
		virtual, ok := destinationAddress(in.control(i), port)
		if !ok {
			f.Counters.countDrop(ReasonNoDestination)
			continue
		}
		length := in.length(i)
		key := cherviltide.FlowKey{Caller: in.source(i), Virtual: virtual}
		to, reason, ok := decideNextHop(view, f.config.Internal, key, length)
		if !ok {
			f.Counters.countDrop(reason)
			continue
		}
		datagram := in.buffer(i)[:framer.HeaderSize+length]
		f.config.Framer.Encode(datagram, to.header, length)
		out.enqueue(datagram, to.agent, netip.Addr{})
	}
	_ = out.flush()
	f.Counters.countBatch(&f.Counters.Forwarded, out)
}

// receiveReplies sends the agents' replies to the callers until the internal socket is closed.
func (f *Forwarder) receiveReplies() error {
	in, err := newReceiver(f.internal, 0, datagramBufferSize)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	out := make([]*sender, len(f.public))
	for i := range f.public {
		if out[i], err = newSender(f.public[i]); err != nil {
			return fault(cherviltide.KindInternal, err)
		}
	}
	for {
		n, err := in.read()
		if err != nil {
			if receiverEnded(err, f.closed) {
				return nil
			}
			continue
		}
		f.sendReplies(f.config.View(), in, out, n)
	}
}

// sendReplies sends a batch of replies to the callers, each through the public socket of its virtual port.
func (f *Forwarder) sendReplies(view *follower.View, in *receiver, out []*sender, n int) {
	for i := range n {
		h, payload, reason, ok := acceptReply(view, f.config.Framer, in.buffer(i)[:in.length(i)])
		if !ok {
			f.Counters.countDrop(reason)
			continue
		}
		port := f.publicSocket(h.Flow.Virtual.Port())
		if port < 0 {
			f.Counters.countDrop(ReasonNoService)
			continue
		}
		out[port].enqueue(payload, h.Flow.Caller, h.Flow.Virtual.Addr())
	}
	for _, s := range out {
		_ = s.flush()
		f.Counters.countBatch(&f.Counters.Replied, s)
	}
}

// publicSocket returns the index of the public socket for a virtual port, or -1.
func (f *Forwarder) publicSocket(virtual uint16) int {
	for i, p := range f.config.Ports {
		if p.Virtual == virtual {
			return i
		}
	}
	return -1
}

func isClosed(err error) bool {
	return errors.Is(err, net.ErrClosed)
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// logDrops writes one log line per interval for each reason for which datagrams were dropped, until the sockets are
// closed.
func logDrops(counters *Counters, log *zap.Logger, closed <-chan struct{}) {
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	var logged [reasonCount]uint64
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
		for r := range reasonCount {
			n := counters.Dropped(r)
			if n == logged[r] {
				continue
			}
			fields := []zap.Field{zap.Stringer("Reason", r), zap.Uint64("Count", n-logged[r])}
			if r == ReasonSendFailed {
				fields = append(fields, zap.Error(syscall.Errno(counters.sendError.Load())))
			}
			log.Warn("DatagramsDropped", fields...)
			logged[r] = n
		}
	}
}

// viewDeadline is the read deadline that makes an idle receiver look at the current view.
type viewDeadline struct {
	conn *net.UDPConn
	at   time.Time
}

func newViewDeadline(conn *net.UDPConn) *viewDeadline {
	return &viewDeadline{conn: conn}
}

// renew moves the deadline once half of the refresh interval has passed, so that a busy receiver makes few system
// calls.
func (d *viewDeadline) renew() {
	now := time.Now()
	if d.at.Sub(now) > viewRefreshInterval/2 {
		return
	}
	d.at = now.Add(viewRefreshInterval)
	_ = d.conn.SetReadDeadline(d.at)
}

func fault(kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: "forwarder.Listen", Kind: kind, Err: err}}
}
