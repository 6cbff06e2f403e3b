// Package shaper decides how an entry uses its link: which uploads it lets through at once, and in which order packets leave.
//
// The decisions serve thin links with more uploads than they carry. Callers send windows of 16 packets and retransmit after
// 200 ms. As soon as the windows of all uploads in progress need longer than that to drain, each packet is sent twice and the
// link delivers less the more uploads share it. Only as many uploads are admitted as drain before the first retransmission.
// The opening packets of the others wait, because a caller sends its request only once its opening packet was answered, and an
// opening packet that cannot be admitted before its caller gives up is refused at once, so that the caller can try another
// entry.
package shaper

import (
	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/queuer"
)

// Config describes the link.
type Config struct {
	// Rate is the rate of the link, in bytes a second. It is above 0.
	Rate int64
	// Directions tells whether packets that arrive and packets that leave share Rate.
	Directions Directions
	// PacketHeader and ForwardHeader are the sizes of a packet's header and of the header that the entry adds, in bytes.
	PacketHeader, ForwardHeader int
	// MaxPayload is the payload of a full packet, in bytes. A shorter one ends a request.
	MaxPayload int
	// OpeningRetransmissions are the times, from the first transmission, at which callers send their opening packet again, and
	// OpeningTimeout is when they give up.
	OpeningRetransmissions []cherviltide.Millis
	OpeningTimeout         cherviltide.Millis
}

const (
	// windowPackets is the largest number of packets that a caller has in flight.
	windowPackets = 16
	// datagramHeader is the size of the IPv4 and UDP headers, in bytes.
	datagramHeader = 28
	// firstRetransmission is the time until callers first retransmit a packet, and roundTripMargin the part of it that is left for
	// the way of the packet and of its acknowledgement beside the link. Windows that need all of the time are sent twice.
	firstRetransmission cherviltide.Millis = 200
	roundTripMargin     cherviltide.Millis = 30
	// silenceTimeout is the time without a packet of the request after which a transfer has ended. A caller that waits for an
	// acknowledgement has retransmitted by then.
	silenceTimeout cherviltide.Millis = 500
	// openingTimeout is how long an admitted transfer may take to send data. An answer that takes longer waits for a slot of its
	// target, or is lost, and would leave the link idle.
	openingTimeout cherviltide.Millis = 300
	// MaxTransfers bounds the transfers that are remembered. One takes about 200 bytes.
	MaxTransfers = 4_096
	// maxWaitingBytes bounds the memory of the opening packets that wait, in bytes.
	maxWaitingBytes = 1 << 20
	// maxLateWait is the share of its goal for which a flow that will miss the goal may wait. The caller of one that would wait
	// longer has a better chance at another entry.
	maxLateWait = 0.5
	// smoothing is the weight of a new value in the means of times.
	smoothing = 0.125
)

// Verdict is the decision about an opening packet.
type Verdict uint8

// The verdicts.
const (
	VerdictForward  Verdict = iota // The packet is forwarded at once.
	VerdictWait                    // The packet waits; Next returns it later.
	VerdictAbsorbed                // A packet of the same flow waits, which this one has replaced.
	VerdictRefuse                  // The flow cannot be admitted before its caller gives up, or would miss its goal by far.
)

// Opening is the opening packet of an upload.
type Opening struct {
	Flow cherviltide.FlowKey
	// Priority orders flows; the lowest is the most urgent.
	Priority int
	// Goal is the latency that the caller expects, from the first transmission; 0 means none.
	Goal cherviltide.Millis
	// Retransmission is the number of the copy; 0 for the first transmission.
	Retransmission uint32
	// Datagram is the packet as it is forwarded. A Shaper copies it when the packet has to wait.
	Datagram []byte
}

// Departure is an opening packet that has waited.
type Departure struct {
	Opening
	// Refused is true when the caller gets a reset instead.
	Refused bool
	// Wait is the time for which the packet has waited.
	Wait cherviltide.Millis
}

// waitingOpening is an opening packet that waits.
type waitingOpening struct {
	Opening
	since cherviltide.Millis
}

// Shaper decides about the transfers of one link. It reads no clock and is not safe for concurrent use.
type Shaper struct {
	// Exit decides in which order packets leave over the link.
	Exit   *Exit
	config Config
	meter  directionMeter
	// packetCost is the number of bytes of the link that a full packet takes.
	packetCost float64
	transfers  map[cherviltide.FlowKey]*transfer
	// lists has the transfers by state, each in the order of their last change. Its first two have a place.
	lists [stateCount]transferList
	// timeouts has the time without a change after which a transfer leaves its state.
	timeouts [stateCount]cherviltide.Millis
	queue    *queuer.Queue[*waitingOpening]
	// waitingBytes is the size of the packets in queue.
	waitingBytes int
	// holdTime is the mean time for which a transfer has a place, openingTime that from its admission to its first data, in
	// milliseconds.
	holdTime, openingTime float64
	// requestPackets is the mean number of packets of a request; 0 when no request has ended.
	requestPackets float64
	// committed is the number of packets that the transfers with a place may have in flight.
	committed float64
	other     byteRate
}

