package admitter

import (
	"math"
	"slices"

	"cherviltide.example/cherviltide"
)

// Reason tells why a request is refused. A refused request has not run.
type Reason string

// The reasons of refusals.
const (
	ReasonQueueFull Reason = "QueueFull" // As many requests of the class wait as may wait.
	ReasonDeadline  Reason = "Deadline"  // The request cannot be complete before its deadline.
	ReasonCancelled Reason = "Cancelled" // The caller gave up while the request waited.
)

// Request asks for a slot.
type Request struct {
	// ID is different for each request of a core.
	ID      uint64
	Kind    cherviltide.Kind
	Arrived cherviltide.Millis
	// Deadline is the instant by which the answer has to be complete.
	Deadline cherviltide.Millis
}

// Decision decides about one request: it runs, or it is refused for a reason.
type Decision struct {
	ID uint64
	// Reason is empty when the request runs.
	Reason Reason
	// RetryAfter is set with a reason: the time after which a retry may find a slot.
	RetryAfter cherviltide.Millis
}

// Completion tells how a request used its slot.
type Completion struct {
	// Shed is true when the target refused the request because of its load.
	Shed bool
	// Failed is true when the target gave no complete answer. Its time then says nothing about the target's speed.
	Failed bool
}

// Scheduler decides which request runs at one target. It has no clock, no goroutine and no lock: each call brings the time.
type Scheduler struct {
	config Config
	// waiting is in the order of arrival.
	waiting []Request
	running map[uint64]started
	speeds  speeds
	limit   limit
	// urgentSeen is the time of the last urgent arrival.
	urgentSeen cherviltide.Millis
	demand     demand
	// turns counts the turns since an aged request last went before its rank.
	turns int
}

type started struct {
	request Request
	at      cherviltide.Millis
}

// NewScheduler returns a scheduler with free slots.
func NewScheduler(config Config) *Scheduler {
	config = config.withDefaults()
	return &Scheduler{
		config:     config,
		running:    map[uint64]started{},
		speeds:     speeds{},
		limit:      newLimit(config),
		urgentSeen: -config.ReserveHold,
	}
}

// Submit takes a request and returns what is decided now. A request without an action waits.
func (c *Scheduler) Submit(now cherviltide.Millis, r Request) []Decision {
	if r.Kind.Class == cherviltide.ClassUrgent {
		c.urgentSeen = now
		c.demand.add(now, c.speeds.expected(now, r.Kind))
	}
	wait := c.Wait(now, r.Kind)
	if now+wait+c.needed(now, r) > r.Deadline {
		return []Decision{{ID: r.ID, Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)}}
	}
	if c.count(r.Kind.Class) >= c.config.Queue {
		return []Decision{{ID: r.ID, Reason: ReasonQueueFull, RetryAfter: max(wait, minRetryAfter)}}
	}
	c.waiting = append(c.waiting, r)
	return c.dispatch(now)
}

