// Package replayer plays load patterns against the decisions of entries and agents in simulated time: callers that send copies of
// their opening packets and come back after a refusal, entries with their links, agents with their deciders, and targets with
// slots, a queue and a cold start.
package replayer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/picker"
	"cherviltide.example/cherviltide/relayer"
)

// Times of the model, in milliseconds. Callers follow the schedule that agents expect of them.
const (
	callerDelay       cherviltide.Millis = 2
	agentDelay        cherviltide.Millis = 1
	openingTimeout    cherviltide.Millis = 1_400
	retryDelay        cherviltide.Millis = 20
	tickInterval      cherviltide.Millis = 10
	expireInterval    cherviltide.Millis = 250
	coldTime          cherviltide.Millis = 2_000
	coldFactor                           = 1.6
	maxAttempts                          = 3
	expireEvery                          = expireInterval / tickInterval
	fullPacketPayload                    = 1_200
)

var openingRetransmissions = []cherviltide.Millis{200, 600}

// Kind is a kind of request.
type Kind struct {
	Name  string
	Route cherviltide.Route
	// PerSecond is the rate of requests, ServiceTime the mean time that one takes a slot, in milliseconds.
	PerSecond, ServiceTime float64
	// Packets is the number of packets of an answer. They leave the target one millisecond apart, after the slot is free.
	Packets int
	Upload  Upload
	// LongFlows is set when callers keep their flows open.
	LongFlows LongFlows
}

// Pattern is a load pattern with its service.
type Pattern struct {
	Name string
	// Slots and Queue are those of each target. A target rejects requests beyond them.
	Slots, Queue int
	// Speeds has the speed of each target relative to the service times of the kinds.
	Speeds []float64
	Kinds  []Kind
	// Duration is how long requests arrive.
	Duration cherviltide.Millis
	// Outage, if its end is above 0, is the time in which all agents and targets are off. They lose all state.
	Outage Interval
	// Burst is the time in which BurstFactor times the usual requests arrive.
	Burst       Interval
	BurstFactor float64
	Wave        Wave
	// Lost targets are off from LostFrom on, without notice until the table follows LostNotice later.
	Lost                 int
	LostFrom, LostNotice cherviltide.Millis
	// SlowFactor multiplies the service times of target 0 during Slow.
	Slow       Interval
	SlowFactor float64
	// Grey targets fail without notice. QuarantineShare is the share of targets that agents may take out of service.
	Grey            Grey
	QuarantineShare float64
	// WholeFlows makes agents count uploads against the slots from their opening on. It is the baseline for uploads.
	WholeFlows bool
	// HoldSlots makes targets hold the slot of a request until the last packet of its answer.
	HoldSlots bool
	// TargetQueues makes agents deliver all opening packets at once, so that flows wait in the targets' queues. It is the
	// baseline for comparison.
	TargetQueues bool
	WarmUp       WarmUp
	Links        Links
}

// Interval is a time interval.
type Interval struct{ From, To cherviltide.Millis }

func (i Interval) contains(t cherviltide.Millis) bool { return t >= i.From && t < i.To }

// Report is the outcome of a pattern.
type Report struct {
	// PerSecond has the results by kind and second of arrival.
	PerSecond Results
	// Doubled counts attempts that two targets ran, FalseRefusals those that were reset and ran, Offers the offers between
	// agents, and Attempts the flows that callers tried to open.
	Doubled, FalseRefusals, Offers, Attempts int
	// LongestWaitMs is the longest time that a flow waited at an agent before it was opened.
	LongestWaitMs cherviltide.Millis
	// LeftWaiting is the number of flows that still waited at the end.
	LeftWaiting int
	// Paused counts the announcements of agents that take their targets out of service.
	Paused int
	// Busy is the share of the targets' slots that were taken, and LongestQueue the most requests that waited in one target.
	Busy         float64
	LongestQueue int
	// busyTime is the sum of the times for which slots were taken.
	busyTime cherviltide.Millis
	// Served has the requests that the restarted targets of a pattern with a warm-up have finished, by servedInterval, and
	// ColdDeliveries the most opening packets that a cold target got in a second.
	Served         []int
	ColdDeliveries int
	// Links has the counts of the links.
	Links LinkCounts
}

// Sum returns the results of the given kinds, or of all, whose requests arrived in an interval of whole seconds.
func (r *Report) Sum(from, to int, kinds ...string) Result {
	return r.PerSecond.Sum(from, to, kinds...)
}

