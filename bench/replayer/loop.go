package replayer

import (
	"container/heap"

	"cherviltide.example/cherviltide"
)

// event is a call at a point in time; events at the same time keep their order.
type event struct {
	at   cherviltide.Millis
	seq  int
	call func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loop is the simulated time with the events that are due.
type loop struct {
	now    cherviltide.Millis
	seq    int
	events eventHeap
}

// after schedules a call.
func (l *loop) after(delay cherviltide.Millis, call func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now + delay, seq: l.seq, call: call})
}

// run makes the calls that are due until the end, in order.
func (l *loop) run(end cherviltide.Millis) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.call()
	}
}
