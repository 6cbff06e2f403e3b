package measurer

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/admitter"
)

const (
	// admissionDuration is the virtual time in which requests arrive.
	admissionDuration = cherviltide.Millis(120_000)
	// unansweredShare is the share of requests that the target never answers.
	unansweredShare = 0.0001
)

// stream is the load of one kind of request.
type stream struct {
	kind cherviltide.Kind
	// share is the kind's share of the offered load.
	share float64
	// meanServiceTime is the mean time of a request at the fastest target, in milliseconds.
	meanServiceTime float64
}

// serviceLoad describes a service, its targets and the load that is offered to it.
type serviceLoad struct {
	name      string
	slots     int
	slowdowns []float64 // Service time of each target relative to the fastest one.
	streams   []stream
}

func newKind(name string, class cherviltide.Class, priority int, deadline cherviltide.Millis) cherviltide.Kind {
	return cherviltide.Kind{Name: name, Class: class, Priority: priority, Deadline: deadline}
}

var (
	sevenTargets = []float64{1, 1, 1.5, 2, 2, 3, 4}
	threeTargets = []float64{1, 2, 4}
)

// serviceLoads are the services of both operators with their numbers of targets. At an offered load of 1.5 times the
// capacity, the requests of each urgent kind alone stay within the capacity.
var serviceLoads = []serviceLoad{
	{"advisory-desk", 2, sevenTargets, []stream{
		{newKind("fetch", cherviltide.ClassUrgent, 1, 2_000), 0.4, 20},
		{newKind("acknowledge", cherviltide.ClassNormal, 2, 5_000), 0.2, 30},
		{newKind("digest", cherviltide.ClassPatient, 8, 60_000), 0.4, 40},
	}},
	{"chart-store", 2, threeTargets, []stream{
		{newKind("index", cherviltide.ClassUrgent, 1, 2_000), 0.2, 20},
		{newKind("chart", cherviltide.ClassBulky, 5, 120_000), 0.8, 1_500},
	}},
	{"deposit-core", 3, sevenTargets, []stream{
		{newKind("check", cherviltide.ClassUrgent, 1, 1_000), 0.4, 15},
		{newKind("lodge", cherviltide.ClassNormal, 2, 5_000), 0.3, 40},
		{newKind("certificate", cherviltide.ClassPatient, 8, 60_000), 0.3, 60},
	}},
	{"cert-archive", 3, threeTargets, []stream{
		{newKind("lookup", cherviltide.ClassUrgent, 1, 1_000), 0.2, 15},
		{newKind("bundle", cherviltide.ClassBulky, 5, 120_000), 0.8, 800},
	}},
}

// outcomeCounts counts the outcomes of one kind's requests.
type outcomeCounts struct {
	offered, timely, late, refused, unknown int
}

// admissionPolicy decides which requests one target executes: the admitter's scheduler or the baseline.
type admissionPolicy interface {
	Submit(now cherviltide.Millis, r admitter.Request) []admitter.Decision
	Complete(now cherviltide.Millis, id uint64, c admitter.Completion) []admitter.Decision
	Tick(now cherviltide.Millis) []admitter.Decision
	WouldMissDeadline(now cherviltide.Millis, kind cherviltide.Kind) bool
}

// event is an event of the simulation.
type event struct {
	at     cherviltide.Millis
	seq    uint64
	target int
	// id is the request that ends. When it is 0, the event is an arrival of the stream, or a tick if the stream is -1.
	id     uint64
	stream int
}

type eventQueue []event

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h eventQueue) Len() int { return len(h) }

// Less orders by time, then by the order of scheduling.
func (h eventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

// Swap exchanges two events.
func (h eventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventQueue) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventQueue) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// admissionSimulation simulates one service at one load in virtual time.
type admissionSimulation struct {
	service  serviceLoad
	load     float64
	random   *rand.Rand
	policies []admissionPolicy
	queue    eventQueue
	seq      uint64
	pending  map[uint64]pendingRequest
	outcomes []outcomeCounts
}

