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
	"cherviltide.example/cherviltide/pinger"
	"cherviltide.example/cherviltide/prober"
	"cherviltide.example/cherviltide/quarantiner"
	"cherviltide.example/cherviltide/runner"
)

const (
	// maxDatagram is the largest datagram including its header, in bytes; a packet fits an Ethernet frame.
	maxDatagram = 2 << 10
	// socketBuffer is the size of the receive buffer and of the send buffer of each socket, in bytes.
	socketBuffer = 1 << 20
	// expireInterval is the interval at which expired flows are removed.
	expireInterval = 250 * time.Millisecond
	// resetSequence is the sequence number of a reset for a flow that was not opened. If another target took a
	// retransmission of the opening packet, the open flow ignores the reset, because its sequence numbers start at random.
	resetSequence = 0
	// errorPause is the pause after a receive error. It prevents a socket that fails repeatedly from using a whole core.
	errorPause = 10 * time.Millisecond
)

// Error is a failure of the relayer's sockets.
type Error struct{ cherviltide.Fault }

// Config describes an agent's data path.
type Config struct {
	// Data is the address that receives framed packets from entries and agents, and from which packets are sent to them and
	// to callers (IPv4, UDP).
	Data netip.AddrPort
	// Outbound is the address that receives all packets from the target, and from which packets are sent to it. Target is
	// the address of the target.
	Outbound, Target netip.AddrPort
	// CallerPort is the port on which callers' machines receive packets.
	CallerPort uint16
	Codec      cherviltide.PacketCodec
	View       func() *follower.View
	// Self returns the agent as it is announced.
	Self   func() cherviltide.Member
	Limits Limits
	// SetPaused asks control to place no new flows here, or again, because the target is grey. It may be nil.
	SetPaused func(paused bool)
	Log       *zap.Logger
}

// Counters count packets since the start of the process, by the decision about them.
type Counters struct {
	// Passed packets were forwarded to another agent or back to the entry.
	Delivered, Passed, Answered, Refused, Dropped atomic.Uint64
	// Foreign datagrams are of another service; Malformed ones cannot be decoded or authenticated.
	Foreign, Malformed, SendFailed atomic.Uint64
	// EvacuationRefused and EvacuationHandedOn count the opening packets that were refused, or forwarded to an agent
	// elsewhere, while the agent's failure domain was evacuated.
	EvacuationRefused, EvacuationHandedOn atomic.Uint64
}

// Relayer is the data path of an agent.
type Relayer struct {
	config          Config
	data            *net.UDPConn
	outbound        *net.UDPConn
	started         time.Time
	mu              sync.Mutex
	decider         *Decider
	byReason        [reasonCount]atomic.Uint64
	revisionInForce atomic.Uint64
	// rules caches the rules of the last view, so that a packet does not allocate.
	rules    atomic.Pointer[viewRules]
	Counters Counters
	// OpeningTimes and ServiceTimes are the durations of the phases of flows.
	OpeningTimes, ServiceTimes *prober.Histogram
	// WaitTimes are the times for which new flows waited for a slot before they were opened.
	WaitTimes *prober.Histogram
	// quarantine is the last state that was reported, timesOut how often the target was taken out of service. paused is the
	// last value that SetPaused got.
	quarantine quarantiner.State
	timesOut   int
	paused     bool
	// waiting has an element after a flow has begun to wait.
	waiting chan struct{}
	// Reach decides which failure domains are closed; nil without a failure domain.
	Reach *pinger.Pinger
}

// Listen opens the sockets of an agent's data path.
func Listen(config Config) (*Relayer, error) {
	r := &Relayer{
		config: config, started: time.Now(), OpeningTimes: prober.NewHistogram(), ServiceTimes: prober.NewHistogram(),
		WaitTimes: prober.NewHistogram(), waiting: make(chan struct{}, 1),
	}
	r.decider = NewDecider(config.Limits, 0)
	var err error
	if r.data, err = binder.ListenUDP(config.Data, socketBuffer); err != nil {
		return nil, fault("relayer.Listen", err)
	}
	if r.outbound, err = binder.ListenUDP(config.Outbound, socketBuffer); err != nil {
		_ = r.data.Close()
		return nil, fault("relayer.Listen", err)
	}
	r.Reach = r.newPinger()
	return r, nil
}

