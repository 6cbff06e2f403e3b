package replayer

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/shaper"
)

// entry is an entry with its link.
type entry struct {
	replay *replay
	// in and out are the same wire when both directions share the link.
	in, out *wire
	// shaper is nil with the baseline.
	shaper             *shaper.Shaper
	ticking, departing bool
}

func newEntry(r *replay, rate int64) *entry {
	e := &entry{replay: r, in: &wire{perMilli: float64(rate) / 1000}}
	e.out = e.in
	if r.pattern.Links.Separate {
		e.out = &wire{perMilli: e.in.perMilli}
	}
	if r.pattern.Links.ArrivalOrder {
		return e
	}
	config := shaper.Config{
		Rate: rate, Directions: r.pattern.Links.Directions, PacketHeader: linkPacketHeader, ForwardHeader: linkForwardHeader,
		MaxPayload: fullPacketPayload, OpeningRetransmissions: openingRetransmissions, OpeningTimeout: openingTimeout,
	}
	e.shaper = shaper.New(config)
	return e
}

// enter sends a caller's packet over the link to the entry.
func (e *entry) enter(a *attempt, p cherviltide.Packet) {
	e.replay.after(callerDelay, func() {
		at, ok := e.in.carry(e.replay.now, p.Length+linkPacketHeader+linkDatagramHeader)
		if ok {
			e.replay.after(at-e.replay.now, func() { e.receive(a, p) })
		}
	})
}

// receive handles a packet of a caller that has passed the link.
func (e *entry) receive(a *attempt, p cherviltide.Packet) {
	if e.shaper == nil {
		e.transmit(a, p)
		return
	}
	now, size := e.replay.now, p.Length+linkPacketHeader
	upload := a.request.kind.Route.Class == cherviltide.ClassUpload
	switch {
	case upload && p.OpensFlow():
		e.open(a, p)
		return
	case upload:
		e.shaper.Packet(now, a.key, p)
	default:
		e.shaper.CountOther(now, size)
	}
	e.depart(a, p)
	e.release()
}

func (e *entry) open(a *attempt, p cherviltide.Packet) {
	route := a.request.kind.Route
	o := shaper.Opening{Flow: a.key, Priority: route.Priority, Goal: route.Goal, Retransmission: p.Retransmission, Datagram: make([]byte, linkPacketHeader+linkForwardHeader)}
	switch e.shaper.Open(e.replay.now, o) {
	case shaper.VerdictForward:
		e.depart(a, p)
	case shaper.VerdictRefuse:
		e.refuse(a)
	default:
		e.tick()
	}
}

// tick examines waiting opening packets at intervals.
func (e *entry) tick() {
	if e.ticking {
		return
	}
	e.ticking = true
	e.replay.after(tickInterval, func() {
		e.ticking = false
		if e.release(); e.shaper.Waiting() > 0 {
			e.tick()
		}
	})
}

// release forwards or refuses opening packets that wait no longer.
func (e *entry) release() {
	for d, ok := e.shaper.Next(e.replay.now); ok; d, ok = e.shaper.Next(e.replay.now) {
		a := e.replay.attempts[d.Flow]
		if d.Refused {
			e.refuse(a)
			continue
		}
		e.replay.report.Links.LongestWaitMs = max(e.replay.report.Links.LongestWaitMs, d.Wait)
		e.depart(a, cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: openingSequence, Retransmission: d.Retransmission})
	}
}

func (e *entry) refuse(a *attempt) {
	e.replay.report.Links.Refusals++
	e.replay.refuse(a)
}

// depart sends a packet, or lets it wait for the link.
func (e *entry) depart(a *attempt, p cherviltide.Packet) {
	size := p.Length + linkPacketHeader + linkForwardHeader
	if e.shaper.Exit.Pass(e.replay.now, size) {
		e.transmit(a, p)
		return
	}
	upload := a.request.kind.Route.Class == cherviltide.ClassUpload
	e.shaper.Exit.Add(e.replay.now, shaper.Outgoing{Packet: p, Flow: a.key, Upload: upload, Datagram: make([]byte, size)})
	e.sendWaiting()
}

// sendWaiting sends the packets whose turn it is, and again when the link can take the next one.
func (e *entry) sendWaiting() {
	for p, ok := e.shaper.Exit.Next(e.replay.now); ok; p, ok = e.shaper.Exit.Next(e.replay.now) {
		e.transmit(e.replay.attempts[p.Flow], p.Packet)
	}
	wait, waits := e.shaper.Exit.Wait(e.replay.now)
	if !waits || e.departing {
		return
	}
	e.departing = true
	e.replay.after(max(wait, 1), func() {
		e.departing = false
		e.sendWaiting()
	})
}

// transmit sends a packet over the link to the target.
func (e *entry) transmit(a *attempt, p cherviltide.Packet) {
	at, ok := e.out.carry(e.replay.now, p.Length+linkPacketHeader+linkForwardHeader+linkDatagramHeader)
	if ok {
		e.replay.after(at-e.replay.now, func() { e.replay.forward(a, p, agentDelay) })
	}
}

// lostPackets returns the number of packets that the link lost.
func (e *entry) lostPackets() int {
	if e.out == e.in {
		return e.in.lost
	}
	return e.in.lost + e.out.lost
}

// addEntries adds the entries of the pattern.
func (r *replay) addEntries() {
	for _, rate := range r.pattern.Links.Rates {
		r.entries = append(r.entries, newEntry(r, rate))
	}
}

// chooseEntry chooses the entry for an attempt, another one than that of the last attempt. It returns nil without entries.
func (r *replay) chooseEntry(q *request) *entry {
	if len(r.entries) == 0 {
		return nil
	}
	i := r.random.IntN(len(r.entries))
	if r.entries[i] == q.entry {
		i = (i + 1) % len(r.entries)
	}
	q.entry = r.entries[i]
	return q.entry
}
