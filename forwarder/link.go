package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/clock"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/shaper"
)

const (
	// resetSequence is the sequence number of the reset for a flow that is not admitted. If another entry has forwarded a copy of
	// the opening packet, the open flow ignores the reset, because its sequence numbers start at random.
	resetSequence = 0
	// releaseInterval is the interval at which waiting opening packets are examined without a packet that gives a place back.
	releaseInterval = 10 * time.Millisecond
	// reasonLinkBusy is the reason in log lines about opening packets that wait for the link.
	reasonLinkBusy = "LinkBusy"
)

// LinkCounters count the opening packets of uploads since the start of the process. They are safe for concurrent use.
type LinkCounters struct {
	// Admitted opening packets were forwarded, at once or after a wait, and Refused ones answered with a reset. Waited counts
	// those that had to wait, and Absorbed copies of waiting ones.
	Admitted, Refused, Waited, Absorbed atomic.Uint64
}

// link schedules the link of an entry: it connects a Shaper to the clock, to the packets of the entry and to its sockets.
// It is safe for concurrent use.
type link struct {
	relay *Relay
	clock cherviltide.Clock
	// receivedAt is the time at which the last packets were received, and of the decisions about them. The clock is read once
	// for a batch.
	receivedAt atomic.Int64
	// waiting has a value when packets may wait or a place has become free.
	waiting chan struct{}
	mu      sync.Mutex
	shaper  *shaper.Shaper
	// separate is the value of Shaper.Separate that was logged last.
	separate bool
}

// newLink returns the schedule of the link in the configuration of a relay, or nil when its rate is not known.
func newLink(r *Relay) *link {
	config := r.config.Link
	if config.Rate <= 0 {
		return nil
	}
	config.ForwardHeader = framer.HeaderSize
	if r.config.ShortHeaders {
		config.ForwardHeader = framer.ShortHeaderSize
	}
	l := &link{relay: r, clock: clock.NewMonotonic(), waiting: make(chan struct{}, 1), shaper: shaper.New(config)}
	l.separate = l.shaper.Separate()
	return l
}

// receive returns the time and keeps it for the decisions about the packets that were received.
func (l *link) receive() cherviltide.Millis {
	now := l.clock.Now()
	l.receivedAt.Store(int64(now))
	return now
}

// accept records a caller's packet and reports whether it is forwarded now. datagram is the packet with its headroom.
func (l *link) accept(view *follower.View, key cherviltide.FlowKey, p cherviltide.Packet, datagram []byte) bool {
	route, ok := view.Routes[key.Virtual]
	if !ok {
		return true
	}
	now := cherviltide.Millis(l.receivedAt.Load())
	if route.Route.Class == cherviltide.ClassUpload && p.OpensFlow() {
		return l.open(now, shaper.Opening{
			Flow: key, Priority: route.Route.Priority, Goal: route.Route.Goal, Retransmission: p.Retransmission, Datagram: datagram,
		})
	}
	l.mu.Lock()
	if route.Route.Class == cherviltide.ClassUpload {
		l.shaper.Packet(now, key, p)
	} else {
		l.shaper.CountOther(now, len(datagram)-framer.HeaderSize)
	}
	ready := l.shaper.Ready(now)
	l.mu.Unlock()
	if ready {
		l.wake()
	}
	return true
}

// open decides about the opening packet of an upload and reports whether it is forwarded now.
func (l *link) open(now cherviltide.Millis, o shaper.Opening) bool {
	l.mu.Lock()
	verdict := l.shaper.Open(now, o)
	l.mu.Unlock()
	counters := &l.relay.LinkCounters
	switch verdict {
	case shaper.VerdictWait:
		counters.Waited.Add(1)
		l.log("FlowWaits", o, 0)
		l.wake()
	case shaper.VerdictAbsorbed:
		counters.Absorbed.Add(1)
	case shaper.VerdictRefuse:
		l.refuse(o, 0)
	default:
		counters.Admitted.Add(1)
		return true
	}
	return false
}

func (l *link) wake() {
	select {
	case l.waiting <- struct{}{}:
	default:
	}
}

// hasRoom reports whether a datagram may leave at once, and counts it if so.
func (l *link) hasRoom(size int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shaper.Exit.Pass(cherviltide.Millis(l.receivedAt.Load()), size)
}

// depart reports whether a datagram with a packet leaves at once. If not, it waits for the link or is dropped.
func (l *link) depart(route *follower.RouteTables, flow cherviltide.FlowKey, datagram, packet []byte, to netip.AddrPort) bool {
	if l.hasRoom(len(datagram)) {
		return true
	}
	now := cherviltide.Millis(l.receivedAt.Load())
	p, err := l.relay.config.Codec.Decode(packet)
	if err != nil {
		l.relay.Counters.countDrop(ReasonMalformed)
		return false
	}
	upload := route.Route.Class == cherviltide.ClassUpload
	l.mu.Lock()
	l.shaper.Exit.Add(now, shaper.Outgoing{Packet: p, Flow: flow, Upload: upload, Datagram: datagram, To: to})
	l.mu.Unlock()
	l.wake()
	return false
}

