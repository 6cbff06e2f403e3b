package relayer

import (
	"context"
	"errors"
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
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/runner"
)

const (
	// maxDatagram is the largest datagram with its header, in bytes; a packet fits an Ethernet frame.
	maxDatagram = 2 << 10
	// socketBuffer is the receive and send buffer of each socket, in bytes.
	socketBuffer = 1 << 20
	// expireInterval is the time between two searches for flows that have ended.
	expireInterval = 250 * time.Millisecond
	// resetSequence is that of a reset for a flow that was not opened. If a copy of its opening packet was taken elsewhere
	// after all, the open flow ignores the reset, as its own numbers start at random.
	resetSequence = 0
	// errorPause keeps a receiver whose socket fails repeatedly from using a whole core.
	errorPause = 10 * time.Millisecond
)

// Error is a failure of the relayer's sockets.
type Error struct{ cherviltide.Fault }

// Config describes an agent's data path.
type Config struct {
	// Data receives framed packets of entries and agents, and sends to them and to callers (IPv4, UDP).
	Data netip.AddrPort
	// Outbound receives all packets of the target, and sends to it.
	Outbound, Target netip.AddrPort
	// CallerPort is the port at which callers' machines receive packets.
	CallerPort uint16
	Codec      cherviltide.PacketCodec
	View       func() *follower.View
	// Self returns the agent as it announces itself.
	Self   func() cherviltide.Member
	Limits Limits
	Log    *zap.Logger
}

// Counters count packets since the start of the process, by what decided about them.
type Counters struct {
	Delivered, Passed, Answered, Refused, Dropped atomic.Uint64
	// Foreign datagrams belong to another service; Malformed ones cannot be read or authenticated.
	Foreign, Malformed, SendFailed atomic.Uint64
}

// Relayer is the data path of an agent.
type Relayer struct {
	config   Config
	data     *net.UDPConn
	outbound *net.UDPConn
	started  time.Time
	mu       sync.Mutex
	core     *Core
	byReason [reasons]atomic.Uint64
	inForce  atomic.Uint64
	// rules are those of the last view, so that a packet allocates nothing.
	rules    atomic.Pointer[viewRules]
	Counters Counters
	// OpeningTimes and ServiceTimes have the times of the phases of flows.
	OpeningTimes, ServiceTimes *prober.Histogram
}

// Listen opens the sockets.
func Listen(config Config) (*Relayer, error) {
	r := &Relayer{
		config: config, started: time.Now(), OpeningTimes: prober.NewHistogram(), ServiceTimes: prober.NewHistogram(),
	}
	r.core = NewCore(config.Limits, 0)
	var err error
	if r.data, err = binder.ListenUDP(config.Data, socketBuffer); err != nil {
		return nil, fault("relayer.Listen", err)
	}
	if r.outbound, err = binder.ListenUDP(config.Outbound, socketBuffer); err != nil {
		_ = r.data.Close()
		return nil, fault("relayer.Listen", err)
	}
	return r, nil
}

// Run relays until ctx ends, then closes the sockets.
func (r *Relayer) Run(ctx context.Context) error {
	closeAll := func() {
		_ = r.data.Close()
		_ = r.outbound.Close()
	}
	stop := context.AfterFunc(ctx, closeAll)
	defer stop()
	defer closeAll()
	group := runner.NewGroup(ctx, 3)
	group.Go("data", func(ctx context.Context) error { return r.receive(ctx, r.data, r.fromPeer) })
	group.Go("outbound", func(ctx context.Context) error { return r.receive(ctx, r.outbound, r.fromTarget) })
	group.Go("expire", r.expire)
	return group.Wait()
}

