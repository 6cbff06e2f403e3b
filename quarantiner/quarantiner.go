// Package quarantiner decides when the target of an agent gets no new flows because it is grey: it sends heartbeats and takes
// flows, but leaves requests without answers, resets them, or has become many times slower. It serves the load of a service
// whose other targets can take the flows of a few that fail, and learns only from the packets of the target's own flows.
//
// A target that is overloaded, or that has always been slower than its peers, stays in service. So do all targets but a share
// of the service, since a fault that many targets have in common is not theirs.
package quarantiner

import "cherviltide.example/cherviltide"

// State is the state of the target.
type State uint8

// The states, in the order in which a target that fails once passes them.
const (
	StateInService State = iota
	StateClaiming        // There is evidence, and the agent asks for its place among the targets that are out of service.
	StateOut             // The target gets no new flow.
	StateProbation       // The target gets a few new flows, and more while it answers them.
)

var stateNames = [...]string{"InService", "Claiming", "Out", "Probation"}

// String returns the name of the state.
func (s State) String() string { return stateNames[s] }

const (
	// minOutTime is how long a target is out for the first time. It covers the callers' two retransmissions and their next
	// attempt. Each further time within relapseTime lasts twice as long, up to maxOutTime: a trial costs requests.
	minOutTime  cherviltide.Millis = 2_000
	maxOutTime  cherviltide.Millis = 30_000
	relapseTime cherviltide.Millis = 60_000
	// claimTimeout is how long the agent waits for the table to show its claim. Announcements and events take less than a second.
	claimTimeout cherviltide.Millis = 2_000
	// claimPause is how long the agent makes no further claim after one without a place.
	claimPause cherviltide.Millis = 5_000
	// probationTimeout is how long the flows of a probation may bring no answer before others are tried: their callers may have
	// sent no request.
	probationTimeout cherviltide.Millis = 1_000
)

// Peers is what the placement table shows about the service.
type Peers struct {
	// Members is the number of targets of the service. OutBefore is the number of those that take no new flows and come before
	// this one in the order of the table. Out is true when this one takes none according to the table.
	Members, OutBefore int
	Out                bool
	// ServiceTime is that of the median peer, in milliseconds; 0 when it is not known.
	ServiceTime float64
}

// Quarantiner has the state of one target. It reads no clock and is not safe for concurrent use.
type Quarantiner struct {
	// share is the largest share of a service that is out; 0 means that the target stays in service.
	share    float64
	slots    int
	peers    Peers
	state    State
	since    cherviltide.Millis
	evidence evidence
	reason   Reason
	// outTime is how long the target is out this time; it was out last until lastOutUntil.
	outTime, lastOutUntil cherviltide.Millis
	// noClaimUntil is until when no claim is made.
	noClaimUntil cherviltide.Millis
	// limit is the number of flows that a probation step opens, opened and answered are those of the present step.
	limit, opened, answered int
	stepAt                  cherviltide.Millis
}

// New returns the state of a target in service.
func New(share float64) *Quarantiner { return &Quarantiner{share: share} }

// SetShare sets the largest share of a service that is out. With a share of 0, the target is in service at once.
func (q *Quarantiner) SetShare(share float64) {
	if share <= 0 && q.share > 0 {
		*q = Quarantiner{}
	}
	q.share = share
}

// State returns the state of the target.
func (q *Quarantiner) State() State { return q.state }

// Reason returns the evidence with which the target was last taken out of service.
func (q *Quarantiner) Reason() Reason { return q.reason }

// Restarted forgets all evidence, because another target has taken the place.
func (q *Quarantiner) Restarted() { *q = Quarantiner{share: q.share} }

// WantsPause reports whether the agent asks control to place no new flows here.
func (q *Quarantiner) WantsPause() bool { return q.state == StateClaiming || q.state == StateOut }

// IsOut reports whether the target gets no new flow at all.
func (q *Quarantiner) IsOut() bool { return q.state == StateOut }

// Allows reports whether the target may get another new flow.
func (q *Quarantiner) Allows() bool {
	return q.state != StateOut && (q.state != StateProbation || q.opened < q.limit)
}

// Opened records that the target got a new flow.
func (q *Quarantiner) Opened() {
	if q.state == StateProbation {
		q.opened++
	}
}

