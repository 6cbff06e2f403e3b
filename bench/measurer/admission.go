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

// Times of the admission case, in milliseconds of virtual time.
const (
	admissionSpan = cherviltide.Millis(120_000)
	// silentShare is the share of requests that the target never answers.
	silentShare = 0.0001
)

// stream is the traffic of one kind.
type stream struct {
	kind cherviltide.Kind
	// share is the kind's share of the offered work.
	share float64
	// mean is the time of a request at the fastest target, in milliseconds.
	mean float64
}

// serviceLoad is a service with its targets.
type serviceLoad struct {
	name    string
	slots   int
	slow    []float64 // How many times as long each target takes as the fastest.
	streams []stream
}

func kindOf(name string, class cherviltide.Class, priority int, deadline cherviltide.Millis) cherviltide.Kind {
	return cherviltide.Kind{Name: name, Class: class, Priority: priority, Deadline: deadline}
}

var (
	sevenSpeeds = []float64{1, 1, 1.5, 2, 2, 3, 4}
	threeSpeeds = []float64{1, 2, 4}
)

// serviceLoads are the services of both operators at their sizes. Each urgent kind alone fits at 1.5 times capacity.
var serviceLoads = []serviceLoad{
	{"advisory-desk", 2, sevenSpeeds, []stream{
		{kindOf("fetch", cherviltide.ClassUrgent, 1, 2_000), 0.4, 20},
		{kindOf("acknowledge", cherviltide.ClassNormal, 2, 5_000), 0.2, 30},
		{kindOf("digest", cherviltide.ClassPatient, 8, 60_000), 0.4, 40},
	}},
	{"chart-store", 2, threeSpeeds, []stream{
		{kindOf("index", cherviltide.ClassUrgent, 1, 2_000), 0.2, 20},
		{kindOf("chart", cherviltide.ClassBulky, 5, 120_000), 0.8, 1_500},
	}},
	{"deposit-core", 3, sevenSpeeds, []stream{
		{kindOf("check", cherviltide.ClassUrgent, 1, 1_000), 0.4, 15},
		{kindOf("lodge", cherviltide.ClassNormal, 2, 5_000), 0.3, 40},
		{kindOf("certificate", cherviltide.ClassPatient, 8, 60_000), 0.3, 60},
	}},
	{"cert-archive", 3, threeSpeeds, []stream{
		{kindOf("lookup", cherviltide.ClassUrgent, 1, 1_000), 0.2, 15},
		{kindOf("bundle", cherviltide.ClassBulky, 5, 120_000), 0.8, 800},
	}},
}

// tally counts the endings of one kind's requests.
type tally struct {
	offered, timely, late, refused, unknown int
}

// gate is what decides at one target: the admitter's core or the baseline.
type gate interface {
	Submit(now cherviltide.Millis, r admitter.Request) []admitter.Decision
	Complete(now cherviltide.Millis, id uint64, c admitter.Completion) []admitter.Decision
	Tick(now cherviltide.Millis) []admitter.Decision
	WouldMissDeadline(now cherviltide.Millis, kind cherviltide.Kind) bool
}

// happening is an event of the simulation.
type happening struct {
	at     cherviltide.Millis
	seq    uint64
	target int
	// id is the request that ends; 0 is an arrival of the stream, or a tick when the stream is -1.
	id     uint64
	stream int
}

type happenings []happening

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h happenings) Len() int { return len(h) }

// Less orders by time, then by the order of planning.
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

// Swap exchanges two events.
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *happenings) Push(x any) { *h = append(*h, x.(happening)) }

// Pop removes the last event.
func (h *happenings) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// admission runs one serviceLoad at one load in virtual time.
type admission struct {
	serviceLoad serviceLoad
	load        float64
	random      *rand.Rand
	gates       []gate
	queue       happenings
	seq         uint64
	open        map[uint64]openRequest
	tallies     []tally
}

type openRequest struct {
	request admitter.Request
	stream  int
	target  int
	silent  bool
}

func newAdmission(d serviceLoad, load float64, seed uint64, build func() gate) *admission {
	a := &admission{
		serviceLoad: d, load: load, random: rand.New(rand.NewPCG(seed, uint64(load*10))),
		open: map[uint64]openRequest{}, tallies: make([]tally, len(d.streams)),
	}
	for i := range d.slow {
		a.gates = append(a.gates, build())
		a.plan(happening{at: 0, target: i, stream: -1})
	}
	for i := range d.streams {
		a.plan(happening{at: a.gap(i), stream: i})
	}
	return a
}

func (a *admission) plan(h happening) {
	a.seq++
	h.seq = a.seq
	heap.Push(&a.queue, h)
}

// gap is the time until the next arrival of a stream.
func (a *admission) gap(stream int) cherviltide.Millis {
	capacity := 0.0
	for _, slow := range a.serviceLoad.slow {
		capacity += float64(a.serviceLoad.slots) / slow
	}
	s := a.serviceLoad.streams[stream]
	mean := s.mean / (a.load * s.share * capacity)
	return cherviltide.Millis(a.random.ExpFloat64()*mean + a.random.Float64())
}

// choose returns a target by speed, and another one when the first would break the deadline, as an offer does.
func (a *admission) choose(now cherviltide.Millis, kind cherviltide.Kind) int {
	first := a.bySpeed()
	if !a.gates[first].WouldMissDeadline(now, kind) {
		return first
	}
	return a.bySpeed()
}