// receive takes datagrams until the socket is closed.
func (r *Relayer) receive(ctx context.Context, conn *net.UDPConn, each func(buffer []byte, n int, sender netip.AddrPort)) error {
	buffer := make([]byte, framer.HeaderSize+maxDatagram)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer[framer.HeaderSize:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The system reports errors of earlier sends here too; their datagrams are lost as on any network.
			r.config.Log.Warn("ReceiveFailed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(errorPause):
			}
			continue
		}
		each(buffer, n, netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()))
	}
}

// now returns the time since the start by the steady clock.
func (r *Relayer) now() cherviltide.Millis {
	return cherviltide.MillisOf(time.Since(r.started))
}

// state returns what decisions are made with, and false while the service has no table here.
func (r *Relayer) state(view *follower.View) (Context, bool) {
	self := r.config.Self()
	table, ok := view.Tables[self.Service]
	if !ok {
		table, ok = picker.New(cherviltide.Service{Name: self.Service, ID: cherviltide.ServiceIDOf(self.Service)}), len(view.Rules.Services) > 0
	}
	r.inForce.Store(view.Rules.Revision)
	rules := r.rules.Load()
	if rules == nil || rules.view != view || rules.service != self.Service {
		rules = &viewRules{view: view, service: self.Service}
		r.rules.Store(rules)
	}
	return Context{
		Now: r.now(), Self: self, Table: table, Rules: rules, Revision: view.Rules.Revision, Idle: view.Rules.FlowIdle,
	}, ok
}

// viewRules are the rules of a view for one service.
type viewRules struct {
	view    *follower.View
	service string
}

// AcceptsNewFlows reports whether new flows of a virtual address may go to the service.
func (v *viewRules) AcceptsNewFlows(virtual netip.AddrPort) bool {
	route, ok := v.view.Routes[virtual]
	return ok && route.AcceptsNewFlows(v.service)
}

// RouteRevision returns since which revision new flows of a virtual address go to the same services.
func (v *viewRules) RouteRevision(virtual netip.AddrPort) uint64 {
	route, ok := v.view.Routes[virtual]
	if !ok {
		return 0
	}
	return route.RouteRevision
}

// fromPeer handles a datagram of an entry or another agent. The buffer starts with room for a header that is not used.
func (r *Relayer) fromPeer(buffer []byte, n int, sender netip.AddrPort) {
	datagram := buffer[framer.HeaderSize : framer.HeaderSize+n]
	view := r.config.View()
	header, packet, err := framer.New(view.Key).Decode(datagram)
	if err != nil || header.Type != framer.TypeForward {
		r.Counters.Malformed.Add(1)
		return
	}
	a := Arrival{Header: header, Sender: sender}
	if header.Flags != framer.FlagHolderNotice {
		if a.Packet, err = r.config.Codec.Decode(packet); err != nil || a.Packet.Flags&cherviltide.PacketReturned != 0 {
			r.Counters.Malformed.Add(1)
			return
		}
	}
	x, ok := r.state(view)
	if !ok || header.Service != cherviltide.ServiceIDOf(x.Self.Service) {
		r.Counters.Foreign.Add(1)
		return
	}
	r.mu.Lock()
	step := r.core.FromPeer(x, a)
	r.mu.Unlock()
	r.act(x, step, header, a.Packet, datagram, packet)
}

// fromTarget handles a packet of the target. The room before it takes a header.
func (r *Relayer) fromTarget(buffer []byte, n int, _ netip.AddrPort) {
	packet := buffer[framer.HeaderSize : framer.HeaderSize+n]
	p, err := r.config.Codec.Decode(packet)
	if err != nil {
		r.Counters.Malformed.Add(1)
		return
	}
	x, _ := r.state(r.config.View())
	r.mu.Lock()
	step := r.core.FromTarget(x, p)
	r.mu.Unlock()
	if step.Restore {
		r.config.Codec.Restore(packet)
	}
	header := framer.Header{Flow: cherviltide.FlowKey{Caller: p.Source, Virtual: p.Destination}}
	r.act(x, step, header, p, buffer[:framer.HeaderSize+n], packet)
}

