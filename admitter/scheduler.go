package admitter

import (
	"math"
	"slices"

	"cherviltide.example/cherviltide"
)

// Reason tells why a request is refused. A refused request has not run.
type Reason string

// The reasons for refusals.
const (
	ReasonQueueFull Reason = "QueueFull" // The queue of the request's class is full.
	ReasonDeadline  Reason = "Deadline"  // The request cannot be completed before its deadline.
	ReasonCancelled Reason = "Cancelled" // The caller cancelled the request while it waited.
)

// Request asks for a slot.
type Request struct {
	// ID is unique among the requests of a scheduler.
	ID      uint64
	Kind    cherviltide.Kind
	Arrived cherviltide.Millis
	// Deadline is the time by which the response must be complete.
	Deadline cherviltide.Millis
}

// Decision tells that a request runs, or that it is refused for a reason.
type Decision struct {
	ID uint64
	// Reason is empty when the request runs.
	Reason Reason
	// RetryAfter is the time after which a retry may find a free slot. It is set when the request is refused.
	RetryAfter cherviltide.Millis
}

// Completion tells how a request that had a slot ended.
type Completion struct {
	// Shed is true when the target rejected the request because of its load.
	Shed bool
	// Failed is true when the target gave no complete response. The service time then says nothing about the target's
	// speed.
	Failed bool
}

// Scheduler decides which requests run at one target. It reads no clock, starts no goroutine and takes no lock: callers
// pass the time and serialize the calls.
type Scheduler struct {
	config Config
	// waiting is in the order of arrival.
	waiting           []Request
	running           map[uint64]runningRequest
	serviceTimes      serviceTimes
	limit             concurrencyLimit
	lastUrgentArrival cherviltide.Millis
	urgentLoad        urgentLoad
	// startCredits has the credits collected since the last start of an aged request; see agedStartCredits.
	startCredits int
}

type runningRequest struct {
	request   Request
	startedAt cherviltide.Millis
}

// NewScheduler returns a scheduler whose slots are all free.
func NewScheduler(config Config) *Scheduler {
	config = config.withDefaults()
	return &Scheduler{
		config:            config,
		running:           map[uint64]runningRequest{},
		serviceTimes:      serviceTimes{},
		limit:             newConcurrencyLimit(config),
		lastUrgentArrival: -config.ReserveHoldTime,
	}
}

// Submit adds a request and returns the decisions that follow. A request without a decision waits.
func (s *Scheduler) Submit(now cherviltide.Millis, r Request) []Decision {
	if r.Kind.Class == cherviltide.ClassUrgent {
		s.lastUrgentArrival = now
		s.urgentLoad.add(now, s.serviceTimes.expected(now, r.Kind))
	}
	wait := s.PredictWait(now, r.Kind)
	if now+wait+s.requiredTime(now, r) > r.Deadline {
		return []Decision{{ID: r.ID, Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)}}
	}
	if s.countWaiting(r.Kind.Class) >= s.config.QueueLimit {
		return []Decision{{ID: r.ID, Reason: ReasonQueueFull, RetryAfter: max(wait, minRetryAfter)}}
	}
	s.waiting = append(s.waiting, r)
	return s.dispatch(now)
}