// Cancel removes a waiting request, which then never runs. It reports false when the request does not wait.
func (c *Scheduler) Cancel(id uint64) bool {
	i := slices.IndexFunc(c.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	c.waiting = slices.Delete(c.waiting, i, i+1)
	return true
}

// Complete frees the slot of a request and returns what is decided now.
func (c *Scheduler) Complete(now cherviltide.Millis, id uint64, completion Completion) []Decision {
	s, ok := c.running[id]
	if !ok {
		return nil
	}
	delete(c.running, id)
	slow := false
	if !completion.Failed && !completion.Shed {
		slow = c.speeds.observe(now, s.request.Kind, now-s.at)
	}
	c.limit.observe(now, completion, slow)
	return c.dispatch(now)
}

// Tick decides again at a later time, for requests whose deadline has come out of reach and for reserves that have ended.
func (c *Scheduler) Tick(now cherviltide.Millis) []Decision {
	c.limit.pass(now)
	return append(c.expire(now), c.dispatch(now)...)
}

// Hint takes the load that the target reports, where 1 means that it is full. It only slows the growth of the number of
// slots in use: the target's own completions decide, since its report may lag or mislead.
func (c *Scheduler) Hint(load float64) {
	c.limit.hinted = load >= 1
}

// Wait predicts how long a new request of a kind would wait for a slot.
func (c *Scheduler) Wait(now cherviltide.Millis, kind cherviltide.Kind) cherviltide.Millis {
	ahead := cherviltide.Millis(0)
	waits := false
	for _, r := range c.waiting {
		if rank(r) <= rank(Request{Kind: kind}) {
			ahead += c.speeds.expected(now, r.Kind)
			waits = true
		}
	}
	if !waits && c.fits(now, kind.Class) {
		return 0
	}
	return c.firstFree(now) + ahead/cherviltide.Millis(max(c.slotsFor(now, kind.Class), 1))
}

// firstFree predicts the time until the next running request ends.
func (c *Scheduler) firstFree(now cherviltide.Millis) cherviltide.Millis {
	first := cherviltide.Millis(-1)
	for _, s := range c.running {
		expected := c.speeds.expected(now, s.request.Kind)
		left := max(expected-(now-s.at), expected/4)
		if first < 0 || left < first {
			first = left
		}
	}
	return max(first, 0)
}

// WouldMissDeadline reports whether a new request of a kind would be refused because it could not be complete in time.
func (c *Scheduler) WouldMissDeadline(now cherviltide.Millis, kind cherviltide.Kind) bool {
	return c.Wait(now, kind)+c.needed(now, Request{Kind: kind}) > kind.Deadline
}

// Load returns the numbers of running and waiting requests and of the slots in use now.
func (c *Scheduler) Load() (running, waiting, slots int) {
	return len(c.running), len(c.waiting), c.limit.now
}

// Rate returns how many requests a second the target's slots complete, by its own completions. It is 0 before the first.
func (c *Scheduler) Rate() float64 {
	mean := c.speeds.mean()
	if mean <= 0 {
		return 0
	}
	return float64(c.config.Slots) * 1000 / mean
}

// needed is the time that a request has to have left when it starts. Bulky requests end late instead of not at all.
func (c *Scheduler) needed(now cherviltide.Millis, r Request) cherviltide.Millis {
	if r.Kind.Class == cherviltide.ClassBulky {
		return 0
	}
	return neededFactor * c.speeds.expected(now, r.Kind)
}

func (c *Scheduler) count(class cherviltide.Class) int {
	n := 0
	for _, r := range c.waiting {
		if r.Kind.Class == class {
			n++
		}
	}
	return n
}

// dispatch fills the free slots and refuses the waiting requests whose deadline is out of reach.
func (c *Scheduler) dispatch(now cherviltide.Millis) []Decision {
	var actions []Decision
	if len(c.running) < c.limit.now {
		actions = c.expire(now)
	}
	for {
		i, aged := c.next(now)
		if i < 0 {
			return actions
		}
		r := c.waiting[i]
		c.waiting = slices.Delete(c.waiting, i, i+1)
		c.running[r.ID] = started{request: r, at: now}
		c.turn(r, aged)
		actions = append(actions, Decision{ID: r.ID})
	}
}

// turn counts a start towards the next one by age.
func (c *Scheduler) turn(r Request, aged bool) {
	switch {
	case aged:
		c.turns = 0
	case r.Kind.Class == cherviltide.ClassUrgent:
		c.turns++
	default:
		c.turns += otherTurns
	}
}

func (c *Scheduler) expire(now cherviltide.Millis) []Decision {
	var actions []Decision
	c.waiting = slices.DeleteFunc(c.waiting, func(r Request) bool {
		late := now+c.needed(now, r) > r.Deadline
		if late {
			actions = append(actions, Decision{ID: r.ID, Reason: ReasonDeadline, RetryAfter: max(c.speeds.expected(now, r.Kind), minRetryAfter)})
		}
		return late
	})
	return actions
}

// next returns the index of the request that takes a free slot, or -1, and whether it goes before its rank by its age.
func (c *Scheduler) next(now cherviltide.Millis) (int, bool) {
	if len(c.running) >= c.limit.now {
		return -1, false
	}
	best := -1
	for i, r := range c.waiting {
		if c.turns >= agedTurns && now-r.Arrived >= c.config.Aging && c.fitsAged(now, r.Kind.Class) {
			return i, true
		}
		if !c.fits(now, r.Kind.Class) {
			continue
		}
		if best < 0 || before(r, c.waiting[best]) {
			best = i
		}
	}
	return best, false
}

// fits reports whether a class may take one more slot now.
func (c *Scheduler) fits(now cherviltide.Millis, class cherviltide.Class) bool {
	if len(c.running) >= c.limit.now {
		return false
	}
	if class == cherviltide.ClassUrgent {
		return true
	}
	bulky, others := 0, 0
	for _, s := range c.running {
		switch s.request.Kind.Class {
		case cherviltide.ClassUrgent:
		case cherviltide.ClassBulky:
			bulky++
			others++
		default:
			others++
		}
	}
	if class == cherviltide.ClassBulky && bulky >= c.bulkySlots(now) {
		return false
	}
	return others < c.slotsFor(now, class)
}

// fitsAged reports whether a request that has waited long may take one more slot now. While only one slot is in use, the
// reserve would leave none, so an aged request takes it; a bulky one never does.
func (c *Scheduler) fitsAged(now cherviltide.Millis, class cherviltide.Class) bool {
	if c.limit.now == 1 && class != cherviltide.ClassBulky {
		return true
	}
	return c.fits(now, class)
}

// slotsFor returns how many slots the requests that are not urgent may hold together, or all for the urgent class. The
// reserve is kept while urgent requests arrive. A target with a single slot has none.
func (c *Scheduler) slotsFor(now cherviltide.Millis, class cherviltide.Class) int {
	if class == cherviltide.ClassUrgent || c.config.Slots == 1 || now-c.urgentSeen >= c.config.ReserveHold {
		return c.limit.now
	}
	return max(c.limit.now-c.reserve(now), 0)
}

// reserve is the number of slots for urgent requests only: the configured one, or what they need, but never all slots.
func (c *Scheduler) reserve(now cherviltide.Millis) int {
	needed := int(math.Ceil(c.demand.slots(now) * demandMargin))
	return max(c.config.Reserve, min(needed, c.config.Slots-1))
}

// bulkySlots leaves one slot to other requests. At a target with a single slot, bulky requests run only while no urgent
// ones arrive.
func (c *Scheduler) bulkySlots(now cherviltide.Millis) int {
	if c.config.Slots > 1 {
		return c.limit.now - 1
	}
	if now-c.urgentSeen < c.config.ReserveHold {
		return 0
	}
	return 1
}

// rank orders classes; the lowest goes first.
func rank(r Request) int {
	switch r.Kind.Class {
	case cherviltide.ClassUrgent:
		return 0
	case cherviltide.ClassPatient:
		return 2
	}
	return 1
}

// before orders two waiting requests: by class, priority, deadline and arrival.
func before(a, b Request) bool {
	if rank(a) != rank(b) {
		return rank(a) < rank(b)
	}
	if a.Kind.Priority != b.Kind.Priority {
		return a.Kind.Priority < b.Kind.Priority
	}
	if a.Deadline != b.Deadline {
		return a.Deadline < b.Deadline
	}
	return a.ID < b.ID
}