// New returns a shaper for a link without transfers.
func New(config Config) *Shaper {
	s := &Shaper{
		Exit: NewExit(config), config: config, meter: newDirectionMeter(config.Directions),
		transfers: map[cherviltide.FlowKey]*transfer{}, queue: queuer.New[*waitingOpening](),
	}
	// Transfers without a place are remembered as long as copies of their opening packet may come.
	s.timeouts = [stateCount]cherviltide.Millis{openingTimeout, silenceTimeout, config.OpeningTimeout, config.OpeningTimeout}
	s.setCost()
	// Until a transfer has ended, each is assumed to send two windows and to share the link with as many as are admitted.
	s.holdTime = 2 * float64(s.slots(0)) * windowPackets * s.packetCost * 1000 / float64(config.Rate)
	return s
}

// setCost computes packetCost for the present directions of the link.
func (s *Shaper) setCost() {
	s.packetCost = float64(s.cost(s.config.MaxPayload + s.config.PacketHeader))
	s.Exit.setSeparate(s.meter.separate)
}

// cost returns the bytes of the link that a caller's packet of a given size takes.
func (s *Shaper) cost(size int) int {
	out := size + datagramHeader + s.config.ForwardHeader
	if s.meter.separate {
		return out
	}
	return out + size + datagramHeader
}

// Separate reports whether the link is taken for one that carries its rate in each direction.
func (s *Shaper) Separate() bool { return s.meter.separate }

// measure evaluates the directions of the link.
func (s *Shaper) measure(now cherviltide.Millis) {
	if s.meter.update(now, s.queue.Len() > 0, s.config.Rate) {
		s.setCost()
	}
}

// budget returns how many packets may be in flight: those that the link carries, beside its other traffic, before callers
// retransmit.
func (s *Shaper) budget(now cherviltide.Millis) float64 {
	rate := float64(s.config.Rate) - s.other.perSecond(now)
	return rate * float64(firstRetransmission-roundTripMargin) / 1000 / s.packetCost
}

// slots returns the number of whole windows that the budget is nearest to, at least 1, as the capacity for predictions.
func (s *Shaper) slots(now cherviltide.Millis) int {
	return max(int(s.budget(now)/windowPackets+0.5), 1)
}

// hasPlace reports whether another transfer may be admitted: with its window, the packets in flight and those that wait for the
// link are within the budget. One transfer always may.
func (s *Shaper) hasPlace(now cherviltide.Millis) bool {
	return s.InProgress(now) == 0 || s.committed+windowPackets <= s.budget(now)-float64(s.Exit.Backlog(now))/s.packetCost
}

// InProgress returns the number of transfers that have a place.
func (s *Shaper) InProgress(now cherviltide.Millis) int {
	s.expire(now)
	return s.lists[stateOpening].length + s.lists[stateActive].length
}

// Waiting returns the number of opening packets that wait.
func (s *Shaper) Waiting() int { return s.queue.Len() }

// Ready reports whether Next would admit a waiting opening packet.
func (s *Shaper) Ready(now cherviltide.Millis) bool {
	return s.queue.Len() > 0 && s.hasPlace(now)
}

// CountOther counts a caller's packet that belongs to no upload.
func (s *Shaper) CountOther(now cherviltide.Millis, size int) {
	s.Exit.Arrive(now, size)
	s.other.add(now, s.cost(size))
}

// Open decides about an opening packet.
func (s *Shaper) Open(now cherviltide.Millis, o Opening) Verdict {
	s.Exit.Arrive(now, len(o.Datagram)-s.config.ForwardHeader)
	verdict := s.decide(now, o)
	s.measure(now)
	return verdict
}

func (s *Shaper) decide(now cherviltide.Millis, o Opening) Verdict {
	s.expire(now)
	if t := s.transfers[o.Flow]; t != nil {
		if t.state != stateComplete {
			return VerdictForward
		}
		// The caller uses the port again.
		s.forget(t)
	}
	if w, ok := s.queue.Get(o.Flow); ok {
		s.replace(w, o)
		return VerdictAbsorbed
	}
	if s.queue.Len() == 0 && s.hasPlace(now) {
		s.admit(now, o.Flow)
		return VerdictForward
	}
	if s.waitingBytes+len(o.Datagram) > maxWaitingBytes {
		return VerdictRefuse
	}
	s.updateCapacity(now)
	f := s.queued(now, o)
	switch wait, verdict := s.queue.Predict(now, f); {
	case verdict == queuer.VerdictRefused:
		return VerdictRefuse
	case verdict == queuer.VerdictLate && float64(wait) > maxLateWait*float64(o.Goal):
		return VerdictRefuse
	}
	o.Datagram = append([]byte(nil), o.Datagram...)
	s.waitingBytes += len(o.Datagram)
	s.queue.Submit(now, f, &waitingOpening{Opening: o, since: now})
	return VerdictWait
}

