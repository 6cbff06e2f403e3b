package replayer

import "cherviltide.example/cherviltide"

// Upload describes how callers send the requests of a kind.
type Upload struct {
	// Packets is the number of packets of a request; the last one is not full. 0 means one short packet.
	Packets int
	// LastPayload is the payload of the last packet in bytes; 0 means 500.
	LastPayload int
	// Fastest and Slowest bound the time from the first to the last packet of a request.
	Fastest, Slowest cherviltide.Millis
	// StallShare is the share of the callers that send the first half of their request and nothing more.
	StallShare float64
}

// openingSequence is the sequence number of opening packets, and firstSequence that of a caller's first payload.
const (
	openingSequence = 100
	firstSequence   = openingSequence + 1
)

// lastPacketPayload is the payload of the last packet of a request or an answer, in bytes, unless its kind tells another.
const lastPacketPayload = 500

// packets returns the number of packets of a request.
func (u Upload) packets() int { return max(u.Packets, 1) }

// payload returns the payload of a packet of a request, in bytes.
func (u Upload) payload(i int) int {
	switch {
	case i < u.packets()-1:
		return fullPacketPayload
	case u.LastPayload > 0:
		return u.LastPayload
	default:
		return lastPacketPayload
	}
}

// bytes returns the payload of a request.
func (u Upload) bytes() int { return (u.packets()-1)*fullPacketPayload + u.payload(u.packets()-1) }

// sendRequest sends the packets of an attempt's request: with windows over links, else at equal intervals.
func (r *replay) sendRequest(a *attempt) {
	u := a.request.kind.Upload
	count := u.packets()
	took := u.Fastest
	if u.Slowest > u.Fastest {
		took += cherviltide.Millis(r.random.Int64N(int64(u.Slowest - u.Fastest)))
	}
	sent := count
	if q := a.request; a.session != nil {
		r.after(q.startedAt+q.kind.Route.Deadline-r.now, func() {
			if !q.done && a.request == q {
				r.giveUp(a)
			}
		})
	}
	if u.StallShare > 0 && r.random.Float64() < u.StallShare {
		sent = count / 2
		r.after(a.request.kind.Route.Deadline, func() { r.giveUp(a) })
	}
	sequence := a.nextSequence
	if a.entry != nil {
		a.nextSequence += uint32(u.bytes())
		a.window, a.sendable = &window{first: sequence, received: make([]bool, count)}, sent
		r.sendWindow(a, a.window, sent)
		return
	}
	a.missing = count
	for i := range sent {
		length := u.payload(i)
		p := cherviltide.Packet{Flags: cherviltide.PacketAck, Sequence: sequence, Acknowledgement: a.openAt.sequence() + 1, Length: length}
		sequence += uint32(length)
		if i == 0 {
			r.send(a, p)
			continue
		}
		r.after(took*cherviltide.Millis(i)/cherviltide.Millis(count-1), func() {
			if !a.ended {
				r.send(a, p)
			}
		})
	}
	a.nextSequence = sequence
}

// giveUp ends an attempt whose caller resets its flow at the deadline.
func (r *replay) giveUp(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	r.send(a, cherviltide.Packet{Flags: cherviltide.PacketReset, Sequence: a.nextSequence})
	r.finish(a.request, func(result *Result) { result.Failed++ })
}
