// Package queuer decides which of the new flows that wait for a slot of a target takes the next free one, how long a new
// flow would wait, and which flow is refused because it cannot be served before its caller gives up.
//
// Flows that can still meet their goal go first, by priority and then by the time at which they have to start. Flows that
// have missed it take the capacity that is left, so that a backlog delays only itself and not the flows that follow it.
package queuer

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Verdict is the decision about a flow that asks for a slot.
type Verdict uint8

// The verdicts.
const (
	VerdictTimely  Verdict = iota // The flow waits and is expected to meet its goal.
	VerdictLate                   // The flow waits and is expected to be served after its goal.
	VerdictRefused                // The flow cannot be served before its caller gives up.
)

// Flow is a new flow that asks for a slot of the target.
type Flow struct {
	Key cherviltide.FlowKey
	// Priority orders flows; the lowest is the most urgent.
	Priority int
	// Bulky flows are long transfers, which leave one slot to other flows.
	Bulky bool
	// StartedAt is when the caller first sent the opening packet, as far as is known.
	StartedAt cherviltide.Millis
	// Goal is the latency that the caller expects, from StartedAt; 0 means that any time before GiveUpAt meets the goal.
	Goal cherviltide.Millis
	// GiveUpAt is when the caller stops waiting for an answer to the opening packet.
	GiveUpAt cherviltide.Millis
}

// Capacity is the present capacity of the target.
type Capacity struct {
	// Slots is the number of requests that the target runs at once.
	Slots int
	// ServiceTime is the mean time for which a request takes a slot, in milliseconds; 0 when it is not known.
	ServiceTime float64
	// OpeningTime is the mean time from the delivery of an opening packet to the request, in milliseconds.
	OpeningTime float64
}

// Overlap returns how many flows may be opened in addition to the slots, so that the next request arrives when a slot
// becomes free. It covers the round trip from the opening packet to the request.
func (c Capacity) Overlap() int {
	if c.ServiceTime <= 0 || c.OpeningTime <= 0 {
		return 0
	}
	return min(int(float64(c.Slots)*c.OpeningTime/c.ServiceTime)+1, c.Slots)
}

// perFlow returns the mean time between two completions of a busy target, in milliseconds.
func (c Capacity) perFlow() float64 {
	return c.ServiceTime / float64(max(c.Slots, 1))
}

const (
	// serviceMargin is the multiple of the mean service time that must be left before the goal when a flow starts. Requests
	// differ in length, and the answer has to reach the caller.
	serviceMargin = 1.5
	// minLateShare is the smallest share of the capacity that a prediction assumes for late flows.
	minLateShare = 0.05
	// MaxWaiting bounds the waiting flows of one queue.
	MaxWaiting = 1024
)

// Bound limits the starts of flows beyond the capacity of the target.
type Bound interface {
	// WaitBehind returns the time until a flow may start when a number of others start first.
	WaitBehind(now cherviltide.Millis, ahead int) cherviltide.Millis
}

// entry is a waiting flow with its payload.
type entry[T any] struct {
	flow    Flow
	payload T
	// startBy is the latest start with which the flow meets its goal.
	startBy cherviltide.Millis
	late    bool
}

// Queue has the flows that wait for a slot of one target. It reads no clock and is not safe for concurrent use. T is the
// type of the payload that is kept for each flow.
type Queue[T any] struct {
	capacity Capacity
	// bound may be nil.
	bound Bound
	byKey map[cherviltide.FlowKey]*entry[T]
	// timely is sorted by priority, then by startBy. late is sorted by GiveUpAt.
	timely, late []*entry[T]
	load         timelyLoad
}

// New returns an empty queue.
func New[T any]() *Queue[T] {
	return &Queue[T]{byKey: map[cherviltide.FlowKey]*entry[T]{}}
}

// SetCapacity sets the capacity that predictions use.
func (q *Queue[T]) SetCapacity(c Capacity) { q.capacity = c }

// SetBound sets a bound that predictions include.
func (q *Queue[T]) SetBound(b Bound) { q.bound = b }

// Len returns the number of waiting flows.
func (q *Queue[T]) Len() int { return len(q.byKey) }

// Predict returns the expected wait of a new flow and the verdict that Submit would return.
func (q *Queue[T]) Predict(now cherviltide.Millis, f Flow) (wait cherviltide.Millis, verdict Verdict) {
	if len(q.byKey) >= MaxWaiting {
		return f.GiveUpAt - now, VerdictRefused
	}
	ahead := q.timelyIndex(f.Priority, q.startBy(f))
	wait = max(cherviltide.Millis(float64(ahead+1)*q.capacity.perFlow()), q.boundWait(now, ahead))
	if now+wait <= q.startBy(f) {
		return wait, VerdictTimely
	}
	wait = q.waitBehind(now, q.lateIndex(f.GiveUpAt))
	if now+wait > f.GiveUpAt {
		return wait, VerdictRefused
	}
	return wait, VerdictLate
}

// Submit adds a flow unless it is refused, and returns the expected wait.
func (q *Queue[T]) Submit(now cherviltide.Millis, f Flow, payload T) (cherviltide.Millis, Verdict) {
	wait, verdict := q.Predict(now, f)
	if verdict == VerdictRefused {
		return wait, verdict
	}
	e := &entry[T]{flow: f, payload: payload, startBy: q.startBy(f)}
	q.byKey[f.Key] = e
	if verdict == VerdictLate {
		q.addLate(e)
		return wait, verdict
	}
	q.timely = slices.Insert(q.timely, q.timelyIndex(f.Priority, e.startBy), e)
	return wait, verdict
}