// act carries out a decision. datagram is the packet with room for a header before it.
func (r *Relayer) act(x Context, step Step, header framer.Header, p cherviltide.Packet, datagram, packet []byte) {
	key := header.Flow
	r.byReason[step.Reason].Add(1)
	r.log(x, step, header, p)
	switch step.Action {
	case ActionDeliver:
		r.Counters.Delivered.Add(1)
		r.config.Codec.SetToken(packet, step.Token)
		r.send(r.outbound, packet, r.config.Target)
	case ActionAnswer:
		r.Counters.Answered.Add(1)
		switch step.Phase {
		case PhaseOpening:
			r.OpeningTimes.Record(step.Took)
		case PhaseWork:
			r.ServiceTimes.Record(step.Took)
		}
		r.send(r.data, packet, netip.AddrPortFrom(p.Destination.Addr(), r.config.CallerPort))
	case ActionPass:
		r.Counters.Passed.Add(1)
		framer.New(r.config.View().Key).Encode(datagram, step.Header, len(packet))
		r.send(r.data, datagram, step.To)
	case ActionRefuse:
		r.Counters.Refused.Add(1)
		reset := r.config.Codec.AppendReset(nil, key, resetSequence)
		r.send(r.data, reset, netip.AddrPortFrom(key.Caller.Addr(), r.config.CallerPort))
	case ActionDrop:
		if step.Reason != ReasonNotice {
			r.Counters.Dropped.Add(1)
		}
	}
	if step.Notify.IsValid() {
		r.notify(key, x.Self.Service, step.Notify)
	}
}

// notify tells another agent that this one holds a flow.
func (r *Relayer) notify(key cherviltide.FlowKey, service string, to netip.AddrPort) {
	var b [framer.HeaderSize]byte
	framer.New(r.config.View().Key).Encode(b[:], framer.Header{
		Type: framer.TypeForward, Flags: framer.FlagHolderNotice, Service: cherviltide.ServiceIDOf(service), Flow: key,
	}, 0)
	r.send(r.data, b[:], to)
}

func (r *Relayer) send(conn *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		r.Counters.SendFailed.Add(1)
		r.config.Log.Warn("SendFailed", zap.Stringer("To", to), zap.Error(err))
	}
}

// expire forgets flows until ctx ends.
func (r *Relayer) expire(ctx context.Context) error {
	return runner.Every(ctx, expireInterval, func() {
		x, _ := r.state(r.config.View())
		r.mu.Lock()
		defer r.mu.Unlock()
		r.core.Expire(x)
	})
}

// SetTarget takes what the target says of itself; fresh is true for another target than before.
func (r *Relayer) SetTarget(t Target, fresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetTarget(t, fresh)
}

// RevisionInForce returns the configuration revision that decided the last packet.
func (r *Relayer) RevisionInForce() uint64 {
	return r.inForce.Load()
}

// Generations returns the generation of the agent's table and the lowest one at which a remembered flow was opened, for an
// announcement. The agent opens no flow at a lower generation afterwards.
func (r *Relayer) Generations() (current, oldest uint64) {
	table, ok := r.config.View().Tables[r.config.Self().Service]
	if !ok {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return table.Generation(), r.core.Oldest(r.now(), table.Generation())
}

// Flows returns the number of flows that the agent remembers.
func (r *Relayer) Flows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Flows()
}

// Load returns the number of flows that the target works on, and the smoothed time of a request in milliseconds, which is
// 0 when it is not known.
func (r *Relayer) Load() (active int, workMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Active(), r.core.WorkMs()
}

// DecisionsByReason returns the number of decisions by reason.
func (r *Relayer) DecisionsByReason() map[string]uint64 {
	counts := map[string]uint64{}
	for i := range r.byReason {
		counts[Reason(i).String()] = r.byReason[i].Load()
	}
	return counts
}

func fault(op string, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: cherviltide.KindInternal, Err: err}}
}