// request is a caller's request with its attempts.
type request struct {
	kind      *Kind
	startedAt cherviltide.Millis
	attempts  int
	done      bool
	// session is the caller that keeps its flow open, or nil.
	session *session
	// entry is the entry of the last attempt, or nil.
	entry *entry
}

// attempt is one flow of a request.
type attempt struct {
	request *request
	key     cherviltide.FlowKey
	// openAt is the target that the caller has acknowledged, or nil.
	openAt *target
	// ranAt is the target that ran the request, or nil.
	ranAt *target
	ended bool
	reset bool
	// nextSequence is the sequence number of the caller's next payload, missing the number of packets of the request that
	// have not reached the target.
	nextSequence uint32
	missing      int
	// session is the caller that keeps the flow open, or nil.
	session *session
	// entry is the entry of the flow, or nil without links. window is the transfer of the request over its link, of which the
	// caller sends no more than sendable packets.
	entry    *entry
	window   *window
	sendable int
}

// replay is the state of a simulation.
type replay struct {
	loop
	pattern  Pattern
	random   *rand.Rand
	table    *picker.Table
	targets  []*target
	entries  []*entry
	attempts map[cherviltide.FlowKey]*attempt
	routes   map[netip.AddrPort]cherviltide.Route
	lastPort int
	report   *Report
}

// Run plays a pattern. Runs with the same seed are equal.
func Run(p Pattern, seed uint64) *Report {
	p.Kinds = slices.Clone(p.Kinds)
	r := &replay{
		pattern: p, random: rand.New(rand.NewPCG(seed, 0)), attempts: map[cherviltide.FlowKey]*attempt{},
		routes: map[netip.AddrPort]cherviltide.Route{}, report: &Report{PerSecond: Results{}},
	}
	r.table = picker.New(cherviltide.Service{Name: serviceName, ID: cherviltide.ServiceIDOf(serviceName), Buckets: 512, WarmUp: p.WarmUp.rules()})
	for i, speed := range p.Speeds {
		r.targets = append(r.targets, newTarget(r, i, speed))
		r.addEvent(cherviltide.EventJoined, i)
	}
	r.addEntries()
	for i := range p.Kinds {
		r.scheduleKind(i, seed)
	}
	r.scheduleFaults()
	r.scheduleWarmUp()
	r.after(0, r.tick)
	end := p.Duration + 5_000
	for _, k := range p.Kinds {
		end = max(end, p.Duration+k.Route.Deadline+1_000)
	}
	r.run(end)
	for _, t := range r.targets {
		r.report.LeftWaiting += t.decider.Waiting()
	}
	if slots := p.Slots * len(p.Speeds); slots > 0 {
		r.report.Busy = float64(r.report.busyTime) / float64(p.Duration) / float64(slots)
	}
	r.countLinks()
	return r.report
}

// countLinks completes the counts of the links.
func (r *replay) countLinks() {
	for _, e := range r.entries {
		r.report.Links.Lost += e.lostPackets()
	}
	seconds := float64(r.pattern.Duration) / 1000
	r.report.Links.Offered /= seconds
	r.report.Links.Goodput /= seconds
}

// scheduleKind schedules the arrivals of a kind as a Poisson process.
func (r *replay) scheduleKind(index int, seed uint64) {
	kind := &r.pattern.Kinds[index]
	kind.Route.Address = virtualAddress(index)
	if r.pattern.WholeFlows && kind.Route.Class == cherviltide.ClassUpload {
		kind.Route.Class = cherviltide.ClassNormal
	}
	r.routes[kind.Route.Address] = kind.Route
	sessions := make([]*session, kind.LongFlows.Callers)
	for i := range sessions {
		sessions[i] = &session{replay: r}
	}
	random := r.random
	if len(r.entries) > 0 {
		// Each kind has its own random numbers, so that the requests arrive at the same times in all variants.
		random = rand.New(rand.NewPCG(seed, uint64(index+1)))
	}
	var next func()
	next = func() {
		if r.now >= r.pattern.Duration {
			return
		}
		q := &request{kind: kind, startedAt: r.now}
		if len(sessions) > 0 {
			sessions[random.IntN(len(sessions))].ask(q)
		} else {
			r.startAttempt(q)
		}
		r.report.PerSecond.at(kind.Name, r.now).Asked++
		r.report.Links.Offered += float64(kind.Upload.bytes())
		rate := kind.PerSecond * r.pattern.Wave.factor(r.now)
		if r.pattern.Burst.contains(r.now) {
			rate *= r.pattern.BurstFactor
		}
		r.after(cherviltide.Millis(random.ExpFloat64()*1000/rate+random.Float64()), next)
	}
	r.after(cherviltide.Millis(random.IntN(10)), next)
}

