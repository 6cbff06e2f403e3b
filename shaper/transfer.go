package shaper

import "cherviltide.example/cherviltide"

// state is the state of a transfer.
type state uint8

// The states. Transfers have a place in the first two.
const (
	stateOpening  state = iota // The opening packet was forwarded; no data has come.
	stateActive                // Data comes.
	stateLapsed                // The opening packet was forwarded, and data has not come in time.
	stateComplete              // The last packet of the request has come.
	stateCount
)

// transfer is an upload that the entry has let through.
type transfer struct {
	flow  cherviltide.FlowKey
	state state
	// changedAt is the time of the last change of the state or, in stateActive, of the last data.
	changedAt cherviltide.Millis
	// placedAt is when the transfer got its place.
	placedAt cherviltide.Millis
	// packets is the number of packets of the request so far.
	packets int
	// committed is the share of the transfer in Shaper.committed.
	committed float64
	// newest is the highest sequence number after a packet, end that after the request, in stateComplete.
	newest, end    uint32
	previous, next *transfer
}

func (t *transfer) hasPlace() bool { return t.state <= stateActive }

// transferList is a doubly linked list of transfers, sorted by changedAt.
type transferList struct {
	first, last *transfer
	length      int
}

func (l *transferList) append(t *transfer) {
	t.previous, t.next = l.last, nil
	if l.last == nil {
		l.first = t
	} else {
		l.last.next = t
	}
	l.last = t
	l.length++
}

func (l *transferList) remove(t *transfer) {
	if t.previous == nil {
		l.first = t.next
	} else {
		t.previous.next = t.next
	}
	if t.next == nil {
		l.last = t.previous
	} else {
		t.next.previous = t.previous
	}
	l.length--
}

// add remembers a transfer. If there are too many, it forgets the oldest one without a place, and returns nil when there is
// none: the transfer is not counted then.
func (s *Shaper) add(now cherviltide.Millis, flow cherviltide.FlowKey, state state) *transfer {
	if len(s.transfers) >= MaxTransfers {
		oldest := s.lists[stateComplete].first
		if oldest == nil {
			oldest = s.lists[stateLapsed].first
		}
		if oldest == nil {
			return nil
		}
		s.forget(oldest)
	}
	t := &transfer{flow: flow, state: state, changedAt: now, placedAt: now}
	s.transfers[flow] = t
	s.lists[state].append(t)
	s.commit(t)
	return t
}

// commit counts the packets that a transfer may have in flight: a window, or the rest of a request of the mean length.
func (s *Shaper) commit(t *transfer) {
	packets := 0.0
	if t.hasPlace() {
		packets = windowPackets
		if rest := s.requestPackets - float64(t.packets); s.requestPackets > 0 && rest >= 0 {
			packets = min(packets, rest)
		}
	}
	s.committed += packets - t.committed
	t.committed = packets
}

// move puts a transfer into a state.
func (s *Shaper) move(now cherviltide.Millis, t *transfer, state state) {
	s.lists[t.state].remove(t)
	t.state, t.changedAt = state, now
	s.lists[state].append(t)
	s.commit(t)
}

func (s *Shaper) forget(t *transfer) {
	s.lists[t.state].remove(t)
	s.committed -= t.committed
	delete(s.transfers, t.flow)
}

// expire ends the states of transfers whose time-out has passed.
func (s *Shaper) expire(now cherviltide.Millis) {
	for state := range s.lists {
		for t := s.lists[state].first; t != nil && now-t.changedAt >= s.timeouts[state]; t = s.lists[state].first {
			end := t.changedAt + s.timeouts[state]
			s.release(end, t)
			if t.state == stateOpening {
				s.move(end, t, stateLapsed)
				continue
			}
			s.forget(t)
		}
	}
}

// rateInterval is the interval over which byteRate averages. It is longer than the gaps between small requests.
const rateInterval cherviltide.Millis = 100

// byteRate measures a rate in bytes a second.
type byteRate struct {
	rate  float64
	bytes int
	since cherviltide.Millis
}

func (r *byteRate) add(now cherviltide.Millis, bytes int) {
	r.update(now)
	r.bytes += bytes
}

// perSecond returns the mean rate of about the last second.
func (r *byteRate) perSecond(now cherviltide.Millis) float64 {
	r.update(now)
	return r.rate
}

// update adds the complete intervals to the mean.
func (r *byteRate) update(now cherviltide.Millis) {
	elapsed := now - r.since
	if elapsed < rateInterval {
		return
	}
	if elapsed > 100*rateInterval {
		*r = byteRate{since: now}
		return
	}
	share := float64(rateInterval) / 1000
	for ; now-r.since >= rateInterval; r.since += rateInterval {
		r.rate += share * (float64(r.bytes)/share - r.rate)
		r.bytes = 0
	}
}