// queued returns the opening packet as the queue orders it. A copy tells when the caller sent the first one.
func (s *Shaper) queued(now cherviltide.Millis, o Opening) queuer.Flow {
	startedAt := now
	if copies := s.config.OpeningRetransmissions; len(copies) > 0 && o.Retransmission > 0 {
		startedAt -= copies[min(int(o.Retransmission), len(copies))-1]
	}
	return queuer.Flow{
		Key: o.Flow, Priority: o.Priority, StartedAt: startedAt, Goal: o.Goal, GiveUpAt: startedAt + s.config.OpeningTimeout,
	}
}

// replace puts a newer copy in the place of an opening packet that waits, so that the agent learns the age of the flow.
func (s *Shaper) replace(w *waitingOpening, o Opening) {
	if o.Retransmission <= w.Retransmission {
		return
	}
	s.waitingBytes += len(o.Datagram) - len(w.Datagram)
	w.Retransmission, w.Datagram = o.Retransmission, append(w.Datagram[:0], o.Datagram...)
}

// Next returns an opening packet that waits no longer, and false when there is none.
func (s *Shaper) Next(now cherviltide.Millis) (Departure, bool) {
	if s.queue.Len() == 0 {
		return Departure{}, false
	}
	s.expire(now)
	s.measure(now)
	s.updateCapacity(now)
	if s.hasPlace(now) {
		if f, ok := s.queue.Next(now, false); ok {
			refused := now+cherviltide.Millis(s.openingTime) > f.GiveUpAt
			if !refused {
				s.queue.Started(now, f)
				s.admit(now, f.Key)
			}
			return s.depart(now, f.Key, refused), true
		}
	}
	if f, ok := s.queue.NextRefused(now); ok {
		return s.depart(now, f.Key, true), true
	}
	return Departure{}, false
}

func (s *Shaper) depart(now cherviltide.Millis, key cherviltide.FlowKey, refused bool) Departure {
	w, _ := s.queue.Remove(key)
	s.waitingBytes -= len(w.Datagram)
	return Departure{Opening: w.Opening, Refused: refused, Wait: now - w.since}
}

// updateCapacity tells the queue the present drain rate of the link.
func (s *Shaper) updateCapacity(now cherviltide.Millis) {
	s.queue.SetCapacity(queuer.Capacity{Slots: s.slots(now), ServiceTime: s.holdTime, OpeningTime: s.openingTime})
}

// Packet records a caller's packet that does not open a flow. Such a packet is always forwarded.
func (s *Shaper) Packet(now cherviltide.Millis, flow cherviltide.FlowKey, p cherviltide.Packet) {
	s.Exit.Arrive(now, p.Length+s.config.PacketHeader)
	s.expire(now)
	s.measure(now)
	t := s.transfers[flow]
	switch {
	case p.Flags&(cherviltide.PacketFinish|cherviltide.PacketReset) != 0:
		if t != nil {
			s.release(now, t)
			s.forget(t)
		}
		s.cancel(flow)
	case p.Length > 0:
		// Another entry has forwarded a copy of the opening packet if this entry lets one wait.
		s.cancel(flow)
		s.recordData(now, flow, t, p)
	}
}

// cancel drops the opening packet of a flow if it waits.
func (s *Shaper) cancel(flow cherviltide.FlowKey) {
	if s.queue.Len() == 0 {
		return
	}
	if w, ok := s.queue.Remove(flow); ok {
		s.waitingBytes -= len(w.Datagram)
	}
}

// recordData records a packet of a request.
func (s *Shaper) recordData(now cherviltide.Millis, flow cherviltide.FlowKey, t *transfer, p cherviltide.Packet) {
	if t == nil {
		// The flow was opened before this entry started, or through another entry.
		if t = s.add(now, flow, stateActive); t == nil {
			return
		}
	}
	end := p.Sequence + uint32(p.Length)
	isCopy := t.packets > 0 && int32(end-t.newest) <= 0
	if !isCopy {
		t.newest = end
	}
	s.meter.count(p.Length+s.config.PacketHeader+datagramHeader, isCopy)
	if t.state == stateComplete && int32(end-t.end) <= 0 {
		return
	}
	switch t.state {
	case stateOpening:
		s.openingTime += smoothing * (float64(now-t.placedAt) - s.openingTime)
	case stateLapsed, stateComplete:
		t.placedAt, t.packets = now, 0
	}
	t.packets++
	if p.Length >= s.config.MaxPayload {
		s.move(now, t, stateActive)
		return
	}
	if s.requestPackets == 0 {
		s.requestPackets = float64(t.packets)
	}
	s.requestPackets += smoothing * (float64(t.packets) - s.requestPackets)
	s.release(now, t)
	t.end = end
	s.move(now, t, stateComplete)
}

// admit gives a flow a place.
func (s *Shaper) admit(now cherviltide.Millis, flow cherviltide.FlowKey) {
	s.add(now, flow, stateOpening)
}

// release records the time for which a transfer had a place.
func (s *Shaper) release(now cherviltide.Millis, t *transfer) {
	if t.hasPlace() {
		s.holdTime += smoothing * (float64(now-t.placedAt) - s.holdTime)
	}
}