// Started records that a flow took a slot, with or without a wait.
func (q *Queue[T]) Started(now cherviltide.Millis, f Flow) {
	if now <= q.startBy(f) {
		q.load.add(now)
	}
}

// Overlap returns the overlap of the target's present capacity.
func (q *Queue[T]) Overlap() int { return q.capacity.Overlap() }

// Get returns the payload of a flow, and false when the flow does not wait.
func (q *Queue[T]) Get(key cherviltide.FlowKey) (payload T, ok bool) {
	if e, ok := q.byKey[key]; ok {
		return e.payload, true
	}
	return payload, false
}

// Remove removes a flow and returns its payload, and false when the flow does not wait.
func (q *Queue[T]) Remove(key cherviltide.FlowKey) (payload T, ok bool) {
	e, ok := q.byKey[key]
	if !ok {
		return payload, false
	}
	delete(q.byKey, key)
	list := &q.timely
	if e.late {
		list = &q.late
	}
	i := slices.Index(*list, e)
	*list = slices.Delete(*list, i, i+1)
	return e.payload, true
}

// First returns any waiting flow, and false when none waits.
func (q *Queue[T]) First() (Flow, bool) {
	for _, list := range [][]*entry[T]{q.timely, q.late} {
		if len(list) > 0 {
			return list[0].flow, true
		}
	}
	return Flow{}, false
}

// Next returns the flow that takes the next free slot, and false when none waits. The flow stays in the queue until it is
// removed. With skipBulky, bulky flows go on waiting.
func (q *Queue[T]) Next(now cherviltide.Millis, skipBulky bool) (Flow, bool) {
	q.moveLate(now)
	for _, list := range [][]*entry[T]{q.timely, q.late} {
		for _, e := range list {
			if !skipBulky || !e.flow.Bulky {
				return e.flow, true
			}
		}
	}
	return Flow{}, false
}

// NextRefused returns a waiting flow that can no longer be served before its caller gives up, and false when there is none.
// The flow stays in the queue until it is removed.
func (q *Queue[T]) NextRefused(now cherviltide.Millis) (Flow, bool) {
	q.moveLate(now)
	if len(q.late) > 0 && now+cherviltide.Millis(q.capacity.OpeningTime) > q.late[0].flow.GiveUpAt {
		return q.late[0].flow, true
	}
	// The newest late flow would wait the longest.
	if n := len(q.late); n > 0 {
		if last := q.late[n-1]; now+q.waitBehind(now, n-1) > last.flow.GiveUpAt {
			return last.flow, true
		}
	}
	return Flow{}, false
}

// startBy returns the latest start with which a flow meets its goal.
func (q *Queue[T]) startBy(f Flow) cherviltide.Millis {
	if f.Goal <= 0 {
		return f.GiveUpAt
	}
	return f.StartedAt + f.Goal - cherviltide.Millis(serviceMargin*q.capacity.ServiceTime)
}

// timelyIndex returns the position of a flow among the timely ones, behind those that are equal.
func (q *Queue[T]) timelyIndex(priority int, startBy cherviltide.Millis) int {
	i, _ := slices.BinarySearchFunc(q.timely, struct{}{}, func(e *entry[T], _ struct{}) int {
		if e.flow.Priority < priority || (e.flow.Priority == priority && e.startBy <= startBy) {
			return -1
		}
		return 1
	})
	return i
}

// lateIndex returns the position of a flow among the late ones, behind those that are equal.
func (q *Queue[T]) lateIndex(giveUpAt cherviltide.Millis) int {
	i, _ := slices.BinarySearchFunc(q.late, giveUpAt, func(e *entry[T], at cherviltide.Millis) int {
		if e.flow.GiveUpAt <= at {
			return -1
		}
		return 1
	})
	return i
}

func (q *Queue[T]) addLate(e *entry[T]) {
	e.late = true
	q.late = slices.Insert(q.late, q.lateIndex(e.flow.GiveUpAt), e)
}

// moveLate moves the flows that can no longer meet their goal to the late ones. It examines the first flow of each
// priority, which has to start before the others of that priority.
func (q *Queue[T]) moveLate(now cherviltide.Millis) {
	for i := 0; i < len(q.timely); {
		e := q.timely[i]
		if now <= e.startBy {
			i = q.timelyIndex(e.flow.Priority, 1<<62)
			continue
		}
		q.timely = slices.Delete(q.timely, i, i+1)
		q.addLate(e)
	}
}

// waitBehind returns the expected wait behind all timely flows and a number of late ones. Timely flows that arrive meanwhile
// go first, so late flows only get the share of the capacity that timely ones have left lately.
func (q *Queue[T]) waitBehind(now cherviltide.Millis, late int) cherviltide.Millis {
	perFlow := q.capacity.perFlow()
	share := max(1-q.load.perSecond(now)*perFlow/1000, minLateShare)
	wait := cherviltide.Millis(float64(len(q.timely))*perFlow + float64(late+1)*perFlow/share)
	return max(wait, q.boundWait(now, len(q.timely)+late))
}

// boundWait returns the time until the bound allows a flow behind a number of others.
func (q *Queue[T]) boundWait(now cherviltide.Millis, ahead int) cherviltide.Millis {
	if q.bound == nil {
		return 0
	}
	return q.bound.WaitBehind(now, ahead)
}
