// Package holder is the data path of an agent that terminates flows. It delivers the datagrams of the flows that the agent
// holds, forwards those of other agents' flows, and provides the net.PacketConn of the agent's QUIC server.
package holder

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/binder"
	"cherviltide.example/cherviltide/detector"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
)

const (
	// maxDatagram is the largest UDP payload, in bytes.
	maxDatagram = 65535
	// socketBuffer is the size of the receive buffer and of the send buffer, in bytes. quic-go cannot set the sizes on a
	// wrapped connection.
	socketBuffer = 8 << 20
	// FlowIdleTimeout is how long a flow without datagrams is held. It is longer than QUIC's idle timeout.
	FlowIdleTimeout cherviltide.Millis = 45_000
	// expireInterval is the interval at which idle flows are removed.
	expireInterval = 5 * time.Second
	// wakeUpInterval is the interval at which the agent sends an empty datagram to its own data socket. The datagram
	// makes an idle receiver load the current view, so that the reported revision is the one that decisions are made with.
	wakeUpInterval = 250 * time.Millisecond
)

var errNoEntry = errors.New("flow has no entry to reply through")

// Error is a failure of the data path.
type Error struct{ cherviltide.Fault }

// Config describes an agent's data path.
type Config struct {
	Self   cherviltide.Member
	Framer framer.Framer
	Clock  cherviltide.Clock
	View   func() *follower.View
	// Busy reports whether a request of a new flow would wait too long at this agent.
	Busy func() bool
}

// Holder implements net.PacketConn over the flows of an agent.
type Holder struct {
	config          Config
	conn            *net.UDPConn
	flows           *flows
	remoteFlows     *remoteFlows
	pendingResets   pendingResets
	detector        *detector.Detector
	revisionInForce atomic.Uint64
	sendBuffers     sync.Pool
	receiveBuffer   []byte
	refusesNew      atomic.Bool
	entries         entries
	Counters        Counters
}

// Counters count datagrams since the start of the process.
type Counters struct {
	Delivered    atomic.Uint64
	Opened       atomic.Uint64
	Passed       atomic.Uint64 // Datagrams forwarded to other agents.
	Returned     atomic.Uint64 // Datagrams returned to the agents that sent them.
	Offered      atomic.Uint64 // First datagrams of flows offered to the secondary because this agent was busy or full.
	Declined     atomic.Uint64 // Offers of other agents that this agent declined.
	Behind       atomic.Uint64 // Datagrams returned because the sender's table is newer.
	Notices      atomic.Uint64 // Notices from other agents that they hold a flow.
	NoHolder     atomic.Uint64 // No candidate holds the flow and the datagram cannot open one.
	HopLimit     atomic.Uint64 // Datagrams that reached the hop limit.
	WrongService atomic.Uint64
	Full         atomic.Uint64 // Datagrams refused because the agent accepts no more flows.
	Reset        atomic.Uint64 // Datagrams of connections whose agent died recently.
	Malformed    atomic.Uint64
	Expired      atomic.Uint64 // Flows that ended by the idle timeout.
}

// Listen opens the agent's data socket.
func Listen(config Config) (*Holder, error) {
	conn, err := binder.ListenUDP(config.Self.Address, socketBuffer)
	if err != nil {
		return nil, fault("holder.Listen", err)
	}
	h := &Holder{
		config: config, conn: conn, flows: newFlows(), remoteFlows: newRemoteFlows(), detector: detector.New(),
		receiveBuffer: make([]byte, framer.HeaderSize+maxDatagram),
	}
	h.sendBuffers.New = func() any { b := make([]byte, framer.HeaderSize+maxDatagram); return &b }
	return h, nil
}

// RevisionInForce returns the configuration revision that the last datagram was decided with.
func (h *Holder) RevisionInForce() uint64 {
	return h.revisionInForce.Load()
}

// Flows returns the number of flows held.
func (h *Holder) Flows() int {
	return h.flows.len()
}