type pendingRequest struct {
	request    admitter.Request
	stream     int
	target     int
	unanswered bool
}

func newAdmissionSimulation(service serviceLoad, load float64, seed uint64, build func() admissionPolicy) *admissionSimulation {
	a := &admissionSimulation{
		service: service, load: load, random: rand.New(rand.NewPCG(seed, uint64(load*10))),
		pending: map[uint64]pendingRequest{}, outcomes: make([]outcomeCounts, len(service.streams)),
	}
	for i := range service.slowdowns {
		a.policies = append(a.policies, build())
		a.schedule(event{at: 0, target: i, stream: -1})
	}
	for i := range service.streams {
		a.schedule(event{at: a.arrivalInterval(i), stream: i})
	}
	return a
}

func (a *admissionSimulation) schedule(e event) {
	a.seq++
	e.seq = a.seq
	heap.Push(&a.queue, e)
}

// arrivalInterval draws the time until the next arrival of a stream.
func (a *admissionSimulation) arrivalInterval(stream int) cherviltide.Millis {
	capacity := 0.0
	for _, slowdown := range a.service.slowdowns {
		capacity += float64(a.service.slots) / slowdown
	}
	s := a.service.streams[stream]
	mean := s.meanServiceTime / (a.load * s.share * capacity)
	return cherviltide.Millis(a.random.ExpFloat64()*mean + a.random.Float64())
}

// chooseTarget draws a target, and draws once more if the first would miss the deadline. This models the offer of a new
// flow to another agent.
func (a *admissionSimulation) chooseTarget(now cherviltide.Millis, kind cherviltide.Kind) int {
	first := a.drawTarget()
	if !a.policies[first].WouldMissDeadline(now, kind) {
		return first
	}
	return a.drawTarget()
}

// drawTarget draws a target with a probability that is inversely proportional to its service time.
func (a *admissionSimulation) drawTarget() int {
	total := 0.0
	for _, slowdown := range a.service.slowdowns {
		total += 1 / slowdown
	}
	x := a.random.Float64() * total
	for i, slowdown := range a.service.slowdowns {
		if x -= 1 / slowdown; x < 0 {
			return i
		}
	}
	return len(a.service.slowdowns) - 1
}

// run processes the events until all requests have ended.
func (a *admissionSimulation) run() {
	for len(a.queue) > 0 {
		e := heap.Pop(&a.queue).(event)
		switch {
		case e.id != 0:
			a.handleCompletion(e)
		case e.stream < 0:
			a.applyDecisions(e.at, e.target, a.policies[e.target].Tick(e.at))
			if e.at < admissionDuration || len(a.pending) > 0 {
				a.schedule(event{at: e.at + 50, target: e.target, stream: -1})
			}
		case e.at < admissionDuration:
			a.handleArrival(e)
			a.schedule(event{at: e.at + a.arrivalInterval(e.stream), stream: e.stream})
		}
	}
}

func (a *admissionSimulation) handleArrival(e event) {
	kind := a.service.streams[e.stream].kind
	target := a.chooseTarget(e.at, kind)
	a.seq++
	r := admitter.Request{ID: a.seq, Kind: kind, Arrived: e.at, Deadline: e.at + kind.Deadline}
	a.pending[r.ID] = pendingRequest{request: r, stream: e.stream, target: target, unanswered: a.random.Float64() < unansweredShare}
	a.outcomes[e.stream].offered++
	a.applyDecisions(e.at, target, a.policies[target].Submit(e.at, r))
}

// applyDecisions counts refused requests and schedules the ends of those that start.
func (a *admissionSimulation) applyDecisions(now cherviltide.Millis, target int, decisions []admitter.Decision) {
	for _, decision := range decisions {
		o := a.pending[decision.ID]
		if decision.Reason != "" {
			a.outcomes[o.stream].refused++
			delete(a.pending, decision.ID)
			continue
		}
		s := a.service.streams[o.stream]
		end := now + cherviltide.Millis(a.random.ExpFloat64()*s.meanServiceTime*a.service.slowdowns[target]+0.5)
		if o.unanswered {
			end = o.request.Deadline
		}
		a.schedule(event{at: end, target: target, id: decision.ID})
	}
}

