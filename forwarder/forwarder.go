// Package forwarder is the data path of an entry: it takes datagrams of callers on any virtual address, sends each to the
// agent that its table names, and sends the agents' replies back to the callers. It keeps no state for each flow.
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

// Sizes and times of the data path.
const (
	// socketBuffer is the receive buffer of each socket, in bytes.
	socketBuffer = 4 << 20
	// idleRefresh is how often an idle receiver looks at the current view.
	idleRefresh = 200 * time.Millisecond
	// logInterval is the time between two log lines about drops.
	logInterval = 5 * time.Second
	// errorPause keeps a receiver whose socket fails repeatedly from using a whole core.
	errorPause = 10 * time.Millisecond
)

var errAddress = errors.New("only IPv4 addresses are supported")

// Error is a failure of the forwarder's sockets.
type Error struct{ cherviltide.Fault }

// Port maps a listening port to the port of the virtual addresses that it serves.
type Port struct {
	Listen  uint16
	Virtual uint16
}

// Config describes an entry's data path.
type Config struct {
	// Listen is the wildcard address of the public sockets (IPv4).
	Listen netip.Addr
	Ports  []Port
	// Internal is the address of the socket towards the agents (IPv4); port 0 means any free port.
	Internal netip.AddrPort
	Framer   framer.Framer
	View     func() *follower.View
	// Receivers is the number of goroutines that read each socket; 0 means 1. Each uses 2 MiB for its batch.
	Receivers int
	// Grace is how long Run goes on after its context has ended.
	Grace time.Duration
	// Log may be nil.
	Log *zap.Logger
}

// Forwarder is an entry's data path.
type Forwarder struct {
	config   Config
	public   []*net.UDPConn
	internal *net.UDPConn
	// inForce has the revision that each receiver of a public socket decided with last.
	inForce  []atomic.Uint64
	closed   chan struct{}
	once     sync.Once
	Counters Counters
}

// Listen opens the sockets. An error of kind Invalid means that an address is not IPv4.
func Listen(config Config) (*Forwarder, error) {
	if !config.Listen.Is4() || !config.Internal.Addr().Is4() {
		return nil, fault(cherviltide.KindInvalid, errAddress)
	}
	config.Receivers = max(config.Receivers, 1)
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	f := &Forwarder{config: config, closed: make(chan struct{})}
	f.inForce = make([]atomic.Uint64, config.Receivers*len(config.Ports))
	internal, err := binder.ListenUDP(config.Internal, socketBuffer)
	if err != nil {
		return nil, fault(cherviltide.KindInternal, err)
	}
	f.internal = internal
	f.config.Internal = internal.LocalAddr().(*net.UDPAddr).AddrPort()
	for _, p := range config.Ports {
		conn, err := binder.ListenUDP(netip.AddrPortFrom(config.Listen, p.Listen), socketBuffer)
		if err != nil {
			f.close()
			return nil, fault(cherviltide.KindInternal, err)
		}
		f.public = append(f.public, conn)
		if err := setPacketInfo(conn); err != nil {
			f.close()
			return nil, fault(cherviltide.KindInternal, err)
		}
	}
	return f, nil
}

// RevisionInForce returns the configuration revision that decided the last datagram, of the receiver with the oldest one.
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

// Run forwards until the grace after the end of ctx is over, then closes the sockets.
func (f *Forwarder) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(f.config.Grace, f.close) })
	defer stop()
	defer f.close()
	group := runner.NewGroup(ctx, f.config.Receivers*(len(f.public)+1)+1)
	for i := range f.config.Receivers {
		for port := range f.public {
			group.Go("receive", func(context.Context) error { return f.receive(port, &f.inForce[port*f.config.Receivers+i]) })
		}
		group.Go("reply", func(context.Context) error { return f.reply() })
	}
	group.Go("log", func(context.Context) error { logDrops(&f.Counters, f.config.Log, f.closed); return nil })
	return group.Wait()
}

func (f *Forwarder) close() {
	f.once.Do(func() { close(f.closed) })
	_ = f.internal.Close()
	for _, c := range f.public {
		_ = c.Close()
	}
}