// Generations returns the generation of the agent's table and the lowest generation at which a held flow was opened, for
// the agent's announcement. The agent opens no flow at a lower generation afterwards.
func (h *Holder) Generations() (current, oldest uint64) {
	table, ok := h.config.View().Tables[h.config.Self.Service]
	if !ok {
		return 0, 0
	}
	return table.Generation(), h.flows.releaseOlder(table.Generation())
}

// Run removes idle flows and wakes the agent's own receiver up until ctx ends.
func (h *Holder) Run(ctx context.Context) error {
	expire := time.NewTicker(expireInterval)
	defer expire.Stop()
	wakeUp := time.NewTicker(wakeUpInterval)
	defer wakeUp.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wakeUp.C:
			_, _ = h.conn.WriteToUDPAddrPort(nil, h.config.Self.Address)
		case <-expire.C:
			n := h.flows.expire(h.config.Clock.Now() - FlowIdleTimeout)
			h.Counters.Expired.Add(uint64(n))
		}
	}
}

// ConnectionOpened records that a connection was opened on the flow with the given remote address.
func (h *Holder) ConnectionOpened(remote net.Addr) {
	if f, ok := remote.(*flow); ok {
		f.connections.Add(1)
	}
}

// AcceptsConnection reports whether the agent accepts a connection from the flow with the given remote address.
func (h *Holder) AcceptsConnection(remote net.Addr) bool {
	f, ok := remote.(*flow)
	return ok && !f.refused
}

// ConnectionClosed records that a connection of the flow was closed. The flow is removed with its last connection: a caller
// may open a second connection from the same address, and its datagrams belong to the same flow.
func (h *Holder) ConnectionClosed(remote net.Addr) {
	if f, ok := remote.(*flow); ok && f.connections.Add(-1) <= 0 {
		h.flows.remove(f)
	}
}

// ReadFrom returns the next datagram of a flow that the agent holds. The QUIC transport calls it from one goroutine.
func (h *Holder) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, sender, err := h.conn.ReadFromUDPAddrPort(h.receiveBuffer)
		view := h.config.View()
		h.revisionInForce.Store(view.Rules.Revision)
		if err != nil {
			return 0, nil, err
		}
		if n == 0 {
			continue
		}
		f, payload := h.handle(view, h.receiveBuffer[:n], sender)
		if f != nil {
			return copy(p, payload), f, nil
		}
	}
}

// WriteTo sends a datagram to the caller of a flow through the entry that last delivered a datagram of the flow, or through
// another entry if that one has not delivered any datagram recently.
func (h *Holder) WriteTo(p []byte, addr net.Addr) (int, error) {
	f, ok := addr.(*flow)
	if !ok {
		return 0, fault("holder.WriteTo", net.InvalidAddrError(addr.String()))
	}
	entry := f.entry.Load()
	if entry == nil {
		return 0, fault("holder.WriteTo", errNoEntry)
	}
	buffer := h.sendBuffers.Get().(*[]byte)
	defer h.sendBuffers.Put(buffer)
	b := (*buffer)[:framer.HeaderSize+len(p)]
	copy(b[framer.HeaderSize:], p)
	h.config.Framer.Encode(b, framer.Header{
		Type:    framer.TypeReply,
		Service: cherviltide.ServiceIDOf(h.config.Self.Service),
		Flow:    f.key,
	}, len(p))
	if _, err := h.conn.WriteToUDPAddrPort(b, h.entries.replyAddress(entry, h.config.Clock.Now())); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close closes the data socket.
func (h *Holder) Close() error { return h.conn.Close() }

// LocalAddr returns the address of the data socket.
func (h *Holder) LocalAddr() net.Addr { return h.conn.LocalAddr() }

// SetDeadline sets the deadlines of the data socket.
func (h *Holder) SetDeadline(t time.Time) error { return h.conn.SetDeadline(t) }

// SetReadDeadline sets the read deadline of the data socket.
func (h *Holder) SetReadDeadline(t time.Time) error { return h.conn.SetReadDeadline(t) }

// SetWriteDeadline sets the write deadline of the data socket.
func (h *Holder) SetWriteDeadline(t time.Time) error { return h.conn.SetWriteDeadline(t) }

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInternal, Err: err}}
}
