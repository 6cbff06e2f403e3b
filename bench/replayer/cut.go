package replayer

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/follower"
	"cherviltide.example/cherviltide/framer"
	"cherviltide.example/cherviltide/pinger"
	"cherviltide.example/cherviltide/reacher"
	"cherviltide.example/cherviltide/relayer"
	"cherviltide.example/cherviltide/tracker"
)

// Times of a cut between failure domains. Flows are opened until its end, and their packets go on for cutRest after it.
const (
	cutFrom         cherviltide.Millis = 1_000
	cutDuration     cherviltide.Millis = 6_000
	cutRest         cherviltide.Millis = 2_500
	cutSettle       cherviltide.Millis = 500
	openingInterval cherviltide.Millis = 20
	requestInterval cherviltide.Millis = 100
	cutAgents                          = 6
	// openingGoal is the strictest goal of the requests of deployment A.
	openingGoal cherviltide.Millis = 300
)

// cutDomains are the failure domains of the model, with one entry and two agents each.
var cutDomains = []string{"a", "b", "c"}

// Cut is a fault of the network between failure domains. Callers' links are not affected.
type Cut struct {
	Name string
	// Delivers reports whether a datagram between processes of two domains arrives.
	Delivers func(random *rand.Rand, from, to string) bool
	// Dead is a domain whose processes are off; its callers are not counted.
	Dead string
	// Expired are the domains whose members' leases run out because their announcements do not reach control; the cut then lasts
	// longer than the leases. Killed is an agent that is killed during the cut, and Evacuated a domain that is evacuated.
	Expired           []string
	Killed, Evacuated string
}

// outOfA delivers what does not have to get out of a.
func outOfA(_ *rand.Rand, from, to string) bool { return from != "a" || to == "a" }

// CutBehaviour says which decisions processes make about failure domains.
type CutBehaviour int

// Behaviours of processes. Earlier ones are baselines.
const (
	// CutWithoutReach uses all domains.
	CutWithoutReach CutBehaviour = iota
	// CutWithoutRetention avoids closed domains and uses the present tables.
	CutWithoutRetention
	// CutPresent is the behaviour of the processes.
	CutPresent
)

// Cuts returns the faults that are played.
func Cuts() []Cut {
	return []Cut{
		{Name: "nothing gets out of a", Delivers: outOfA},
		{Name: "nothing gets into a", Delivers: func(_ *rand.Rand, from, to string) bool { return to != "a" || from == "a" }},
		{Name: "a and b cut, c reaches both", Delivers: func(_ *rand.Rand, from, to string) bool { return from+to != "ab" && from+to != "ba" }},
		{Name: "two cuts", Delivers: func(_ *rand.Rand, from, to string) bool { return from == to }},
		{Name: "a dead or frozen", Dead: "a", Delivers: func(_ *rand.Rand, from, to string) bool { return from != "a" && to != "a" }},
		{Name: "nothing gets out of a, leases run out", Expired: []string{"a"}, Delivers: outOfA},
		{Name: "nothing gets out of a, leases run out, agent killed", Expired: []string{"a"}, Killed: "agent-4", Delivers: outOfA},
		{Name: "nothing gets out of a, leases run out, a evacuated", Expired: []string{"a"}, Evacuated: "a", Delivers: outOfA},
		{Name: "two cuts, leases run out", Expired: []string{"a", "c"}, Delivers: func(_ *rand.Rand, from, to string) bool { return from == to }},
		{Name: "30% loss from and to a", Delivers: func(random *rand.Rand, from, to string) bool {
			return from == to || from != "a" && to != "a" || random.Float64() >= 0.3
		}},
	}
}

// CutReport is the result for the callers of one failure domain.
type CutReport struct {
	// Flows were begun during the fault, Opened of them were answered in time.
	Flows, Opened int
	// Sent packets of open flows were sent at any time, Arrived of them reached their target; Late ones were sent after the
	// fault and half a second for the domains to open again.
	Sent, Arrived, Late, LateArrived int
	// Broken flows are open flows of which no late packet arrived.
	Broken int
	// PerSecond has all flows by the second in which they were begun: Timely ones were opened within openingGoal.
	PerSecond []Result
	// Misdelivered packets reached a target that does not hold their flow, or another one than the caller's.
	Misdelivered int
	// Evacuated counts the new flows that targets of an evacuated domain got.
	Evacuated int
}

