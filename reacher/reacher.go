// Package reacher decides which failure domains a process reaches, from the echoes of its probes.
//
// It serves a cut of seconds between failure domains during which the leases of all members stay good, so that the tables keep
// naming targets that no packet reaches. Callers wait 1,400 ms for a new flow and retransmit its first packet after 200 and
// 600 ms, so a decision within 300 ms saves the flow with its second retransmission. A link that loses 30% of the datagrams in
// each direction, a slow domain, a dead agent or a pause of the process itself must not close a domain, because all new flows
// would then move to the others.
package reacher

import (
	"math/bits"
	"net/netip"
	"slices"
	"strings"

	"cherviltide.example/cherviltide"
)

const (
	// closeAfter is how long a domain leaves all probes unanswered before it is closed. minUnanswered is the lowest number of
	// these probes: with 30% loss in each direction, a probe has no echo in 51% of the cases, and 10 in a row in 0.1%.
	minUnanswered                    = 10
	closeAfter    cherviltide.Millis = 250
	// suspectAfter is the age of an unanswered probe from which a domain is probed each suspectInterval. It is above the usual
	// delay of an echo within a region.
	suspectAfter    cherviltide.Millis = 40
	suspectInterval cherviltide.Millis = 20
	// closedInterval is the interval of the probes to a closed domain.
	closedInterval cherviltide.Millis = 50
	// idleInterval is the interval of the probes to open domains while the process forwards no packets, and to a domain that
	// has never answered, such as one whose agents do not know probes yet.
	idleInterval cherviltide.Millis = 1_000
	// firstProbes is the number of probes that are sent to a new domain before idleInterval applies to it.
	firstProbes = 10
	// pauseAfter is the time between two calls of Tick from which the process counts as paused. Echoes may then wait in the
	// socket, so that unanswered probes are no evidence.
	pauseAfter cherviltide.Millis = 150
	// maxDomains bounds the failure domains, maxAgents the agents of one domain that are probed in turn.
	maxDomains = 32
	maxAgents  = 16
	// answeredBits is the number of probes of a domain whose echoes are recorded.
	answeredBits = 64
)

// Limits are the parameters that depend on the role of the process.
type Limits struct {
	// MinInterval is the shortest interval of the probes to an open domain under traffic.
	MinInterval cherviltide.Millis
	// AverageInterval is the lowest average time between any two probes to open domains under traffic. It bounds the probes
	// whatever the number of domains.
	AverageInterval cherviltide.Millis
	// OpenAfter is the number of probes, among the last 2*OpenAfter, that a closed domain must answer to be open again. Agents
	// need fewer than entries, so that the holders of flows are known before entries send packets back to the owners.
	OpenAfter int
}

// Domain is a failure domain with the agents to probe.
type Domain struct {
	Name   string
	Agents []netip.AddrPort
}

// Probe is a probe to send.
type Probe struct {
	To netip.AddrPort
	// Number identifies the probe; the echo contains it.
	Number uint64
}

// Change is a decision that closes or opens a domain, with its evidence.
type Change struct {
	Domain string
	Closed bool
	// Unanswered is the number of probes since the last echo, SilentFor the time since the first of them.
	Unanswered int
	SilentFor  cherviltide.Millis
	// Heard is true when other datagrams of the domain have arrived meanwhile, so that only the way out is cut.
	Heard bool
	// Isolated is true when a domain is opened because no domain at all has answered.
	Isolated bool
}

// State describes a failure domain for metrics.
type State struct {
	Name   string
	Closed bool
	// EchoMs and HeardMs are the times since the last echo and since the last other datagram of the domain; -1 for never.
	EchoMs, HeardMs cherviltide.Millis
}

// domain is the state of one failure domain.
type domain struct {
	name   string
	id     uint32
	agents []netip.AddrPort
	// next is the index of the agent that is probed next.
	next int
	// sent is the number of probes sent; their numbers begin at 1.
	sent   uint32
	nextAt cherviltide.Millis
	// answered has bit i set when the probe sent-i was answered.
	answered uint64
	// lastEcho is when the last echo arrived, lastHeard when another datagram of the domain did; 0 for never.
	lastEcho, lastHeard cherviltide.Millis
	// unanswered is the number of probes since the last echo, unansweredSince the time of the first of them.
	unanswered      int
	unansweredSince cherviltide.Millis
	closed          bool
	// closedProbe is the number of the last probe before the domain was closed.
	closedProbe uint32
}