// Run relays packets until ctx ends, then closes the sockets.
func (r *Relayer) Run(ctx context.Context) error {
	closeAll := func() {
		_ = r.data.Close()
		_ = r.outbound.Close()
	}
	stop := context.AfterFunc(ctx, closeAll)
	defer stop()
	defer closeAll()
	group := runner.NewGroup(ctx, 6)
	group.Go("recall", r.recall)
	group.Go("data", func(ctx context.Context) error { return r.receive(ctx, r.data, r.handlePeerDatagram) })
	group.Go("outbound", func(ctx context.Context) error { return r.receive(ctx, r.outbound, r.handleTargetPacket) })
	group.Go("expire", r.expire)
	group.Go("reach", r.Reach.Run)
	group.Go("waiting", r.watchWaiting)
	return group.Wait()
}

// receive handles datagrams until the socket is closed.
func (r *Relayer) receive(ctx context.Context, conn *net.UDPConn, handle func(buffer []byte, n int, sender netip.AddrPort)) error {
	buffer := make([]byte, framer.HeaderSize+maxDatagram)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer[framer.HeaderSize:])
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// The system also reports errors of earlier sends here. Those datagrams are lost, as on any network.
			r.config.Log.Warn("ReceiveFailed", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(errorPause):
			}
			continue
		}
		handle(buffer, n, netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port()))
	}
}

// now returns the time since the start by the monotonic clock.
func (r *Relayer) now() cherviltide.Millis {
	return cherviltide.MillisOf(time.Since(r.started))
}

// input returns the input of a decision. A service without a table gets an empty one. It returns false while there is no
// table and no rules with services have arrived.
func (r *Relayer) input(view *follower.View) (Input, bool) {
	self := r.config.Self()
	r.revisionInForce.Store(view.Rules.Revision)
	rules := r.rules.Load()
	if rules == nil || rules.view != view || rules.service != self.Service {
		rules = newViewRules(view, self.Service)
		r.rules.Store(rules)
	}
	return Input{
		Now: r.now(), Self: self, Table: rules.table, Rules: rules, Revision: view.Rules.Revision, IdleTimeout: view.Rules.FlowIdle, Closed: r.Reach.Closed(),
	}, rules.hasTable
}

// view returns the present view, or during a cut the one with retained agents.
func (r *Relayer) view() *follower.View {
	return r.Reach.View(r.config.View())
}

// viewRules implements Rules with the routes of a view for one service.
type viewRules struct {
	view    *follower.View
	service string
	// table is that of the service. hasTable is false while it is empty because no rules with services have arrived.
	table    *picker.Table
	hasTable bool
}

func newViewRules(view *follower.View, service string) *viewRules {
	v := &viewRules{view: view, service: service}
	if v.table, v.hasTable = view.ServiceTable(service); !v.hasTable {
		v.table = picker.New(cherviltide.Service{Name: service, ID: cherviltide.ServiceIDOf(service)}).WithEvacuated(view.Evacuated())
		v.hasTable = len(view.Rules.Services) > 0
	}
	return v
}

// AcceptsNewFlows reports whether new flows of a virtual address may go to the service.
func (v *viewRules) AcceptsNewFlows(virtual netip.AddrPort) bool {
	route, ok := v.view.Routes[virtual]
	return ok && route.AcceptsNewFlows(v.service)
}

// Route returns the route of a virtual address.
func (v *viewRules) Route(virtual netip.AddrPort) cherviltide.Route {
	if route, ok := v.view.Routes[virtual]; ok {
		return route.Route
	}
	return cherviltide.Route{}
}

// RouteRevision returns the revision that last changed the route shares of a virtual address.
func (v *viewRules) RouteRevision(virtual netip.AddrPort) uint64 {
	route, ok := v.view.Routes[virtual]
	if !ok {
		return 0
	}
	return route.RouteRevision
}

// handlePeerDatagram handles a datagram from an entry or another agent. The headroom of the buffer makes room for the full
// header of a packet that arrived with the short one.
func (r *Relayer) handlePeerDatagram(buffer []byte, n int, sender netip.AddrPort) {
	view := r.view()
	a, packet, err := r.decodePeerDatagram(view, buffer, n, sender)
	if err == nil && r.Reach.Handle(view, a.Header, packet, sender) {
		return
	}
	if err != nil || a.Packet.Flags&cherviltide.PacketReturned != 0 {
		r.Counters.Malformed.Add(1)
		return
	}
	header, datagram := a.Header, a.Datagram
	in, ok := r.input(view)
	if !ok || header.Service != cherviltide.ServiceIDOf(in.Self.Service) {
		r.Counters.Foreign.Add(1)
		return
	}
	r.mu.Lock()
	decision := r.decider.FromPeer(in, a)
	r.mu.Unlock()
	r.markTraffic(in, header)
	r.sendNotices(in, decision.Notices)
	r.execute(in, decision, header, a.Packet, datagram, packet)
	r.sendDueNotices(in, false)
	r.startWaiting(in)
}

