package forwarder

import (
	"context"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/binder"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/pinger"
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/runner"
	"cherviltide.example/cherviltide/shaper"
)

// RelayConfig has the settings of an entry's data path for flows that agents relay without terminating them.
type RelayConfig struct {
	// Public is the address of the socket for callers' packets (IPv4), Internal that of the socket for agents.
	Public, Internal netip.AddrPort
	Codec            cherviltide.PacketCodec
	View             func() *follower.View
	// FailureDomain is that of the entry. If it is empty, the entry does not find out which domains it reaches.
	FailureDomain string
	Log           *zap.Logger
	// ShortHeaders makes the entry send packets of open flows with the short header, which takes 83 bytes less of its link.
	// All agents must know it.
	ShortHeaders bool
	// Link describes the link of the entry; with a rate of 0 packets are forwarded in the order of their arrival. ListenRelay
	// sets the size of the forwarding header.
	Link shaper.Config
	// CallerPort is the port on which callers' machines receive the resets of flows that the link does not admit.
	CallerPort uint16
}

// Relay is an entry's data path for relayed flows. It sends each packet to the agent that the service's table selects.
// Agents answer callers directly. It keeps no state per flow, except for uploads when it schedules its link.
type Relay struct {
	config    RelayConfig
	public    *net.UDPConn
	internal  *net.UDPConn
	inForce   atomic.Uint64
	closed    chan struct{}
	closeOnce sync.Once
	Counters  Counters
	// LinkCounters count the opening packets of uploads, and LinkWaits has the times for which they waited for the link, when the
	// link is scheduled.
	LinkCounters LinkCounters
	LinkWaits    *prober.Histogram
	link         *link
	// Reach decides which failure domains are closed; nil without a failure domain.
	Reach *pinger.Pinger
}

// ListenRelay opens the sockets. An error of kind Invalid means that an address is not IPv4.
func ListenRelay(config RelayConfig) (*Relay, error) {
	if !config.Public.Addr().Is4() || !config.Internal.Addr().Is4() {
		return nil, fault(cherviltide.KindInvalid, errNotIPv4)
	}
	r := &Relay{config: config, closed: make(chan struct{}), LinkWaits: prober.NewHistogram()}
	r.link = newLink(r)
	var err error
	if r.public, err = binder.ListenUDP(config.Public, socketBufferSize); err != nil {
		return nil, fault(cherviltide.KindInternal, err)
	}
	if r.internal, err = binder.ListenUDP(config.Internal, socketBufferSize); err != nil {
		r.close()
		return nil, fault(cherviltide.KindInternal, err)
	}
	r.Reach = r.newPinger()
	return r, nil
}

// RevisionInForce returns the configuration revision that was used for the last packet, or that an idle receiver has loaded
// since.
func (r *Relay) RevisionInForce() uint64 {
	return r.inForce.Load()
}

// Run forwards packets until ctx ends, then closes the sockets.
func (r *Relay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.close)
	defer stop()
	defer r.close()
	group := runner.NewGroup(ctx, 5)
	group.Go("receive", func(context.Context) error { return r.receivePackets(r.public, r.forward) })
	group.Go("return", func(context.Context) error { return r.receivePackets(r.internal, r.tryNextService) })
	group.Go("reach", r.Reach.Run)
	group.Go("log", func(context.Context) error { logDrops(&r.Counters, r.config.Log, r.closed); return nil })
	if r.link != nil {
		group.Go("link", r.link.run)
	}
	return group.Wait()
}

func (r *Relay) close() {
	r.closeOnce.Do(func() { close(r.closed) })
	_ = r.public.Close()
	if r.internal != nil {
		_ = r.internal.Close()
	}
}

// receivePackets handles the datagrams of a socket until it is closed.
func (r *Relay) receivePackets(conn *net.UDPConn, handle func(view *follower.View, in *receiver, i int, out *sender)) error {
	in, err := newReceiver(conn, framer.HeaderSize, relayBufferSize)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	out, err := newSender(r.internal)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	deadline := newViewDeadline(conn)
	for {
		deadline.renew()
		n, err := in.read()
		view := r.Reach.View(r.config.View())
		r.inForce.Store(view.Rules.Revision)
		if err != nil {
			if receiverEnded(err, r.closed) {
				return nil
			}
			if !isTimeout(err) {
				r.config.Log.Warn("ReceiveFailed", zap.Error(err))
			}
			continue
		}
		if r.link != nil {
			r.link.receive()
		}
		for i := range n {
			handle(view, in, i, out)
		}
		r.flush(out)
	}
}

// forward sends a caller's packet to the owner of its flow. It writes the header into the headroom of the packet.
func (r *Relay) forward(view *follower.View, in *receiver, i int, out *sender) {
	length := in.length(i)
	datagram := in.buffer(i)[:framer.HeaderSize+length]
	packet, err := r.config.Codec.Decode(datagram[framer.HeaderSize:])
	if err != nil || packet.Flags&cherviltide.PacketReturned != 0 {
		r.Counters.countDrop(ReasonMalformed)
		return
	}
	header := r.header(view, cherviltide.FlowKey{Caller: packet.Source, Virtual: packet.Destination})
	if r.link == nil || r.link.accept(view, header.Flow, packet, datagram) {
		r.send(view, datagram, header, packet.OpensFlow(), out)
	}
}

// header returns the header of a caller's packet without the fields that the receiver determines.
func (r *Relay) header(view *follower.View, flow cherviltide.FlowKey) framer.Header {
	return framer.Header{Type: framer.TypeForward, Flow: flow, Entry: r.config.Internal, Revision: view.Rules.Revision}
}

