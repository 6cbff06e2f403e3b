package replayer

import "cherviltide.example/cherviltide"

// window is the transfer of a request over links: the caller's end and the target's end.
type window struct {
	// first is the sequence number of the first packet.
	first uint32
	// sent and acknowledged count the packets that the caller has sent, and that the target has in order.
	sent, acknowledged int
	// received has the packets that the target has, inOrder the number of those before the first gap, and unacknowledged the
	// packets since the last acknowledgement.
	received                []bool
	inOrder, unacknowledged int
}

// sendWindow sends the packets of a request that the window allows.
func (r *replay) sendWindow(a *attempt, w *window, count int) {
	for w.sent < min(count, w.acknowledged+linkWindow) {
		r.sendData(a, w, w.sent, firstRetransmission)
		w.sent++
	}
}

// sendData sends a packet of a request, and again after the time-out while it is not acknowledged.
func (r *replay) sendData(a *attempt, w *window, i int, timeout cherviltide.Millis) {
	if a.ended || a.window != w || i < w.acknowledged {
		return
	}
	r.send(a, cherviltide.Packet{
		Flags: cherviltide.PacketAck, Sequence: w.first + uint32(i*fullPacketPayload), Acknowledgement: a.openAt.sequence() + 1,
		Length: a.request.kind.Upload.payload(i),
	})
	r.after(timeout, func() { r.sendData(a, w, i, min(2*timeout, lastRetransmission)) })
}

// receiveData handles a packet of a request at the target, and reports whether it completes the request.
func (t *target) receiveData(a *attempt, p cherviltide.Packet) bool {
	w, counts := a.window, &t.replay.report.Links
	counts.DataPackets++
	i := int(int32(p.Sequence-w.first)) / fullPacketPayload
	isCopy := p.Sequence < w.first || w.received[i]
	if isCopy {
		counts.Copies++
	} else {
		w.received[i] = true
	}
	before := w.inOrder
	for w.inOrder < len(w.received) && w.received[w.inOrder] {
		w.inOrder++
	}
	complete := w.inOrder == len(w.received)
	w.unacknowledged++
	if isCopy || w.unacknowledged >= 2 || w.inOrder <= i || complete {
		w.unacknowledged = 0
		t.acknowledgeData(a, w, w.inOrder)
	}
	return complete && before < w.inOrder
}

// acknowledgeData tells the caller how many packets the target has in order. The answer passes no link.
func (t *target) acknowledgeData(a *attempt, w *window, inOrder int) {
	t.replay.after(agentDelay+callerDelay, func() {
		if a.ended || a.window != w {
			return
		}
		w.acknowledged = max(w.acknowledged, inOrder)
		t.replay.sendWindow(a, w, a.sendable)
	})
}