// scheduleFaults schedules the outage and the loss of targets.
func (r *replay) scheduleFaults() {
	if o := r.pattern.Outage; o.To > 0 {
		r.after(o.From, func() {
			for _, t := range r.targets {
				t.stop()
			}
		})
		for _, t := range r.targets {
			// Machines do not come back at the same moment.
			r.after(o.To+cherviltide.Millis(r.random.IntN(150)), t.start)
		}
	}
	for i := range r.pattern.Lost {
		r.after(r.pattern.LostFrom, r.targets[i].stop)
		r.after(r.pattern.LostFrom+r.pattern.LostNotice, func() { r.addEvent(cherviltide.EventDied, i) })
	}
}

// addEvent adds an event about the agent of a target to the table.
func (r *replay) addEvent(kind cherviltide.EventType, index int) {
	r.table = r.table.WithEvent(r.table.Generation()+1, cherviltide.MemberEvent{Type: kind, Member: r.targets[index].member})
}

// tick examines waiting flows at all agents at regular intervals.
func (r *replay) tick() {
	for _, t := range r.targets {
		if !t.running {
			continue
		}
		t.ramp()
		if r.now/tickInterval%expireEvery == 0 {
			t.decider.Expire(r.input(t))
			t.tickGrey()
		}
		if t.decider.Waiting() > 0 {
			t.decider.ExpireActive(r.input(t))
			r.startWaiting(t)
		}
	}
	r.after(tickInterval, r.tick)
}

func (r *replay) input(t *target) relayer.Input {
	return relayer.Input{Now: r.now, Self: t.member, Table: r.table, Rules: rules(r.routes), Revision: 1}
}

// rules implements relayer.Rules; all routes lead to the one service.
type rules map[netip.AddrPort]cherviltide.Route

func (r rules) AcceptsNewFlows(netip.AddrPort) bool            { return true }
func (r rules) RouteRevision(netip.AddrPort) uint64            { return 1 }
func (r rules) Route(virtual netip.AddrPort) cherviltide.Route { return r[virtual] }

const serviceName = "desk"

func virtualAddress(index int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, byte(index + 1)}), 443)
}

// startAttempt opens a flow for a request, with the copies of its opening packet.
func (r *replay) startAttempt(q *request) {
	q.attempts++
	r.report.Attempts++
	r.lastPort++
	caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(r.lastPort >> 14), byte(r.lastPort >> 22)}), uint16(1024+r.lastPort&(1<<14-1)))
	a := &attempt{request: q, key: cherviltide.FlowKey{Caller: caller, Virtual: q.kind.Route.Address}, nextSequence: firstSequence, session: q.session,
		entry: r.chooseEntry(q)}
	r.attempts[a.key] = a
	r.sendOpening(a, 0)
	for i, delay := range openingRetransmissions {
		r.after(delay, func() { r.sendOpening(a, uint32(i+1)) })
	}
	r.after(openingTimeout, func() {
		if a.openAt == nil {
			r.endAttempt(a, false)
		}
	})
	if a.entry != nil && a.session == nil {
		// Packets may be lost on links, so that no answer comes.
		r.after(q.startedAt+q.kind.Route.Deadline-r.now, func() { r.giveUp(a) })
	}
}

func (r *replay) sendOpening(a *attempt, copyNumber uint32) {
	if a.ended || a.openAt != nil {
		return
	}
	r.send(a, cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: openingSequence, Retransmission: copyNumber})
}

// send sends a caller's packet, over the link of its entry if it has one.
func (r *replay) send(a *attempt, p cherviltide.Packet) {
	p.Source, p.Destination = a.key.Caller, a.key.Virtual
	if a.entry != nil {
		a.entry.enter(a, p)
		return
	}
	r.forward(a, p, callerDelay)
}

// forward sends a caller's packet to the agent that owns the flow's bucket.
func (r *replay) forward(a *attempt, p cherviltide.Packet, delay cherviltide.Millis) {
	owner, ok := r.table.Pick(a.key)
	if !ok {
		return
	}
	arrival := relayer.Arrival{
		Header: framer.Header{Type: framer.TypeForward, Flow: a.key, Revision: 1, ServiceCount: 1, Generation: r.table.Generation()},
		Sender: netip.MustParseAddrPort("10.9.9.9:1"), Packet: p,
	}
	r.after(delay, func() { r.deliver(owner.Address, arrival) })
}

