package replayer

import (
	"maps"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/relayer"
)

// target is a target with the agent beside it.
type target struct {
	replay  *replay
	index   int
	speed   float64
	member  cherviltide.Member
	decider *relayer.Decider
	running bool
	// paused is what the agent has announced.
	paused bool
	// incarnation grows with each stop, so that events of a former incarnation do nothing.
	incarnation int
	startedAt   cherviltide.Millis
	flows       map[*attempt]bool
	busy        int
	waiting     []*attempt
	// off is true while the target is off, also when its agent runs. filledAt is when the shared resource of a cold target is
	// free. delivered has the opening packets of the last second while the target is cold.
	off       bool
	filledAt  float64
	delivered []cherviltide.Millis
	// reportedLeft is the remaining warm-up of the last heartbeat, at reportedAt.
	reportedLeft, reportedAt cherviltide.Millis
}

// newTarget returns a target that has been running for long.
func newTarget(r *replay, index int, speed float64) *target {
	t := &target{replay: r, index: index, speed: speed, member: memberOf(index)}
	t.member.Weight = uint32(speed * cherviltide.NominalWeight)
	if r.pattern.WarmUp.Time > 0 {
		// As the agents' measured rates make it.
		perSecond := float64(r.pattern.Slots) * 1000 * speed / r.pattern.Kinds[0].ServiceTime
		t.member.Weight = uint32(perSecond * cherviltide.NominalWeight / cherviltide.NominalRate)
	}
	t.start()
	t.startedAt = -max(coldTime, r.pattern.WarmUp.Time)
	if r.pattern.WarmUp.Time > 0 {
		t.reportOnce(false)
	}
	return t
}

// start starts the agent and the target without any state.
func (t *target) start() {
	slots := t.replay.pattern.Slots
	if t.replay.pattern.TargetQueues {
		slots += t.replay.pattern.Queue
	}
	t.decider = relayer.NewDecider(relayer.Limits{
		MaxFlowAge: 60_000, MaxPayload: fullPacketPayload, OpeningRetransmissions: openingRetransmissions, OpeningTimeout: openingTimeout,
		ColdBound: t.replay.pattern.WarmUp.Bound, QuarantineShare: t.replay.pattern.QuarantineShare,
	}, t.replay.now)
	if t.replay.pattern.WarmUp.Time == 0 {
		t.decider.SetTarget(relayer.Target{Slots: slots, AcceptsNewFlows: true, LastResort: true}, false)
	}
	t.flows, t.running, t.startedAt = map[*attempt]bool{}, true, t.replay.now
	t.busy, t.waiting = 0, nil
}

func (t *target) stop() {
	t.running = false
	t.incarnation++
	// The order of a map would make runs with the same seed differ.
	inOrder := func(a, b *attempt) int { return a.key.Caller.Compare(b.key.Caller) }
	for _, a := range slices.SortedFunc(maps.Keys(t.flows), inOrder) {
		if a.openAt == t {
			// The caller notices at its deadline; its request fails unless it may be sent again.
			t.replay.after(1_000, func() { t.replay.endAttempt(a, false) })
		}
	}
}

// later schedules a call that does nothing when the target has stopped meanwhile.
func (t *target) later(delay cherviltide.Millis, call func()) {
	incarnation := t.incarnation
	t.replay.after(delay, func() {
		if t.running && t.incarnation == incarnation {
			call()
		}
	})
}

// sequence is the first sequence number of the target.
func (t *target) sequence() uint32 { return uint32(t.index+1) * 10_000_000 }

