package shaper

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// quantum is the number of bytes that a flow may send in its turn. It is at least that of the largest packet, so that each turn
// sends one.
const quantum = 1_536

// waitingPacket is a packet that waits at the exit.
type waitingPacket struct {
	Outgoing
	since cherviltide.Millis
}

// flowQueue has the packets of one flow, in the order of their arrival.
type flowQueue struct {
	packets []waitingPacket
	// deficit is the number of bytes that the flow may still send in this turn.
	deficit int
}

// exitQueue shares a link between the flows whose packets wait, by deficit round robin.
type exitQueue struct {
	byFlow map[cherviltide.FlowKey]*flowQueue
	// turns has the flows in the order of their turns. All of them have packets.
	turns []*flowQueue
	bytes int
}

func newExitQueue() exitQueue {
	return exitQueue{byFlow: map[cherviltide.FlowKey]*flowQueue{}}
}

func (q *exitQueue) add(p waitingPacket) {
	f := q.byFlow[p.Flow]
	if f == nil {
		f = &flowQueue{deficit: quantum}
		q.byFlow[p.Flow] = f
		q.turns = append(q.turns, f)
	}
	f.packets = append(f.packets, p)
	q.bytes += len(p.Datagram)
}

// renew reports whether a packet with the same flow, sequence number and length waits, whose caller has just sent it again.
func (q *exitQueue) renew(now cherviltide.Millis, p Outgoing) bool {
	f := q.byFlow[p.Flow]
	if f == nil {
		return false
	}
	i := slices.IndexFunc(f.packets, func(w waitingPacket) bool {
		return w.Packet.Sequence == p.Packet.Sequence && w.Packet.Length == p.Packet.Length
	})
	if i >= 0 {
		f.packets[i].since = now
	}
	return i >= 0
}

// take removes the packet whose turn it is. The queue must not be empty.
func (q *exitQueue) take() waitingPacket {
	for f := q.turns[0]; f.deficit < len(f.packets[0].Datagram); f = q.turns[0] {
		f.deficit += quantum
		q.turns = append(q.turns[1:], f)
	}
	f := q.turns[0]
	p := f.packets[0]
	f.deficit -= len(p.Datagram)
	f.packets[0] = waitingPacket{}
	f.packets = f.packets[1:]
	q.removed(f, p)
	return p
}

// removeLongest removes the newest packet of the flow with the most packets. The queue must not be empty.
func (q *exitQueue) removeLongest() Outgoing {
	longest := slices.MaxFunc(q.turns, func(a, b *flowQueue) int { return len(a.packets) - len(b.packets) })
	last := len(longest.packets) - 1
	p := longest.packets[last]
	longest.packets = longest.packets[:last]
	q.removed(longest, p)
	return p.Outgoing
}

// removed records that a packet of a flow was removed. A flow without packets leaves the turns.
func (q *exitQueue) removed(f *flowQueue, p waitingPacket) {
	q.bytes -= len(p.Datagram)
	if len(f.packets) == 0 {
		delete(q.byFlow, p.Flow)
		i := slices.Index(q.turns, f)
		q.turns = slices.Delete(q.turns, i, i+1)
	}
}