// Answered records the first byte of an answer, took milliseconds after the request. serviceTime is the service time, or 0 when
// the request may have waited for a slot.
func (q *Quarantiner) Answered(now, took, serviceTime cherviltide.Millis) {
	if q.share <= 0 {
		return
	}
	q.evidence.answered(now, took, serviceTime)
	if q.state == StateProbation {
		q.answered++
	}
}

// Failed records a request without an answer, or an opening packet that the target left unanswered or returned although it had
// a free slot.
func (q *Quarantiner) Failed(now cherviltide.Millis) {
	if q.share > 0 {
		q.evidence.failed(now)
	}
}

// Tick moves on. working is the number of requests that the target has not begun to answer. Calls come several times a second.
func (q *Quarantiner) Tick(now cherviltide.Millis, slots, working int, peers Peers) {
	if q.share <= 0 {
		return
	}
	q.slots, q.peers = slots, peers
	q.evidence.tick(now, working, slots, q.busyLimit(), peers)
	switch q.state {
	case StateInService:
		if reason := q.evidence.reason(now); reason != ReasonNone && now >= q.noClaimUntil && q.places() > 0 {
			q.reason = reason
			q.enter(now, StateClaiming)
		}
	case StateClaiming:
		q.claim(now)
	case StateOut:
		if now-q.since >= q.outTime || peers.OutBefore >= q.places() {
			q.lastOutUntil = now
			q.startProbation(now)
		}
	case StateProbation:
		q.probe(now)
	}
}

// places returns how many targets of the service may be out. Of fewer than three, none may.
func (q *Quarantiner) places() int {
	if q.peers.Members < 3 {
		return 0
	}
	return max(int(float64(q.peers.Members)*q.share), 1)
}

// busyLimit returns the number of unanswered requests with which a silent target counts as hanging.
func (q *Quarantiner) busyLimit() int {
	if q.state == StateProbation {
		return 1
	}
	return max(q.slots, 1)
}

func (q *Quarantiner) enter(now cherviltide.Millis, s State) { q.state, q.since = s, now }

// claim takes the target out of service when the table shows it out and its place is one of those that the share allows. All
// agents see the table in the same order, so they need not ask each other.
func (q *Quarantiner) claim(now cherviltide.Millis) {
	switch {
	case q.peers.OutBefore >= q.places(), !q.peers.Out && now-q.since >= claimTimeout:
		q.withdraw(now)
	case q.peers.Out:
		q.takeOut(now)
	}
}

func (q *Quarantiner) takeOut(now cherviltide.Millis) {
	if q.outTime == 0 || now-q.lastOutUntil > relapseTime {
		q.outTime = minOutTime
	} else {
		q.outTime = min(2*q.outTime, maxOutTime)
	}
	q.enter(now, StateOut)
}

// withdraw puts the target back into service because the share of the service has no place for it.
func (q *Quarantiner) withdraw(now cherviltide.Millis) {
	q.noClaimUntil = now + claimPause
	q.evidence.clear()
	q.enter(now, StateInService)
}

func (q *Quarantiner) startProbation(now cherviltide.Millis) {
	q.evidence.clear()
	q.limit = 1
	q.nextStep(now)
	q.enter(now, StateProbation)
}

func (q *Quarantiner) nextStep(now cherviltide.Millis) { q.opened, q.answered, q.stepAt = 0, 0, now }

// probe ends a probation with the first failure, or doubles its flows when those of a step have been answered. The target is
// in service again once a step has had more flows than it has slots.
func (q *Quarantiner) probe(now cherviltide.Millis) {
	reason := q.evidence.reasonInProbation(q.peers)
	switch {
	case reason != ReasonNone && q.peers.OutBefore >= q.places():
		q.withdraw(now)
	case reason != ReasonNone:
		q.reason = reason
		q.takeOut(now)
	case q.opened >= q.limit && q.answered >= q.limit:
		if q.limit > q.slots {
			q.evidence.clear()
			q.enter(now, StateInService)
			return
		}
		q.limit *= 2
		q.nextStep(now)
	case q.opened >= q.limit && now-q.stepAt >= probationTimeout:
		q.nextStep(now)
	}
}