// run releases waiting packets until the sockets are closed. Its timer runs only while some wait.
func (l *link) run(ctx context.Context) error {
	out, err := newSender(l.relay.internal)
	if err != nil {
		return fault(cherviltide.KindInternal, err)
	}
	timer := time.NewTimer(releaseInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.relay.closed:
			return nil
		case <-l.waiting:
		case <-timer.C:
		}
		timer.Stop()
		l.release(out)
		for l.sendNext(out) {
		}
		l.relay.flush(out)
		l.logDirections()
		if wait, ok := l.nextRelease(); ok {
			timer.Reset(wait)
		}
	}
}

// nextRelease returns the time until a waiting packet may be released, and false when none waits.
func (l *link) nextRelease() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, waits := l.shaper.Exit.Wait(l.clock.Now())
	switch {
	case waits:
		return min(max(wait.Duration(), time.Millisecond), releaseInterval), true
	case l.shaper.Waiting() > 0:
		return releaseInterval, true
	}
	return 0, false
}

// release forwards or refuses the opening packets that wait no longer for a place.
func (l *link) release(out *sender) {
	view := l.relay.Reach.View(l.relay.config.View())
	for {
		l.mu.Lock()
		d, ok := l.shaper.Next(l.receive())
		l.mu.Unlock()
		if !ok {
			return
		}
		if d.Refused {
			l.refuse(d.Opening, d.Wait)
			continue
		}
		l.relay.LinkCounters.Admitted.Add(1)
		l.relay.LinkWaits.Record(d.Wait)
		l.relay.send(view, d.Datagram, l.relay.header(view, d.Flow), true, out)
	}
}

// sendNext queues the next packet that leaves now, and returns false when there is none.
func (l *link) sendNext(out *sender) bool {
	l.mu.Lock()
	p, ok := l.shaper.Exit.Next(l.clock.Now())
	l.mu.Unlock()
	if !ok {
		return false
	}
	l.relay.enqueue(out, p.Datagram, p.To)
	return true
}

// refuse sends a reset to the caller of a flow that is not admitted.
func (l *link) refuse(o shaper.Opening, waited cherviltide.Millis) {
	l.relay.LinkCounters.Refused.Add(1)
	l.log("FlowRefused", o, waited)
	reset := l.relay.config.Codec.AppendReset(nil, o.Flow, resetSequence)
	to := netip.AddrPortFrom(o.Flow.Caller.Addr(), l.relay.config.CallerPort)
	if _, err := l.relay.public.WriteToUDPAddrPort(reset, to); err != nil {
		l.relay.Counters.countDrop(ReasonSendFailed)
	}
}

// log writes a line about an opening packet that is not forwarded at once.
func (l *link) log(event string, o shaper.Opening, waited cherviltide.Millis) {
	line := l.relay.config.Log.Check(zap.InfoLevel, event)
	if line == nil {
		return
	}
	inProgress, waiting := l.transfers()
	line.Write(zap.String("Flow", o.Flow.ID()), zap.Stringer("Caller", o.Flow.Caller), zap.Stringer("Virtual", o.Flow.Virtual),
		zap.Uint32("Copy", o.Retransmission), zap.String("Reason", reasonLinkBusy), zap.Int("Transfers", inProgress),
		zap.Int("Waiting", waiting), zap.Int64("WaitMs", int64(waited)))
}

// logDirections writes a line when the directions of the link are taken for others than before. That happens only while opening
// packets wait.
func (l *link) logDirections() {
	l.mu.Lock()
	separate := l.shaper.Separate()
	changed := separate != l.separate
	l.separate = separate
	l.mu.Unlock()
	if changed {
		l.relay.config.Log.Info("LinkDirections", zap.Bool("Separate", separate))
	}
}

// transfers returns the numbers of transfers in progress and of waiting opening packets.
func (l *link) transfers() (inProgress, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shaper.InProgress(l.clock.Now()), l.shaper.Waiting()
}

// Transfers returns the numbers of uploads in progress through the link and of opening packets that wait for it; both are 0
// when the link is not scheduled.
func (r *Relay) Transfers() (inProgress, waiting int) {
	if r.link == nil {
		return 0, 0
	}
	return r.link.transfers()
}

// LinkQueue returns the bytes that wait at the exit to the link, and the packets that were dropped there by reason.
func (r *Relay) LinkQueue() (bytes int, dropped map[string]shaper.Drops) {
	dropped = map[string]shaper.Drops{}
	if r.link == nil {
		return 0, dropped
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	for _, reason := range shaper.DropReasons() {
		dropped[reason.String()] = r.link.shaper.Exit.Dropped(reason)
	}
	return r.link.shaper.Exit.Bytes(), dropped
}

// LinkSeparate reports whether the link is taken for one that carries its rate in each direction.
func (r *Relay) LinkSeparate() bool {
	if r.link == nil {
		return false
	}
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	return r.link.shaper.Separate()
}