// receive handles a packet that the agent has delivered.
func (t *target) receive(a *attempt, p cherviltide.Packet) {
	if t.off || t.isGrey(GreyMute) && p.OpensFlow() {
		return
	}
	if p.OpensFlow() {
		t.recordDelivery()
		t.flows[a] = true
		t.send(a, cherviltide.Packet{Flags: cherviltide.PacketOpen | cherviltide.PacketAck, Sequence: t.sequence()})
		t.replay.after(callerDelay, func() { t.acknowledge(a) })
		return
	}
	if !t.flows[a] || p.Length == 0 {
		return
	}
	if !t.completes(a, p) {
		return
	}
	if t.receiveGrey(a) {
		return
	}
	if a.ranAt != nil && a.ranAt != t {
		t.replay.report.Doubled++
	}
	if a.reset {
		t.replay.report.FalseRefusals++
	}
	a.ranAt = t
	switch {
	case t.busy < t.replay.pattern.Slots:
		t.work(a)
	case len(t.waiting) < t.replay.pattern.Queue:
		t.waiting = append(t.waiting, a)
		t.replay.report.LongestQueue = max(t.replay.report.LongestQueue, len(t.waiting))
	default:
		t.reject(a)
	}
}

// completes handles a packet of a request, and reports whether it is the last one that was missing.
func (t *target) completes(a *attempt, p cherviltide.Packet) bool {
	if a.window != nil {
		return t.receiveData(a, p)
	}
	a.missing--
	return a.missing <= 0
}

// acknowledge lets the caller acknowledge the first target that answers, and send its request.
func (t *target) acknowledge(a *attempt) {
	if a.ended || a.openAt != nil {
		return
	}
	a.openAt = t
	t.replay.sendRequest(a)
}

// work runs a request in a slot.
func (t *target) work(a *attempt) {
	t.busy++
	mean := a.request.kind.ServiceTime / t.speed
	if t.replay.pattern.WarmUp.Time == 0 && t.replay.now-t.startedAt < coldTime {
		mean *= coldFactor
	}
	if t.index == 0 && t.replay.pattern.Slow.contains(t.replay.now) {
		mean *= t.replay.pattern.SlowFactor
	}
	if t.isGrey(GreySlow) {
		mean *= greySlowness
	}
	// Half of the time is the same for all requests, so that the spread is half of the mean.
	service := mean/2 + t.replay.random.ExpFloat64()*mean/2
	if t.replay.pattern.WarmUp.Time > 0 {
		service = t.warmUpTime(service)
	}
	took := cherviltide.Millis(service + t.replay.random.Float64())
	if t.replay.pattern.HoldSlots {
		t.later(took, func() { t.respond(a) })
		took += cherviltide.Millis(max(a.request.kind.Packets, 1) - 1)
	}
	t.replay.report.busyTime += took
	t.later(took, func() {
		t.busy--
		t.recordServed()
		if !t.replay.pattern.HoldSlots {
			t.respond(a)
		}
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.work(next)
		}
	})
}

// respond sends the answer, whose last packet is not full.
func (t *target) respond(a *attempt) {
	last := cherviltide.Millis(max(a.request.kind.Packets, 1) - 1)
	for i := range last {
		t.later(i, func() { t.send(a, cherviltide.Packet{Flags: cherviltide.PacketAck, Length: fullPacketPayload}) })
	}
	flags := cherviltide.PacketAck | cherviltide.PacketFinish
	if a.session != nil {
		flags = cherviltide.PacketAck
	}
	t.later(last, func() {
		t.send(a, cherviltide.Packet{Flags: flags, Length: 500})
		t.replay.after(callerDelay, func() { t.replay.answer(a) })
	})
}

// reject answers that the target is full and has not run the request; the caller may try again.
func (t *target) reject(a *attempt) {
	a.ranAt = nil
	t.send(a, cherviltide.Packet{Flags: cherviltide.PacketAck | cherviltide.PacketFinish, Length: 100})
	t.replay.after(callerDelay, func() { t.replay.endAttempt(a, true) })
}

// send gives a packet of the target to its agent.
func (t *target) send(a *attempt, p cherviltide.Packet) {
	p.Source, p.Destination = a.key.Virtual, a.key.Caller
	t.replay.execute(t, t.decider.FromTarget(t.replay.input(t), p), a.key, p)
	t.later(0, func() { t.replay.startWaiting(t) })
}