// Cancel removes a waiting request, which then never runs. It returns false when the request is not waiting.
func (s *Scheduler) Cancel(id uint64) bool {
	i := slices.IndexFunc(s.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	return true
}

// Complete frees the slot of a request and returns the decisions that follow.
func (s *Scheduler) Complete(now cherviltide.Millis, id uint64, completion Completion) []Decision {
	running, ok := s.running[id]
	if !ok {
		return nil
	}
	delete(s.running, id)
	slow := false
	if !completion.Failed && !completion.Shed {
		slow = s.serviceTimes.observe(now, running.request.Kind, now-running.startedAt)
	}
	s.limit.observe(now, completion, slow)
	return s.dispatch(now)
}

// Tick returns the decisions that the passing of time brings: it refuses waiting requests that can no longer meet their
// deadline, and starts requests when the reserve has ended or the limit has grown.
func (s *Scheduler) Tick(now cherviltide.Millis) []Decision {
	s.limit.tick(now)
	return append(s.refuseExpired(now), s.dispatch(now)...)
}

// SetReportedLoad records the load that the target reports, where 1 means that it is full. A full target only slows the
// growth of the concurrency limit. The limit follows the target's completions, since the report may lag or mislead.
func (s *Scheduler) SetReportedLoad(load float64) {
	s.limit.overloadReported = load >= 1
}

// PredictWait estimates how long a new request of a kind would wait for a slot.
func (s *Scheduler) PredictWait(now cherviltide.Millis, kind cherviltide.Kind) cherviltide.Millis {
	ahead := cherviltide.Millis(0)
	mustQueue := false
	for _, r := range s.waiting {
		if classRank(r) <= classRank(Request{Kind: kind}) {
			ahead += s.serviceTimes.expected(now, r.Kind)
			mustQueue = true
		}
	}
	if !mustQueue && s.hasSlotFor(now, kind.Class) {
		return 0
	}
	return s.timeToFreeSlot(now) + ahead/cherviltide.Millis(max(s.slotLimitFor(now, kind.Class), 1))
}

// timeToFreeSlot estimates the time until the next running request ends.
func (s *Scheduler) timeToFreeSlot(now cherviltide.Millis) cherviltide.Millis {
	first := cherviltide.Millis(-1)
	for _, running := range s.running {
		expected := s.serviceTimes.expected(now, running.request.Kind)
		left := max(expected-(now-running.startedAt), expected/4)
		if first < 0 || left < first {
			first = left
		}
	}
	return max(first, 0)
}

// WouldMissDeadline reports whether a new request of a kind would be refused because it could not be completed before
// its deadline.
func (s *Scheduler) WouldMissDeadline(now cherviltide.Millis, kind cherviltide.Kind) bool {
	return s.PredictWait(now, kind)+s.requiredTime(now, Request{Kind: kind}) > kind.Deadline
}

// Load returns the numbers of running and waiting requests and the current concurrency limit.
func (s *Scheduler) Load() (running, waiting, slots int) {
	return len(s.running), len(s.waiting), s.limit.current
}

// Rate returns the number of requests per second that the target can complete with all its slots, estimated from its
// completions. It is 0 before the first one.
func (s *Scheduler) Rate() float64 {
	mean := s.serviceTimes.mean()
	if mean <= 0 {
		return 0
	}
	return float64(s.config.Slots) * 1000 / mean
}

// requiredTime returns the time that must be left before the deadline when a request starts. It is 0 for bulky
// requests: they may end late rather than not run at all.
func (s *Scheduler) requiredTime(now cherviltide.Millis, r Request) cherviltide.Millis {
	if r.Kind.Class == cherviltide.ClassBulky {
		return 0
	}
	return requiredTimeFactor * s.serviceTimes.expected(now, r.Kind)
}

func (s *Scheduler) countWaiting(class cherviltide.Class) int {
	n := 0
	for _, r := range s.waiting {
		if r.Kind.Class == class {
			n++
		}
	}
	return n
}

// dispatch starts waiting requests in the free slots. When a slot is free, it first refuses the waiting requests that
// can no longer meet their deadline.
func (s *Scheduler) dispatch(now cherviltide.Millis) []Decision {
	var decisions []Decision
	if len(s.running) < s.limit.current {
		decisions = s.refuseExpired(now)
	}
	for {
		i, aged := s.nextToStart(now)
		if i < 0 {
			return decisions
		}
		r := s.waiting[i]
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.running[r.ID] = runningRequest{request: r, startedAt: now}
		s.addStartCredits(r, aged)
		decisions = append(decisions, Decision{ID: r.ID})
	}
}

// addStartCredits counts a start towards the next start of an aged request.
func (s *Scheduler) addStartCredits(r Request, aged bool) {
	switch {
	case aged:
		s.startCredits = 0
	case r.Kind.Class == cherviltide.ClassUrgent:
		s.startCredits++
	default:
		s.startCredits += otherStartCredits
	}
}

// refuseExpired removes and refuses the waiting requests that can no longer meet their deadline.
func (s *Scheduler) refuseExpired(now cherviltide.Millis) []Decision {
	var decisions []Decision
	s.waiting = slices.DeleteFunc(s.waiting, func(r Request) bool {
		expired := now+s.requiredTime(now, r) > r.Deadline
		if expired {
			decisions = append(decisions, Decision{ID: r.ID, Reason: ReasonDeadline, RetryAfter: max(s.serviceTimes.expected(now, r.Kind), minRetryAfter)})
		}
		return expired
	})
	return decisions
}

// nextToStart returns the index of the waiting request that takes a free slot, or -1, and whether the request starts
// ahead of its class order because it has waited for the aging time.
func (s *Scheduler) nextToStart(now cherviltide.Millis) (int, bool) {
	if len(s.running) >= s.limit.current {
		return -1, false
	}
	best := -1
	for i, r := range s.waiting {
		if s.startCredits >= agedStartCredits && now-r.Arrived >= s.config.AgingTime && s.hasSlotForAged(now, r.Kind.Class) {
			return i, true
		}
		if !s.hasSlotFor(now, r.Kind.Class) {
			continue
		}
		if best < 0 || precedes(r, s.waiting[best]) {
			best = i
		}
	}
	return best, false
}

// hasSlotFor reports whether a request of a class may take a slot now.
func (s *Scheduler) hasSlotFor(now cherviltide.Millis, class cherviltide.Class) bool {
	if len(s.running) >= s.limit.current {
		return false
	}
	if class == cherviltide.ClassUrgent {
		return true
	}
	bulky, notUrgent := 0, 0
	for _, running := range s.running {
		switch running.request.Kind.Class {
		case cherviltide.ClassUrgent:
		case cherviltide.ClassBulky:
			bulky++
			notUrgent++
		default:
			notUrgent++
		}
	}
	if class == cherviltide.ClassBulky && bulky >= s.maxBulkySlots(now) {
		return false
	}
	return notUrgent < s.slotLimitFor(now, class)
}

// hasSlotForAged reports whether an aged request of a class may take a slot now. With a limit of one slot, the reserve
// would leave none, so an aged request may use the reserved slot, unless it is bulky.
func (s *Scheduler) hasSlotForAged(now cherviltide.Millis, class cherviltide.Class) bool {
	if s.limit.current == 1 && class != cherviltide.ClassBulky {
		return true
	}
	return s.hasSlotFor(now, class)
}

// slotLimitFor returns the number of slots that the requests that are not urgent may use together, or all for the
// urgent class. The reserve is kept while urgent requests arrive. A target with a single slot has no reserve.
func (s *Scheduler) slotLimitFor(now cherviltide.Millis, class cherviltide.Class) int {
	if class == cherviltide.ClassUrgent || s.config.Slots == 1 || now-s.lastUrgentArrival >= s.config.ReserveHoldTime {
		return s.limit.current
	}
	return max(s.limit.current-s.reservedSlots(now), 0)
}

// reservedSlots returns the number of slots that only urgent requests may use: the configured reserve, or what the
// urgent load needs if that is more, but never all slots.
func (s *Scheduler) reservedSlots(now cherviltide.Millis) int {
	needed := int(math.Ceil(s.urgentLoad.slots(now) * reserveMargin))
	return max(s.config.UrgentReserve, min(needed, s.config.Slots-1))
}

// maxBulkySlots returns the number of slots that bulky requests may use together: all but one. At a target with a
// single slot, bulky requests run only while no urgent ones arrive.
func (s *Scheduler) maxBulkySlots(now cherviltide.Millis) int {
	if s.config.Slots > 1 {
		return s.limit.current - 1
	}
	if now-s.lastUrgentArrival < s.config.ReserveHoldTime {
		return 0
	}
	return 1
}

// classRank orders the classes; the lowest rank starts first.
func classRank(r Request) int {
	switch r.Kind.Class {
	case cherviltide.ClassUrgent:
		return 0
	case cherviltide.ClassPatient:
		return 2
	}
	return 1
}

// precedes reports whether a waiting request starts before another: by class, priority, deadline and arrival.
func precedes(a, b Request) bool {
	if classRank(a) != classRank(b) {
		return classRank(a) < classRank(b)
	}
	if a.Kind.Priority != b.Kind.Priority {
		return a.Kind.Priority < b.Kind.Priority
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ID < b.ID
}