func (a *admission) bySpeed() int {
	total := 0.0
	for _, slow := range a.serviceLoad.slow {
		total += 1 / slow
	}
	x := a.random.Float64() * total
	for i, slow := range a.serviceLoad.slow {
		if x -= 1 / slow; x < 0 {
			return i
		}
	}
	return len(a.serviceLoad.slow) - 1
}

// run plays the events until all requests have ended.
func (a *admission) run() {
	for len(a.queue) > 0 {
		h := heap.Pop(&a.queue).(happening)
		switch {
		case h.id != 0:
			a.finish(h)
		case h.stream < 0:
			a.take(h.at, h.target, a.gates[h.target].Tick(h.at))
			if h.at < admissionSpan || len(a.open) > 0 {
				a.plan(happening{at: h.at + 50, target: h.target, stream: -1})
			}
		case h.at < admissionSpan:
			a.arrive(h)
			a.plan(happening{at: h.at + a.gap(h.stream), stream: h.stream})
		}
	}
}

func (a *admission) arrive(h happening) {
	kind := a.serviceLoad.streams[h.stream].kind
	target := a.choose(h.at, kind)
	a.seq++
	r := admitter.Request{ID: a.seq, Kind: kind, Arrived: h.at, Deadline: h.at + kind.Deadline}
	a.open[r.ID] = openRequest{request: r, stream: h.stream, target: target, silent: a.random.Float64() < silentShare}
	a.tallies[h.stream].offered++
	a.take(h.at, target, a.gates[target].Submit(h.at, r))
}

// take carries out the decisions of a gate.
func (a *admission) take(now cherviltide.Millis, target int, actions []admitter.Decision) {
	for _, action := range actions {
		o := a.open[action.ID]
		if action.Reason != "" {
			a.tallies[o.stream].refused++
			delete(a.open, action.ID)
			continue
		}
		s := a.serviceLoad.streams[o.stream]
		end := now + cherviltide.Millis(a.random.ExpFloat64()*s.mean*a.serviceLoad.slow[target]+0.5)
		if o.silent {
			end = o.request.Deadline
		}
		a.plan(happening{at: end, target: target, id: action.ID})
	}
}

func (a *admission) finish(h happening) {
	o := a.open[h.id]
	delete(a.open, h.id)
	t := &a.tallies[o.stream]
	switch {
	case o.silent:
		t.unknown++
	case h.at > o.request.Deadline && o.request.Kind.Class != cherviltide.ClassBulky:
		t.unknown++ // The agent ends the wait for the target at the deadline.
	case h.at > o.request.Deadline:
		t.late++
	default:
		t.timely++
	}
	a.take(h.at, h.target, a.gates[h.target].Complete(h.at, h.id, admitter.Completion{Failed: o.silent}))
}

// runAdmission measures all serviceLoads at three loads, with the admitter and with a queue in order of arrival.
func runAdmission(ctx context.Context, seed uint64, emit func(Line)) error {
	for _, d := range serviceLoads {
		for _, load := range []float64{0.7, 1.0, 1.5} {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			core := newAdmission(d, load, seed, func() gate { return admitter.NewScheduler(admitter.Config{Slots: d.slots}) })
			core.run()
			core.emit("Default", emit)
			line := newAdmission(d, load, seed, func() gate { return &arrivalOrder{slots: d.slots} })
			line.run()
			line.emit("ArrivalOrder", emit)
		}
	}
	return nil
}

func (a *admission) emit(variant string, emit func(Line)) {
	for i, t := range a.tallies {
		lost := t.offered - t.timely - t.late - t.refused - t.unknown
		emit(Line{
			Variant: variant, Kind: a.serviceLoad.name + "/" + a.serviceLoad.streams[i].kind.Name, Load: Of(a.load),
			Timely: Of(t.timely), Late: Of(t.late), Refused: Of(t.refused), Unknown: Of(t.unknown), Lost: Of(lost),
			Note: fmt.Sprintf("%d requests in %d s of virtual time, %.3f%% timely, %d targets with %d slots, %.2f%% of requests never answered",
				t.offered, admissionSpan/1000, 100*float64(t.timely)/float64(max(t.offered, 1)),
				len(a.gates), a.serviceLoad.slots, 100*silentShare),
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
	var actions []admitter.Decision
	q.waiting = slices.DeleteFunc(q.waiting, func(r admitter.Request) bool {
		late := now > r.Deadline
		if late {
			actions = append(actions, admitter.Decision{ID: r.ID, Reason: admitter.ReasonDeadline})
		}
		return late
	})
	return actions
}

func (q *arrivalOrder) start(now cherviltide.Millis) []admitter.Decision {
	var actions []admitter.Decision
	for len(q.waiting) > 0 && q.running < q.slots {
		r := q.waiting[0]
		q.waiting = q.waiting[1:]
		action := admitter.Decision{ID: r.ID}
		if now > r.Deadline {
			action.Reason = admitter.ReasonDeadline
		} else {
			q.running++
		}
		actions = append(actions, action)
	}
	return actions
}

// WouldMissDeadline predicts nothing.
func (q *arrivalOrder) WouldMissDeadline(cherviltide.Millis, cherviltide.Kind) bool { return false }