// deliver gives a datagram to an agent.
func (r *replay) deliver(to netip.AddrPort, a relayer.Arrival) {
	t := r.targets[to.Addr().As4()[3]-1]
	if !t.running {
		return
	}
	r.execute(t, t.decider.FromPeer(r.input(t), a), a.Header.Flow, a.Packet)
	r.startWaiting(t)
}

func (r *replay) startWaiting(t *target) {
	for {
		a, decision, ok := t.decider.NextWaiting(r.input(t))
		if !ok {
			return
		}
		if decision.Reason == relayer.ReasonOpened {
			r.report.LongestWaitMs = max(r.report.LongestWaitMs, decision.Wait)
		}
		r.execute(t, decision, a.Header.Flow, a.Packet)
	}
}

// execute carries out a decision of an agent.
func (r *replay) execute(t *target, d relayer.Decision, key cherviltide.FlowKey, p cherviltide.Packet) {
	if d.Notify.IsValid() {
		notice := relayer.Arrival{Header: framer.Header{Flow: key, Flags: framer.FlagHolderNotice}, Sender: t.member.Address}
		r.after(agentDelay, func() { r.deliver(d.Notify, notice) })
	}
	switch d.Action {
	case relayer.ActionForward:
		if d.Reason == relayer.ReasonOffered {
			r.report.Offers++
		}
		forwarded := relayer.Arrival{Header: d.Header, Sender: t.member.Address, Packet: p}
		r.after(agentDelay, func() { r.deliver(d.To, forwarded) })
	case relayer.ActionDeliver:
		t.receive(r.attempts[key], p)
	case relayer.ActionRefuse:
		a := r.attempts[key]
		a.reset = true
		if a.ranAt != nil {
			r.report.FalseRefusals++
		}
		r.refuse(a)
	}
}

// refuse sends a reset to a caller, which ends its attempt unless a target has answered.
func (r *replay) refuse(a *attempt) {
	r.after(callerDelay, func() {
		if a.openAt == nil {
			r.endAttempt(a, true)
		}
	})
}

// endAttempt ends an attempt without an answer. The caller opens another flow while its deadline allows it.
func (r *replay) endAttempt(a *attempt, reset bool) {
	if a.ended {
		return
	}
	a.ended = true
	q := a.request
	if q.done {
		if a.session != nil && a.session.flow == a {
			a.session.flow = nil
		}
		return
	}
	if q.attempts == maxAttempts || r.now+retryDelay >= q.startedAt+q.kind.Route.Deadline {
		r.finish(q, func(result *Result) {
			if reset {
				result.Refused++
			} else {
				result.Failed++
			}
		})
		return
	}
	r.after(retryDelay+cherviltide.Millis(r.random.IntN(int(retryDelay))), func() { r.startAttempt(q) })
}

// finish counts the outcome of a request whose flow has ended.
func (r *replay) finish(q *request, count func(*Result)) {
	r.finishOn(nil, q, count)
}

// finishOn counts the outcome of a request. flow is its flow when that goes on.
func (r *replay) finishOn(flow *attempt, q *request, count func(*Result)) {
	if q.done {
		return
	}
	q.done = true
	count(r.report.PerSecond.at(q.kind.Name, q.startedAt))
	if q.session != nil {
		q.session.done(flow)
	}
}

// answer gives the caller the complete answer.
func (r *replay) answer(a *attempt) {
	if a.ended {
		return
	}
	q := a.request
	age := r.now - q.startedAt
	a.ended = a.session == nil
	if a.entry != nil && age <= q.kind.Route.Deadline {
		r.report.Links.Goodput += float64(q.kind.Upload.bytes())
		r.send(a, cherviltide.Packet{Flags: cherviltide.PacketAck, Sequence: a.nextSequence})
		if a.ended {
			r.send(a, cherviltide.Packet{Flags: cherviltide.PacketFinish | cherviltide.PacketAck, Sequence: a.nextSequence})
		}
	}
	r.finishOn(a, q, func(result *Result) {
		switch route := q.kind.Route; {
		case age <= route.Goal:
			result.Timely++
		case age <= route.Deadline:
			result.Late++
		default:
			result.Failed++
		}
	})
}

// memberOf returns the agent with the given index.
func memberOf(index int) cherviltide.Member {
	return cherviltide.Member{
		Name: fmt.Sprintf("agent-%03d", index), Role: cherviltide.RoleAgent, Incarnation: 1, Service: serviceName,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index + 1)}), 7000), Weight: cherviltide.NominalWeight,
	}
}