// isSilent reports whether the domain has left a probe unanswered for some time.
func (d *domain) isSilent(now, after cherviltide.Millis) bool {
	return d.unanswered > 0 && now-d.unansweredSince >= after
}

// isProvenSilent reports whether the unanswered probes are enough to close the domain. A domain that has never answered is
// not closed: its agents may not know probes.
func (d *domain) isProvenSilent(now cherviltide.Millis) bool {
	return d.lastEcho != 0 && d.unanswered >= minUnanswered && d.isSilent(now, closeAfter)
}

// hasAnswered reports whether count of the last 2*count probes have been answered, all of which were sent after the domain was
// closed. If they had to be consecutive, a link that loses 30% in each direction would stay closed for 6 s.
func (d *domain) hasAnswered(count int) bool {
	sent := min(2*count, answeredBits, int(d.sent-d.closedProbe))
	return bits.OnesCount64(d.answered&(1<<sent-1)) >= count
}

// Reacher decides which failure domains are closed. It has no socket, goroutine or clock. It is not safe for concurrent use.
type Reacher struct {
	limits Limits
	// own is the failure domain of the process, which is never closed.
	own string
	// domains are ordered by name and have at least one agent each.
	domains  []*domain
	lastID   uint32
	lastTick cherviltide.Millis
	// closed has the names of the closed domains in their order. It is replaced and never modified.
	closed  []string
	changes []Change
	probes  []Probe
	answers answers
}

// New returns the reacher of a process in the given failure domain, with no domain closed.
func New(limits Limits, own string) *Reacher {
	return &Reacher{limits: limits, own: own, answers: newAnswers()}
}

// SetDomains sets the failure domains with agents. A domain that is no longer among them is forgotten.
func (r *Reacher) SetDomains(domains []Domain) {
	next := make([]*domain, 0, min(len(domains), maxDomains))
	for _, x := range domains {
		if len(x.Agents) == 0 || len(next) == maxDomains {
			continue
		}
		i := slices.IndexFunc(r.domains, func(d *domain) bool { return d.name == x.Name })
		if i < 0 {
			r.lastID++
			next = append(next, &domain{name: x.Name, id: r.lastID})
		} else {
			next = append(next, r.domains[i])
		}
		next[len(next)-1].agents = slices.Clone(x.Agents[:min(len(x.Agents), maxAgents)])
	}
	slices.SortFunc(next, func(a, b *domain) int { return strings.Compare(a.name, b.name) })
	r.domains = next
	r.updateClosed()
}

// Closed returns the names of the closed domains in their order. The slice must not be modified.
func (r *Reacher) Closed() []string { return r.closed }

// States returns the states of all domains, in the order of their names.
func (r *Reacher) States(now cherviltide.Millis) []State {
	since := func(at cherviltide.Millis) cherviltide.Millis {
		if at == 0 {
			return -1
		}
		return now - at
	}
	list := make([]State, 0, len(r.domains))
	for _, d := range r.domains {
		list = append(list, State{Name: d.name, Closed: d.closed, EchoMs: since(d.lastEcho), HeardMs: since(d.lastHeard)})
	}
	return list
}

// TakeChanges returns the changes since the last call.
func (r *Reacher) TakeChanges() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}

// Echo records the echo of a probe.
func (r *Reacher) Echo(now cherviltide.Millis, number uint64) {
	for _, d := range r.domains {
		if d.id != uint32(number>>32) {
			continue
		}
		age := d.sent - uint32(number)
		if age >= d.sent {
			return
		}
		if age < answeredBits {
			d.answered |= 1 << age
		}
		// An echo that arrives late shows that the domain is slow; the probes after this one are given as much time again.
		d.lastEcho, d.unanswered = max(now, 1), 0
	}
}

// Received records that another datagram of a domain arrived. It does not show that the domain can be reached.
func (r *Reacher) Received(now cherviltide.Millis, name string) {
	for _, d := range r.domains {
		if d.name == name {
			d.lastHeard = max(now, 1)
		}
	}
}

// Suspect makes a probe to a domain due at once, after another process has reported that it does not reach the domain.
func (r *Reacher) Suspect(now cherviltide.Millis, name string) {
	for _, d := range r.domains {
		if d.name == name && d.unanswered == 0 {
			d.nextAt = min(d.nextAt, now)
		}
	}
}