// cutSystem is the state of a run.
type cutSystem struct {
	loop
	cut    Cut
	random *rand.Rand
	// until is the end of the cut, end that of the run.
	until, end cherviltide.Millis
	// view is that of all processes: updates of control are not cut off.
	view            *follower.View
	behaviour       CutBehaviour
	entries, agents []*cutNode
	byAddress       map[netip.AddrPort]*cutNode
	flows           []*cutFlow
	reports         map[string]*CutReport
	results         Results
}

// cutNode is an entry, or an agent with its target.
type cutNode struct {
	domain  string
	address netip.AddrPort
	member  cherviltide.Member
	reacher *reacher.Reacher
	// retainer decides which view the process uses.
	retainer follower.Retainer
	used     *follower.View
	killed   bool
	// decider and held are those of an agent; held has the flows that the target holds.
	decider *relayer.Decider
	held    map[cherviltide.FlowKey]bool
}

// cutFlow is a flow of a caller.
type cutFlow struct {
	key      cherviltide.FlowKey
	entry    *cutNode
	begunAt  cherviltide.Millis
	holder   *cutNode
	received map[uint32]bool
	// arrivedLate is true after a late packet has arrived.
	arrivedLate bool
}

// RunCut plays a fault of 6 s, or one that outlasts the leases, with a new flow each 20 ms and domain. It returns the result by the
// domain of the callers.
func RunCut(c Cut, behaviour CutBehaviour, seed uint64) map[string]*CutReport {
	s := &cutSystem{
		cut: c, behaviour: behaviour, random: rand.New(rand.NewPCG(seed, 0)), byAddress: map[netip.AddrPort]*cutNode{},
		results: Results{}, reports: map[string]*CutReport{}, until: cutFrom + cutDuration,
		view: follower.NewView().WithRules(cherviltide.Rules{
			Revision: 1, Services: []cherviltide.Service{{Name: serviceName, ID: cherviltide.ServiceIDOf(serviceName), Buckets: 64}},
		}),
	}
	if len(c.Expired) > 0 {
		s.until = cutFrom + tracker.LeaseDuration + expiredTime
	}
	s.end = s.until + cutRest
	s.addNodes()
	s.planMembership()
	for at := cutFrom - 500; at < s.until; at += openingInterval {
		for _, e := range s.entries {
			s.after(at, func() { s.open(e) })
		}
	}
	s.run(s.end - 1)
	for _, f := range s.flows {
		report := s.reports[f.entry.domain]
		report.PerSecond = s.results[f.entry.domain]
		if f.holder == nil {
			s.results.at(f.entry.domain, f.begunAt).Failed++
		}
		report.Arrived += len(f.received)
		if f.holder != nil && !f.holder.killed && !f.arrivedLate {
			report.Broken++
		}
	}
	return s.reports
}

// addNodes adds the entries and agents, each with its reacher.
func (s *cutSystem) addNodes() {
	for i := range cutAgents {
		m := cherviltide.Member{
			Name: "agent-" + string(rune('1'+i)), Role: cherviltide.RoleAgent, Incarnation: 1, Service: serviceName, FailureDomain: cutDomains[i%len(cutDomains)],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000), Weight: cherviltide.NominalWeight,
		}
		s.addEvent(cherviltide.EventJoined, m)
		decider := relayer.NewDecider(relayer.Limits{MaxFlowAge: 60_000, MaxPayload: fullPacketPayload}, 0)
		decider.SetTarget(relayer.Target{Slots: 30, AcceptsNewFlows: true, LastResort: true}, false)
		s.agents = append(s.agents, &cutNode{domain: m.FailureDomain, address: m.Address, member: m, decider: decider, held: map[cherviltide.FlowKey]bool{}})
	}
	for i, name := range cutDomains {
		s.entries = append(s.entries, &cutNode{domain: name, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 7000)})
		s.reports[name] = &CutReport{}
	}
	for _, n := range slices.Concat(s.entries, s.agents) {
		s.byAddress[n.address] = n
		limits := pinger.EntryLimits
		if n.decider != nil {
			limits = pinger.AgentLimits
		}
		n.reacher = reacher.New(limits, n.domain)
		s.updateView(n)
		s.after(cherviltide.Millis(s.random.IntN(50)), func() { s.tick(n) })
	}
}

