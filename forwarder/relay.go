package forwarder

import (
	"context"
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
	"cherviltide.example/cherviltide/runner"
)

// RelayConfig describes the data path of an entry for flows that agents relay without terminating them.
type RelayConfig struct {
	// Public receives the callers' packets (IPv4); Internal is the socket towards the agents.
	Public, Internal netip.AddrPort
	Codec            cherviltide.PacketCodec
	View             func() *follower.View
	Log              *zap.Logger
}

// Relay is an entry's data path for relayed flows. It sends each packet to the agent that its table names. Agents answer
// callers directly. It keeps no state for each flow.
type Relay struct {
	config   RelayConfig
	public   *net.UDPConn
	internal *net.UDPConn
	inForce  atomic.Uint64
	closed   chan struct{}
	once     sync.Once
	Counters Counters
}

// ListenRelay opens the sockets. An error of kind Invalid means that an address is not IPv4.
func ListenRelay(config RelayConfig) (*Relay, error) {
	if !config.Public.Addr().Is4() || !config.Internal.Addr().Is4() {
		return nil, fault(cherviltide.KindInvalid, errAddress)
	}
	r := &Relay{config: config, closed: make(chan struct{})}
	var err error
	if r.public, err = binder.ListenUDP(config.Public, socketBuffer); err != nil {
		return nil, fault(cherviltide.KindInternal, err)
	}
	if r.internal, err = binder.ListenUDP(config.Internal, socketBuffer); err != nil {
		r.close()
		return nil, fault(cherviltide.KindInternal, err)
	}
	return r, nil
}

// RevisionInForce returns the configuration revision that decided the last packet.
func (r *Relay) RevisionInForce() uint64 {
	return r.inForce.Load()
}

// Run forwards until ctx ends, then closes the sockets.
func (r *Relay) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, r.close)
	defer stop()
	defer r.close()
	group := runner.NewGroup(ctx, 3)
	group.Go("receive", func(context.Context) error { return r.receive(r.public, r.forward) })
	group.Go("return", func(context.Context) error { return r.receive(r.internal, r.retry) })
	group.Go("log", func(context.Context) error { logDrops(&r.Counters, r.config.Log, r.closed); return nil })
	return group.Wait()
}

func (r *Relay) close() {
	r.once.Do(func() { close(r.closed) })
	_ = r.public.Close()
	if r.internal != nil {
		_ = r.internal.Close()
	}
}

// receive takes the datagrams of a socket until it is closed.
func (r *Relay) receive(conn *net.UDPConn, each func(view *follower.View, in *receiver, i int, out *sender)) error {
	in, err := newReceiver(conn, framer.HeaderSize, relaySlotSize)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	out, err := newSender(r.internal)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	deadline := newDeadline(conn)
	for {
		deadline.renew()
		n, err := in.read()
		view := r.config.View()
		r.inForce.Store(view.Rules.Revision)
		if err != nil {
			if ended(err, r.closed) {
				return nil
			}
			if !isTimeout(err) {
				r.config.Log.Warn("ReceiveFailed", zap.Error(err))
			}
			continue
		}
		for i := range n {
			each(view, in, i, out)
		}
		if err := out.flush(); err != nil {
			r.config.Log.Warn("SendFailed", zap.Error(err))
		}
		r.Counters.sent(&r.Counters.Forwarded, out)
	}
}

// forward sends a caller's packet to the owner of its flow. The header goes into the room before it.
func (r *Relay) forward(view *follower.View, in *receiver, i int, out *sender) {
	length := in.length(i)
	datagram := in.slot(i)[:framer.HeaderSize+length]
	packet, err := r.config.Codec.Decode(datagram[framer.HeaderSize:])
	if err != nil || packet.Flags&cherviltide.PacketReturned != 0 {
		r.Counters.drop(Malformed)
		return
	}
	header := framer.Header{
		Type:     framer.TypeForward,
		Flow:     cherviltide.FlowKey{Caller: packet.Source, Virtual: packet.Destination},
		Entry:    r.config.Internal,
		Revision: view.Rules.Revision,
	}
	r.send(view, datagram, header, packet.OpensFlow(), out)
}

// retry tries the next service for a packet that the agents of another service have returned.
func (r *Relay) retry(view *follower.View, in *receiver, i int, out *sender) {
	datagram := in.slot(i)[framer.HeaderSize : framer.HeaderSize+in.length(i)]
	header, _, err := framer.New(view.Key).Decode(datagram)
	switch {
	case err != nil:
		r.Counters.drop(reasonOf(err))
		return
	case header.Flags != framer.FlagReturned:
		r.Counters.drop(Type)
		return
	}
	header.ServiceIndex++
	header.Flags, header.Position = 0, 0
	r.send(view, datagram, header, false, out)
}

// send encodes the header for the service at its stage and queues the datagram for the owner of the flow. New flows go
// to the first stage only.
func (r *Relay) send(view *follower.View, datagram []byte, header framer.Header, opens bool, out *sender) {
	route, ok := view.Routes[header.Flow.Virtual]
	if !ok {
		r.Counters.drop(NoRoute)
		return
	}
	hash := header.Flow.Hash()
	stages := min(route.ServiceCount(), maxStages)
	if int(header.ServiceIndex) >= stages {
		r.Counters.drop(NoHolder)
		return
	}
	table, ok := route.TableAt(hash, int(header.ServiceIndex))
	if opens {
		stages = 1
		table, ok = route.Pick(hash)
	}
	if !ok {
		r.Counters.drop(NoService)
		return
	}
	agent, ok := table.Pick(header.Flow)
	if !ok {
		r.Counters.drop(NoTarget)
		return
	}
	if opens {
		r.log(header, agent, table, view.Rules.Revision)
	}
	header.ServiceCount, header.RouteRevision = uint8(stages), route.RouteRevision
	header.Service, header.Generation = table.Service().ID, table.Generation()
	framer.New(view.Key).Encode(datagram, header, len(datagram)-framer.HeaderSize)
	out.add(datagram, agent.Address, netip.Addr{})
}

// log writes a line about where a new flow goes.
func (r *Relay) log(header framer.Header, agent cherviltide.Member, table *picker.Table, revision uint64) {
	line := r.config.Log.Check(zap.InfoLevel, "FlowRouted")
	if line == nil {
		return
	}
	line.Write(zap.String("Flow", header.Flow.ID()), zap.Stringer("Caller", header.Flow.Caller),
		zap.Stringer("Virtual", header.Flow.Virtual), zap.String("Service", table.Service().Name), zap.String("Agent", agent.Name),
		zap.Uint64("Revision", revision), zap.Uint64("Generation", table.Generation()))
}

// maxStages bounds the services that are tried for a packet.
const maxStages = 8

// ended reports whether a receive error ends a receiver. After an error that is not a timeout it pauses.
func ended(err error, closed <-chan struct{}) bool {
	if isClosed(err) {
		return true
	}
	if isTimeout(err) {
		return false
	}
	timer := time.NewTimer(errorPause)
	defer timer.Stop()
	select {
	case <-closed:
		return true
	case <-timer.C:
		return false
	}
}