// receive takes the callers' datagrams of one port until its socket is closed.
func (f *Forwarder) receive(port int, inForce *atomic.Uint64) error {
	in, err := newReceiver(f.public[port], framer.HeaderSize, slotSize)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	out, err := newSender(f.internal)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	deadline := newDeadline(f.public[port])
	for {
		deadline.renew()
		n, err := in.read()
		view := f.config.View()
		inForce.Store(view.Rules.Revision)
		if err != nil {
			if ended(err, f.closed) {
				return nil
			}
			continue
		}
		f.forward(view, in, out, n, f.config.Ports[port].Virtual)
	}
}

// forward sends a batch of callers' datagrams to the owners of their flows. The header goes into the room before each.
func (f *Forwarder) forward(view *follower.View, in *receiver, out *sender, n int, port uint16) {
	for i := range n {
		virtual, ok := destination(in.control(i), port)
		if !ok {
			f.Counters.drop(NoDestination)
			continue
		}
		length := in.length(i)
		key := cherviltide.FlowKey{Caller: in.source(i), Virtual: virtual}
		to, reason, ok := decide(view, f.config.Internal, key, length)
		if !ok {
			f.Counters.drop(reason)
			continue
		}
		datagram := in.slot(i)[:framer.HeaderSize+length]
		f.config.Framer.Encode(datagram, to.header, length)
		out.add(datagram, to.agent, netip.Addr{})
	}
	_ = out.flush()
	f.Counters.sent(&f.Counters.Forwarded, out)
}

// reply takes the agents' datagrams and sends them to the callers until the internal socket is closed.
func (f *Forwarder) reply() error {
	in, err := newReceiver(f.internal, 0, slotSize)
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
			if ended(err, f.closed) {
				return nil
			}
			continue
		}
		f.answer(f.config.View(), in, out, n)
	}
}

// answer sends a batch of replies to the callers, each through the socket of its virtual port.
func (f *Forwarder) answer(view *follower.View, in *receiver, out []*sender, n int) {
	for i := range n {
		h, payload, reason, ok := accept(view, f.config.Framer, in.slot(i)[:in.length(i)])
		if !ok {
			f.Counters.drop(reason)
			continue
		}
		port := f.portOf(h.Flow.Virtual.Port())
		if port < 0 {
			f.Counters.drop(NoService)
			continue
		}
		out[port].add(payload, h.Flow.Caller, h.Flow.Virtual.Addr())
	}
	for _, s := range out {
		_ = s.flush()
		f.Counters.sent(&f.Counters.Replied, s)
	}
}

// portOf returns the index of the public socket for a virtual port, or -1.
func (f *Forwarder) portOf(virtual uint16) int {
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

// logDrops writes one line per interval and reason for which datagrams were dropped, until the sockets are closed.
func logDrops(counters *Counters, log *zap.Logger, closed <-chan struct{}) {
	ticker := time.NewTicker(logInterval)
	defer ticker.Stop()
	var logged [reasons]uint64
	for {
		select {
		case <-closed:
			return
		case <-ticker.C:
		}
		for r := range reasons {
			n := counters.Dropped(r)
			if n == logged[r] {
				continue
			}
			fields := []zap.Field{zap.Stringer("Reason", r), zap.Uint64("Count", n-logged[r])}
			if r == SendFailed {
				fields = append(fields, zap.Error(syscall.Errno(counters.sendError.Load())))
			}
			log.Warn("DatagramsDropped", fields...)
			logged[r] = n
		}
	}
}

// deadline is the read deadline of an idle receiver's socket.
type deadline struct {
	conn *net.UDPConn
	at   time.Time
}

func newDeadline(conn *net.UDPConn) *deadline {
	return &deadline{conn: conn}
}

// renew moves the deadline when half of the refresh interval has passed, so that a busy receiver seldom pays for it.
func (d *deadline) renew() {
	now := time.Now()
	if d.at.Sub(now) > idleRefresh/2 {
		return
	}
	d.at = now.Add(idleRefresh)
	_ = d.conn.SetReadDeadline(d.at)
}

func fault(kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: "forwarder.Listen", Kind: kind, Err: err}}
}