// transmit calls f for the receiver after the delay between processes, if the datagram arrives.
func (s *cutSystem) transmit(from *cutNode, to netip.AddrPort, f func(to *cutNode)) {
	receiver := s.byAddress[to]
	if receiver == nil || from.killed || receiver.killed || s.now >= cutFrom && s.now < s.until && !s.cut.Delivers(s.random, from.domain, receiver.domain) {
		return
	}
	s.after(agentDelay, func() { f(receiver) })
}

// tick sends the probes and notices of a process that are due.
func (s *cutSystem) tick(n *cutNode) {
	s.updateView(n)
	for _, p := range n.reacher.Tick(s.now, true) {
		s.transmit(n, p.To, func(to *cutNode) {
			s.transmit(to, n.address, func(*cutNode) {
				n.reacher.Echo(s.now, p.Number)
				n.reacher.Answered(p.To)
			})
		})
	}
	s.updateView(n)
	if n.decider != nil && n.decider.HasNotices(s.input(n)) {
		s.sendNotices(n, n.decider.Notices(s.input(n)))
	}
	s.after(n.reacher.NextTick(s.now), func() { s.tick(n) })
}

func (s *cutSystem) input(n *cutNode) relayer.Input {
	return relayer.Input{Now: s.now, Self: n.member, Table: n.table(), Revision: 1, Rules: cutRules{}, Closed: s.closed(n)}
}

// cutRules implements relayer.Rules: all routes lead to the one service.
type cutRules struct{}

func (cutRules) AcceptsNewFlows(netip.AddrPort) bool    { return true }
func (cutRules) RouteRevision(netip.AddrPort) uint64    { return 1 }
func (cutRules) Route(netip.AddrPort) cherviltide.Route { return cherviltide.Route{} }

func (s *cutSystem) closed(n *cutNode) []string {
	if s.behaviour == CutWithoutReach {
		return nil
	}
	return n.reacher.Closed()
}

// enter lets an entry forward a caller's packet as forwarder.Relay does.
func (s *cutSystem) enter(f *cutFlow, p cherviltide.Packet) {
	p.Source, p.Destination = f.key.Caller, f.key.Virtual
	table := f.entry.table()
	header := framer.Header{Flow: f.key, Revision: 1, ServiceCount: 1, Generation: table.Generation()}
	owner, _ := table.Pick(f.key)
	agent, _ := table.PickOpen(f.key, s.closed(f.entry))
	if agent.Address != owner.Address {
		header.Position = framer.PositionOwnerClosed
		if !p.OpensFlow() {
			s.toAgent(f.entry, owner.Address, relayer.Arrival{Header: header, Packet: p})
		}
	}
	s.toAgent(f.entry, agent.Address, relayer.Arrival{Header: header, Packet: p})
}

func (s *cutSystem) toAgent(from *cutNode, to netip.AddrPort, a relayer.Arrival) {
	a.Sender = from.address
	s.transmit(from, to, func(n *cutNode) {
		if n.decider != nil {
			s.execute(n, n.decider.FromPeer(s.input(n), a), a)
		}
	})
}

func (s *cutSystem) sendNotices(n *cutNode, notices []relayer.Notice) {
	for _, x := range notices {
		header := framer.Header{Flags: framer.FlagHolderNotice, Position: x.Use, Entry: x.Holder}
		s.toAgent(n, x.To, relayer.Arrival{Header: header, Flows: x.Flows})
	}
}