// decodePeerDatagram decodes a datagram and the packet in it. The arrival's datagram has room for a full header.
func (r *Relayer) decodePeerDatagram(view *follower.View, buffer []byte, n int, sender netip.AddrPort) (a Arrival, packet []byte, err error) {
	received := buffer[framer.HeaderSize : framer.HeaderSize+n]
	a = Arrival{Sender: sender, Datagram: received}
	if short, ok := framer.ShortPayload(received); ok {
		if a.Packet, err = r.config.Codec.Decode(short); err != nil {
			return a, nil, err
		}
		flow := cherviltide.FlowKey{Caller: a.Packet.Source, Virtual: a.Packet.Destination}
		a.Header, err = framer.New(view.Key).DecodeShort(received, flow, sender)
		a.Datagram = buffer[framer.ShortHeaderSize : framer.HeaderSize+n]
		return a, short, err
	}
	if a.Header, packet, err = framer.New(view.Key).Decode(received); err != nil {
		return a, nil, err
	}
	switch {
	case a.Header.Type == framer.TypeReachProbe, a.Header.Type == framer.TypeReachEcho:
		// Such a datagram has no packet.
	case a.Header.Type != framer.TypeForward:
		err = framer.ErrType
	case a.Header.Flags == framer.FlagHolderNotice:
		a.Flows, err = framer.DecodeFlowKeys(packet)
	default:
		a.Packet, err = r.config.Codec.Decode(packet)
	}
	return a, packet, err
}

// handleTargetPacket handles a packet from the target. The headroom of the buffer is for a header.
func (r *Relayer) handleTargetPacket(buffer []byte, n int, _ netip.AddrPort) {
	packet := buffer[framer.HeaderSize : framer.HeaderSize+n]
	p, err := r.config.Codec.Decode(packet)
	if err != nil {
		r.Counters.Malformed.Add(1)
		return
	}
	in, _ := r.input(r.view())
	r.mu.Lock()
	decision := r.decider.FromTarget(in, p)
	r.mu.Unlock()
	if decision.Restore {
		r.config.Codec.Restore(packet)
	}
	// Only decisions about returned packets use this flow; such a packet has the caller as its source.
	header := framer.Header{Flow: cherviltide.FlowKey{Caller: p.Source, Virtual: p.Destination}}
	r.execute(in, decision, header, p, buffer[:framer.HeaderSize+n], packet)
	r.startWaiting(in)
}

// execute carries out a decision. datagram is the packet with headroom for a header.
func (r *Relayer) execute(in Input, decision Decision, header framer.Header, p cherviltide.Packet, datagram, packet []byte) {
	key := header.Flow
	r.byReason[decision.Reason].Add(1)
	r.countEvacuation(in, decision, p)
	r.log(in, decision, header, p)
	switch decision.Action {
	case ActionDeliver:
		r.Counters.Delivered.Add(1)
		r.config.Codec.SetToken(packet, decision.Token)
		r.send(r.outbound, packet, r.config.Target)
	case ActionAnswer:
		r.Counters.Answered.Add(1)
		switch decision.Phase {
		case PhaseOpening:
			r.OpeningTimes.Record(decision.Duration)
		case PhaseService:
			r.ServiceTimes.Record(decision.Duration)
		}
		r.send(r.data, packet, netip.AddrPortFrom(p.Destination.Addr(), r.config.CallerPort))
	case ActionForward:
		r.Counters.Passed.Add(1)
		framer.New(r.config.View().Key).Encode(datagram, decision.Header, len(packet))
		r.send(r.data, datagram, decision.To)
		if decision.Copy.IsValid() {
			r.send(r.data, datagram, decision.Copy)
		}
	case ActionRefuse:
		r.Counters.Refused.Add(1)
		reset := r.config.Codec.AppendReset(nil, key, resetSequence)
		r.send(r.data, reset, netip.AddrPortFrom(key.Caller.Addr(), r.config.CallerPort))
	case ActionWait:
		select {
		case r.waiting <- struct{}{}:
		default:
		}
	case ActionDrop:
		if decision.Reason != ReasonNotice {
			r.Counters.Dropped.Add(1)
		}
	}
	if decision.Notify.IsValid() {
		r.notify(key, in.Self.Service, decision.Notify)
	}
}