// tryNextService sends a packet that the agents of one service have returned to the next service that may hold its
// flow.
func (r *Relay) tryNextService(view *follower.View, in *receiver, i int, out *sender) {
	datagram := in.buffer(i)[framer.HeaderSize : framer.HeaderSize+in.length(i)]
	header, payload, err := framer.New(view.Key).Decode(datagram)
	switch {
	case err != nil:
		r.Counters.countDrop(reasonForDecodeError(err))
		return
	case r.Reach.Handle(view, header, payload, in.source(i)):
		return
	case header.Flags != framer.FlagReturned:
		r.Counters.countDrop(ReasonType)
		return
	}
	header.ServiceIndex++
	// The hop limit is that of the search among the agents of one service.
	header.Flags, header.Position, header.Hops = 0, 0, 1
	r.send(view, datagram, header, false, out)
}

// send encodes the header for the service at the header's service index and queues the datagram for the owner of the
// flow. Packets that open a flow are tried at the first service only.
func (r *Relay) send(view *follower.View, datagram []byte, header framer.Header, opensFlow bool, out *sender) {
	route, ok := view.Routes[header.Flow.Virtual]
	if !ok {
		r.Counters.countDrop(ReasonNoRoute)
		return
	}
	choose := chooseHolder
	if opensFlow {
		choose = chooseOpener
	}
	next, reason, ok := choose(route, header)
	if !ok {
		r.Counters.countDrop(reason)
		return
	}
	next = r.avoidClosed(next, header.Flow)
	table := next.table
	if opensFlow {
		r.logNewFlow(header, next.agent, table, view.Rules.Revision)
	}
	header.ServiceIndex, header.ServiceCount = next.serviceIndex, next.serviceCount
	header.RouteRevision = route.RouteRevision
	header.Service, header.Generation = table.Service().ID, table.Generation()
	r.sendTo(view, route, datagram, header, next, opensFlow, out)
}

// encode writes a header into the headroom of a datagram and returns the part to send. An opening packet has the full header,
// since its receiver needs the revisions of the entry.
func (r *Relay) encode(view *follower.View, datagram []byte, header framer.Header, opensFlow bool) []byte {
	length := len(datagram) - framer.HeaderSize
	if r.config.ShortHeaders && !opensFlow && header.HasShortForm() {
		datagram = datagram[framer.HeaderSize-framer.ShortHeaderSize:]
		framer.New(view.Key).EncodeShort(datagram, header, length)
		return datagram
	}
	framer.New(view.Key).Encode(datagram, header, length)
	return datagram
}

// enqueue queues a datagram. It sends the queued ones first when there is no room.
func (r *Relay) enqueue(out *sender, datagram []byte, to netip.AddrPort) {
	if out.queued == batchSize {
		r.flush(out)
	}
	out.enqueue(datagram, to, netip.Addr{})
}

// flush sends the queued datagrams and counts them.
func (r *Relay) flush(out *sender) {
	if err := out.flush(); err != nil {
		r.config.Log.Warn("SendFailed", zap.Error(err))
	}
	r.Counters.countBatch(&r.Counters.Forwarded, out)
}

// relayHop is the agent that a packet is sent to next.
type relayHop struct {
	table *picker.Table
	agent cherviltide.Member
	// serviceIndex is the index of the agent's service among the serviceCount services that may hold the flow.
	serviceIndex, serviceCount uint8
	// closedOwner is the owner of the flow if the failure domain of the owner is closed and agent is another one.
	closedOwner netip.AddrPort
}

// chooseOpener returns the agent of the service that takes a new flow, or the reason why there is none.
func chooseOpener(route *follower.RouteTables, header framer.Header) (relayHop, Reason, bool) {
	table, ok := route.Pick(header.Flow.Hash())
	if !ok {
		return relayHop{}, ReasonNoService, false
	}
	agent, ok := table.Pick(header.Flow)
	return relayHop{table: table, agent: agent, serviceCount: 1}, ReasonNoTarget, ok
}

// chooseHolder returns the agent to ask for an open flow, of the first service from the header's service index on that has
// one, or the reason why there is none. A service without agents holds no flow, but a later one may.
func chooseHolder(route *follower.RouteTables, header framer.Header) (relayHop, Reason, bool) {
	count, reason := min(route.ServiceCount(), maxServiceCount), ReasonNoHolder
	for i := int(header.ServiceIndex); i < count; i++ {
		table, ok := route.TableAt(header.Flow.Hash(), i)
		if !ok {
			reason = ReasonNoService
			continue
		}
		if agent, ok := table.Pick(header.Flow); ok {
			return relayHop{table: table, agent: agent, serviceIndex: uint8(i), serviceCount: uint8(count)}, 0, true
		}
		reason = ReasonNoTarget
	}
	return relayHop{}, reason, false
}

// logNewFlow logs the agent that a new flow is sent to.
func (r *Relay) logNewFlow(header framer.Header, agent cherviltide.Member, table *picker.Table, revision uint64) {
	line := r.config.Log.Check(zap.InfoLevel, "FlowRouted")
	if line == nil {
		return
	}
	line.Write(zap.String("Flow", header.Flow.ID()), zap.Stringer("Caller", header.Flow.Caller),
		zap.Stringer("Virtual", header.Flow.Virtual), zap.String("Service", table.Service().Name), zap.String("Agent", agent.Name),
		zap.Uint64("Revision", revision), zap.Uint64("Generation", table.Generation()))
}

// maxServiceCount is the largest number of services that the header can count.
const maxServiceCount = math.MaxUint8

// receiverEnded reports whether a receiver must stop after a receive error, since its socket is closed. After an error
// that is not a timeout it pauses first.
func receiverEnded(err error, closed <-chan struct{}) bool {
	if isClosed(err) {
		return true
	}
	if isTimeout(err) {
		return false
	}
	timer := time.NewTimer(receiveErrorPause)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}