// Tick decides which domains are closed and returns the probes that are due, which are valid until the next call. traffic says
// that the process has forwarded packets since the last call.
func (r *Reacher) Tick(now cherviltide.Millis, traffic bool) []Probe {
	r.probes = r.probes[:0]
	if len(r.domains) == 0 || len(r.domains) == 1 && r.domains[0].name == r.own {
		r.lastTick = now
		return nil
	}
	if now-r.lastTick >= pauseAfter {
		for _, d := range r.domains {
			d.unanswered = 0
		}
	}
	r.lastTick = now
	r.decide(now)
	interval := idleInterval
	if traffic {
		interval = max(r.limits.MinInterval, cherviltide.Millis(len(r.domains)-1)*r.limits.AverageInterval)
	}
	needsOwn := r.needsOwn(now)
	for _, d := range r.domains {
		if d.name == r.own && !needsOwn {
			d.unanswered = 0
			continue
		}
		r.probeIfDue(now, d, interval)
	}
	return r.probes
}

// NextTick returns the time until Tick has to be called again.
func (r *Reacher) NextTick(now cherviltide.Millis) cherviltide.Millis {
	for _, d := range r.domains {
		if !d.closed && d.unanswered > 0 && now-d.unansweredSince >= suspectAfter {
			return suspectInterval
		}
	}
	return closedInterval
}

// needsOwn reports whether no other domain answers, so that the own one must show that the process itself is not cut off.
func (r *Reacher) needsOwn(now cherviltide.Millis) bool {
	for _, d := range r.domains {
		if d.name != r.own && !d.closed && !d.isSilent(now, suspectAfter) {
			return false
		}
	}
	return true
}

// probeIfDue sends a probe to the next agent of a domain when one is due.
func (r *Reacher) probeIfDue(now cherviltide.Millis, d *domain, interval cherviltide.Millis) {
	switch {
	case d.closed:
		interval = closedInterval
	case d.lastEcho == 0 && d.sent >= firstProbes:
		interval = idleInterval
	case d.lastEcho != 0 && d.isSilent(now, suspectAfter):
		interval = suspectInterval
	case d.name == r.own:
		interval = closedInterval
	}
	// The interval may have become shorter since the last probe.
	d.nextAt = min(d.nextAt, now+interval)
	if now < d.nextAt {
		return
	}
	d.nextAt = now + interval
	d.sent++
	d.answered <<= 1
	d.unanswered++
	if d.unanswered == 1 {
		d.unansweredSince = now
	}
	d.next = (d.next + 1) % len(d.agents)
	r.answers.probed(d.agents[d.next], now, len(r.closed) > 0)
	r.probes = append(r.probes, Probe{To: d.agents[d.next], Number: uint64(d.id)<<32 | uint64(d.sent)})
}

// decide closes and opens domains.
func (r *Reacher) decide(now cherviltide.Millis) {
	isolated := len(r.closed) > 0 && !slices.ContainsFunc(r.domains, func(d *domain) bool { return !d.isProvenSilent(now) })
	for _, d := range r.domains {
		switch {
		case d.name == r.own:
		case d.closed && (isolated || d.hasAnswered(r.limits.OpenAfter)):
			r.change(now, d, false, isolated)
		case !d.closed && !isolated && d.isProvenSilent(now) && r.hasWitness(d):
			d.closedProbe = d.sent
			r.change(now, d, true, false)
		}
	}
}

// hasWitness reports whether another domain has answered since a domain became silent. Otherwise the process itself may be
// cut off.
func (r *Reacher) hasWitness(silent *domain) bool {
	return slices.ContainsFunc(r.domains, func(d *domain) bool {
		return d != silent && !d.closed && d.lastEcho > silent.unansweredSince
	})
}

func (r *Reacher) change(now cherviltide.Millis, d *domain, closed, isolated bool) {
	c := Change{Domain: d.name, Closed: closed, Unanswered: d.unanswered, Isolated: isolated}
	if d.unanswered > 0 {
		c.SilentFor = now - d.unansweredSince
		c.Heard = d.lastHeard > d.unansweredSince
	}
	if !closed {
		d.unanswered = 0
	}
	d.closed = closed
	r.changes = append(r.changes, c)
	r.updateClosed()
}

// updateClosed replaces the list of the closed domains.
func (r *Reacher) updateClosed() {
	var closed []string
	for _, d := range r.domains {
		if d.closed {
			closed = append(closed, d.name)
		}
	}
	if (len(closed) == 0) != (len(r.closed) == 0) {
		r.answers.reset()
	}
	r.closed = closed
}