func (a *admissionSimulation) handleCompletion(e event) {
	o := a.pending[e.id]
	delete(a.pending, e.id)
	t := &a.outcomes[o.stream]
	switch {
	case o.unanswered:
		t.unknown++
	case e.at > o.request.Deadline && o.request.Kind.Class != cherviltide.ClassBulky:
		t.unknown++ // The agent stops waiting for the target at the deadline.
	case e.at > o.request.Deadline:
		t.late++
	default:
		t.timely++
	}
	a.applyDecisions(e.at, e.target, a.policies[e.target].Complete(e.at, e.id, admitter.Completion{Failed: o.unanswered}))
}

// runAdmission measures all services at three loads, with the admitter and with a queue in order of arrival.
func runAdmission(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, service := range serviceLoads {
		for _, load := range []float64{0.7, 1.0, 1.5} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			scheduler := newAdmissionSimulation(service, load, seed, func() admissionPolicy { return admitter.NewScheduler(admitter.Config{Slots: service.slots}) })
			scheduler.run()
			scheduler.emit("Default", emit)
			baseline := newAdmissionSimulation(service, load, seed, func() admissionPolicy { return &arrivalOrder{slots: service.slots} })
			baseline.run()
			baseline.emit("ArrivalOrder", emit)
		}
	}
	return nil
}

func (a *admissionSimulation) emit(variant string, emit func(Line)) {
	for i, t := range a.outcomes {
		lost := t.offered - t.timely - t.late - t.refused - t.unknown
		emit(Line{
			Variant: variant, Kind: a.service.name + "/" + a.service.streams[i].kind.Name, Load: Ptr(a.load),
			Timely: Ptr(t.timely), Late: Ptr(t.late), Refused: Ptr(t.refused), Unknown: Ptr(t.unknown), Lost: Ptr(lost),
			Note: fmt.Sprintf("%d requests in %d s of virtual time, %.3f%% timely, %d targets with %d slots, %.2f%% of requests never answered",
				t.offered, admissionDuration/1000, 100*float64(t.timely)/float64(max(t.offered, 1)),
				len(a.policies), a.service.slots, 100*unansweredShare),
		})
	}
}

// arrivalOrder is the baseline: a queue in order of arrival that refuses a request when its deadline has passed.
type arrivalOrder struct {
	slots   int
	running int
	waiting []admitter.Request
}

// Submit appends a request to the queue.
func (q *arrivalOrder) Submit(now cherviltide.Millis, r admitter.Request) []admitter.Decision {
	q.waiting = append(q.waiting, r)
	return q.start(now)
}

// Complete frees a slot.
func (q *arrivalOrder) Complete(now cherviltide.Millis, _ uint64, _ admitter.Completion) []admitter.Decision {
	q.running--
	return q.start(now)
}

// Tick refuses the requests whose deadline has passed.
func (q *arrivalOrder) Tick(now cherviltide.Millis) []admitter.Decision {
	var decisions []admitter.Decision
	q.waiting = slices.DeleteFunc(q.waiting, func(r admitter.Request) bool {
		late := now > r.Deadline
		if late {
			decisions = append(decisions, admitter.Decision{ID: r.ID, Reason: admitter.ReasonDeadline})
		}
		return late
	})
	return decisions
}

func (q *arrivalOrder) start(now cherviltide.Millis) []admitter.Decision {
	var decisions []admitter.Decision
	for len(q.waiting) > 0 && q.running < q.slots {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		decision := admitter.Decision{ID: r.ID}
		if now > r.Deadline {
			decision.Reason = admitter.ReasonDeadline
		} else {
			q.running++
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// WouldMissDeadline predicts nothing.
func (q *arrivalOrder) WouldMissDeadline(cherviltide.Millis, cherviltide.Kind) bool { return false }
