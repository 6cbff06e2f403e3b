package replayer

import (
	"math"

	"cherviltide.example/cherviltide"
)

// LongFlows describes callers that keep a flow open for several requests, one after the other.
type LongFlows struct {
	// Callers is the number of callers that keep a flow open; 0 means that each request opens a flow. Requests is the mean
	// number of requests of a flow before its caller opens another one.
	Callers, Requests int
}

// Wave makes the rate of all requests swing around its mean.
type Wave struct {
	// Share is the largest deviation from the mean rate, relative to it.
	Share  float64
	Period cherviltide.Millis
}

// factor returns the rate at a time relative to the mean.
func (w Wave) factor(now cherviltide.Millis) float64 {
	if w.Period == 0 {
		return 1
	}
	return 1 + w.Share*math.Sin(2*math.Pi*float64(now)/float64(w.Period))
}

// session is a caller that keeps a flow open.
type session struct {
	replay *replay
	// flow is the open flow, or nil.
	flow *attempt
	// left is the number of requests after which the flow is closed.
	left int
	// current is the request in progress, or nil. waiting has those that wait for it at the caller.
	current *request
	waiting []*request
}

// ask sends a request when the caller's flow is idle.
func (s *session) ask(q *request) {
	q.session = s
	if s.current != nil {
		s.waiting = append(s.waiting, q)
		return
	}
	s.start(q)
}

func (s *session) start(q *request) {
	s.current = q
	if s.flow == nil {
		s.left = 1 + s.replay.random.IntN(2*q.kind.LongFlows.Requests)
		s.replay.startAttempt(q)
		return
	}
	s.flow.request, s.flow.ranAt = q, nil
	s.replay.sendRequest(s.flow)
}

// done continues with the next request after the outcome of one. flow is nil when the flow has ended.
func (s *session) done(flow *attempt) {
	s.flow, s.current = flow, nil
	if s.left--; flow != nil && s.left <= 0 {
		flow.ended = true
		s.flow = nil
		s.replay.send(flow, cherviltide.Packet{Flags: cherviltide.PacketAck | cherviltide.PacketFinish, Sequence: flow.nextSequence})
	}
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.start(next)
	}
}
