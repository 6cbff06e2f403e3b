package replayer

import "cherviltide.example/cherviltide"

// openingSequence is the sequence number of opening packets. Data follows it.
const openingSequence = 100

// linkRequest is a caller's request with its attempts.
type linkRequest struct {
	kind      *linkKind
	startedAt cherviltide.Millis
	attempts  int
	// entry is the index of the entry of the last attempt, or -1.
	entry int
}

// result returns the result that counts a request.
func (r *linkReplay) result(q *linkRequest) *Result {
	return r.report.PerSecond.at(q.kind.name, q.startedAt)
}

// linkFlow is one attempt of a request: the caller's end and the target's end of a flow.
type linkFlow struct {
	replay  *linkReplay
	request *linkRequest
	key     cherviltide.FlowKey
	entry   *linkEntry
	// answered is true when the caller has the answer to its opening packet, and ended when it has given up or is done.
	answered, ended bool
	// sent and acknowledged count the packets with data that the caller has sent, and that the target has in order.
	sent, acknowledged int
	// received has the packets with data that the target has, inOrder the number of those before the first gap, and
	// unacknowledged the packets since the last acknowledgement.
	received                []bool
	inOrder, unacknowledged int
}

// openLinkFlow opens a flow for a request through an entry other than the last one.
func (r *linkReplay) openLinkFlow(q *linkRequest) {
	q.attempts++
	entry := r.random.IntN(len(r.entries))
	if entry == q.entry {
		entry = (entry + 1) % len(r.entries)
	}
	q.entry = entry
	f := &linkFlow{replay: r, request: q, key: r.nextKey(), entry: r.entries[entry], received: make([]bool, q.kind.packets())}
	f.sendOpening(0)
	for i, delay := range openingRetransmissions {
		r.after(delay, func() { f.sendOpening(uint32(i + 1)) })
	}
	r.after(openingTimeout, func() { f.fail(false) })
	r.after(q.startedAt+q.kind.deadline-r.now, f.expire)
}

func (f *linkFlow) sendOpening(copyNumber uint32) {
	if !f.answered && !f.ended {
		f.send(cherviltide.Packet{Flags: cherviltide.PacketOpen, Sequence: openingSequence, Retransmission: copyNumber})
	}
}

// send sends a caller's packet over the link to the entry.
func (f *linkFlow) send(p cherviltide.Packet) {
	f.replay.after(callerDelay, func() {
		at, ok := f.entry.in.carry(f.replay.now, p.Length+linkPacketHeader+linkDatagramHeader)
		if ok {
			f.replay.after(at-f.replay.now, func() { f.entry.receive(f, p) })
		}
	})
}

// fail ends an attempt that was not answered. The caller opens another flow while it has attempts left.
func (f *linkFlow) fail(reset bool) {
	if f.answered || f.ended {
		return
	}
	f.ended = true
	q, r := f.request, f.replay
	if q.attempts < maxAttempts {
		r.after(retryDelay, func() { r.openLinkFlow(q) })
		return
	}
	if reset {
		r.result(q).Refused++
	} else {
		r.result(q).Failed++
	}
}

// expire ends an attempt at the deadline of its request.
func (f *linkFlow) expire() {
	if f.ended {
		return
	}
	f.ended = true
	f.replay.result(f.request).Failed++
	f.send(cherviltide.Packet{Flags: cherviltide.PacketReset})
}

// sendWindow sends the packets that the window allows.
func (f *linkFlow) sendWindow() {
	for f.sent < len(f.received) && f.sent < f.acknowledged+linkWindow {
		f.sendData(f.sent, firstRetransmission)
		f.sent++
	}
}

// sendData sends a packet with data, and again after the time-out while it is not acknowledged.
func (f *linkFlow) sendData(i int, timeout cherviltide.Millis) {
	if f.ended || i < f.acknowledged {
		return
	}
	f.send(cherviltide.Packet{
		Flags: cherviltide.PacketAck, Sequence: uint32(openingSequence + i*fullPacketPayload),
		Length: min(fullPacketPayload, f.request.kind.bytes-i*fullPacketPayload),
	})
	f.replay.after(timeout, func() { f.sendData(i, min(2*timeout, lastRetransmission)) })
}

// arrive handles a packet at the target, whose answers reach the caller without passing a link.
func (f *linkFlow) arrive(p cherviltide.Packet) {
	switch {
	case p.OpensFlow():
		f.answer(0, func() {
			f.answered = true
			f.sendWindow()
		})
	case p.Length > 0:
		f.arriveData(int(p.Sequence-openingSequence) / fullPacketPayload)
	}
}

func (f *linkFlow) arriveData(i int) {
	f.replay.report.DataPackets++
	isCopy := f.received[i]
	if isCopy {
		f.replay.report.Copies++
	}
	f.received[i] = true
	complete := f.inOrder == len(f.received)
	for f.inOrder < len(f.received) && f.received[f.inOrder] {
		f.inOrder++
	}
	f.unacknowledged++
	if isCopy || f.unacknowledged >= 2 || f.inOrder <= i || f.inOrder == len(f.received) {
		f.unacknowledged = 0
		inOrder := f.inOrder
		f.answer(0, func() {
			f.acknowledged = max(f.acknowledged, inOrder)
			f.sendWindow()
		})
	}
	if !complete && f.inOrder == len(f.received) {
		f.answer(f.request.kind.work, f.finish)
	}
}

// answer calls a function at the caller, unless it has given up, after the target has worked.
func (f *linkFlow) answer(work cherviltide.Millis, call func()) {
	f.replay.after(work+agentDelay+callerDelay, func() {
		if !f.ended {
			call()
		}
	})
}

// finish handles the complete answer to the request.
func (f *linkFlow) finish() {
	f.ended = true
	f.send(cherviltide.Packet{Flags: cherviltide.PacketAck})
	f.send(cherviltide.Packet{Flags: cherviltide.PacketFinish | cherviltide.PacketAck})
	q, r := f.request, f.replay
	r.report.Goodput += float64(q.kind.bytes)
	if r.now-q.startedAt <= q.kind.goal {
		r.result(q).Timely++
	} else {
		r.result(q).Late++
	}
}