// notify tells another agent that this one has opened a flow or lets it wait.
func (r *Relayer) notify(key cherviltide.FlowKey, service string, to netip.AddrPort) {
	r.sendNotice(service, Notice{To: to, Use: noticeOpened, Flows: []cherviltide.FlowKey{key}})
}

func (r *Relayer) sendNotices(in Input, notices []Notice) {
	for _, n := range notices {
		r.sendNotice(in.Self.Service, n)
	}
}

// sendNotice sends a notice. Its header has the first flow, so that agents that do not read the payload learn one flow.
func (r *Relayer) sendNotice(service string, n Notice) {
	header := framer.Header{
		Type: framer.TypeForward, Flags: framer.FlagHolderNotice, Position: n.Use, Service: cherviltide.ServiceIDOf(service), Entry: n.Holder,
		Flow: cherviltide.FlowKey{Caller: r.config.Data, Virtual: r.config.Data},
	}
	rest := n.Flows
	if len(rest) > 0 {
		header.Flow, rest = rest[0], rest[1:]
	}
	b := framer.AppendFlowKeys(make([]byte, framer.HeaderSize, maxDatagram), rest)
	framer.New(r.config.View().Key).Encode(b, header, len(b)-framer.HeaderSize)
	r.send(r.data, b, n.To)
}

// sendDueNotices sends the notices that are due after a change of the table, or, if the timer has passed, for any reason.
func (r *Relayer) sendDueNotices(in Input, timer bool) {
	r.mu.Lock()
	var notices []Notice
	if timer || r.decider.HasNotices(in) {
		notices = r.decider.Notices(in)
	}
	r.mu.Unlock()
	r.sendNotices(in, notices)
}

// recall asks the other agents after the start who holds which flow, until they have answered or recallTimeout has passed.
// Later recalls are sent with the timer of expire.
func (r *Relayer) recall(ctx context.Context) error {
	ticker := time.NewTicker(recallInterval.Duration())
	defer ticker.Stop()
	for recalling := true; recalling; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		in, ok := r.input(r.view())
		if !ok {
			continue
		}
		r.sendDueNotices(in, true)
		r.mu.Lock()
		recalling = r.decider.isRecalling(in.Now)
		r.mu.Unlock()
	}
	<-ctx.Done()
	return nil
}

func (r *Relayer) send(conn *net.UDPConn, b []byte, to netip.AddrPort) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		r.Counters.SendFailed.Add(1)
		r.config.Log.Warn("SendFailed", zap.Stringer("To", to), zap.Error(err))
	}
}

// expire removes expired flows at regular intervals until ctx ends.
func (r *Relayer) expire(ctx context.Context) error {
	return runner.Every(ctx, expireInterval, func() {
		in, ok := r.input(r.view())
		r.mu.Lock()
		r.decider.Expire(in)
		changes := r.decider.pacing.pacer.TakeChanges()
		r.mu.Unlock()
		r.reportQuarantine()
		r.logPace(changes)
		if ok {
			r.sendDueNotices(in, true)
		}
	})
}

// SetTarget sets the state that the target reports; replaced is true when it is not the same target as before.
func (r *Relayer) SetTarget(t Target, replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t.ReportedAt = r.now()
	r.decider.SetTarget(t, replaced)
}

// RevisionInForce returns the configuration revision that the last packet was decided with.
func (r *Relayer) RevisionInForce() uint64 {
	return r.revisionInForce.Load()
}

// Generations returns the generation of the agent's table and the lowest generation at which a kept flow was opened, for
// the agent's announcement. The agent opens no flow at a lower generation afterwards.
func (r *Relayer) Generations() (current, oldest uint64) {
	table, ok := r.view().Tables[r.config.Self().Service]
	if !ok {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return table.Generation(), r.decider.OldestGeneration(r.now(), table.Generation())
}

// Flows returns the number of flows that the agent keeps, including ended ones until they expire.
func (r *Relayer) Flows() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Flows()
}

// Load returns the number of active flows and the smoothed service time of the target in milliseconds, which is 0 when it
// is not known.
func (r *Relayer) Load() (active int, serviceTimeMs float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Active(), r.decider.ServiceTimeMs()
}

// Transfers returns the number of uploads whose requests are under way.
func (r *Relayer) Transfers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Transfers()
}

// DecisionsByReason returns the number of decisions for each reason.
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