func (s *cutSystem) execute(n *cutNode, decision relayer.Decision, a relayer.Arrival) {
	s.sendNotices(n, decision.Notices)
	if decision.Notify.IsValid() {
		s.sendNotices(n, []relayer.Notice{{To: decision.Notify, Flows: []cherviltide.FlowKey{a.Header.Flow}}})
	}
	switch decision.Action {
	case relayer.ActionForward:
		next := relayer.Arrival{Header: decision.Header, Packet: a.Packet}
		s.toAgent(n, decision.To, next)
		if decision.Copy.IsValid() {
			s.toAgent(n, decision.Copy, next)
		}
	case relayer.ActionDeliver:
		s.targetReceive(n, a)
	}
}

// targetReceive answers an opening packet or a request. The answers reach the caller directly.
func (s *cutSystem) targetReceive(n *cutNode, a relayer.Arrival) {
	key := a.Header.Flow
	f := s.flows[key.Caller.Port()-1024]
	answer := cherviltide.Packet{Source: key.Virtual, Destination: key.Caller, Flags: cherviltide.PacketAck, Length: 10}
	if a.Packet.OpensFlow() {
		if !n.held[key] && n.table().IsEvacuated(n.domain) {
			s.reports[f.entry.domain].Evacuated++
		}
		n.held[key] = true
		answer.Flags, answer.Length = cherviltide.PacketOpen|cherviltide.PacketAck, 0
		answer.Sequence = uint32(n.address.Addr().As4()[3]) * 10_000_000
		s.after(callerDelay, func() { s.acknowledge(f, n, answer.Sequence) })
	} else {
		if !n.held[key] || f.holder != n {
			s.reports[f.entry.domain].Misdelivered++
		}
		if !f.received[a.Packet.Sequence] && a.Packet.Sequence >= s.lateSequence(f) {
			s.reports[f.entry.domain].LateArrived++
			f.arrivedLate = true
		}
		f.received[a.Packet.Sequence] = true
	}
	n.decider.FromTarget(s.input(n), answer)
}

// lateSequence returns the lowest sequence number of a packet that a caller sends after the fault is over for good: callers
// number packets by their time.
func (s *cutSystem) lateSequence(f *cutFlow) uint32 { return uint32(s.until + cutSettle - f.begunAt) }

// open begins a flow through an entry. Copies of the opening packet follow while no target has answered.
func (s *cutSystem) open(entry *cutNode) {
	f := &cutFlow{entry: entry, begunAt: s.now, received: map[uint32]bool{}, key: cherviltide.FlowKey{
		Caller:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, 0, 1}), uint16(1024+len(s.flows))),
		Virtual: netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), 443),
	}}
	s.flows = append(s.flows, f)
	s.results.at(entry.domain, s.now).Asked++
	if s.now >= cutFrom {
		s.reports[entry.domain].Flows++
	}
	for i, delay := range append([]cherviltide.Millis{0}, openingRetransmissions...) {
		s.after(delay, func() {
			if f.holder == nil {
				s.enter(f, cherviltide.Packet{Flags: cherviltide.PacketOpen, Retransmission: uint32(i)})
			}
		})
	}
}

// acknowledge lets the caller take the first target that answers in time, and send requests until the end of the run.
func (s *cutSystem) acknowledge(f *cutFlow, n *cutNode, sequence uint32) {
	if f.holder != nil || s.now-f.begunAt >= openingTimeout {
		return
	}
	f.holder = n
	s.countOpened(f)
	report := s.reports[f.entry.domain]
	if f.begunAt >= cutFrom {
		report.Opened++
	}
	for delay := callerDelay; s.now+delay < s.end-requestInterval; delay += requestInterval {
		s.after(delay, func() {
			p := cherviltide.Packet{Flags: cherviltide.PacketAck, Acknowledgement: sequence + 1, Length: 10, Sequence: uint32(s.now - f.begunAt)}
			if n.killed {
				return
			}
			report.Sent++
			if p.Sequence >= s.lateSequence(f) {
				report.Late++
			}
			s.enter(f, p)
		})
	}
}

// countOpened counts a flow that a target has opened.
func (s *cutSystem) countOpened(f *cutFlow) {
	result := s.results.at(f.entry.domain, f.begunAt)
	if s.now-f.begunAt <= openingGoal {
		result.Timely++
	} else {
		result.Late++
	}
}
