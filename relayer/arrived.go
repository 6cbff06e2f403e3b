package relayer

import "slices"

// maxGaps bounds the ranges of payload that have arrived behind a gap. Callers have at most 16 packets in flight.
const maxGaps = 16

// span is a range of sequence numbers, from its first one to the one after its last.
type span struct{ from, to uint32 }

// arrived tells which payload of a request has arrived at the target. Packets may be lost, doubled and out of order.
type arrived struct {
	// next is the sequence number up to which all payload has arrived.
	next uint32
	// newest is the sequence number after the newest payload; short is true when that payload did not fill its packet.
	newest uint32
	short  bool
	// behindGaps has the ranges after next, in order and apart from each other. A packet that finds no room counts as lost.
	behindGaps []span
}

// hasGap reports whether payload before the newest is missing.
func (r *arrived) hasGap() bool { return r.next != r.newest }

// add records payload of the given length, and reports whether a part of it is newer than all before.
func (r *arrived) add(sequence uint32, length, maxPayload int) bool {
	s := span{sequence, sequence + uint32(length)}
	isNewest := int32(s.to-r.newest) > 0
	if isNewest {
		r.newest, r.short = s.to, length < maxPayload
	}
	if int32(s.from-r.next) > 0 {
		r.insert(s)
		return isNewest
	}
	if int32(s.to-r.next) > 0 {
		r.next = s.to
	}
	for len(r.behindGaps) > 0 && int32(r.behindGaps[0].from-r.next) <= 0 {
		if to := r.behindGaps[0].to; int32(to-r.next) > 0 {
			r.next = to
		}
		r.behindGaps = slices.Delete(r.behindGaps, 0, 1)
	}
	return isNewest
}

// insert adds a range behind a gap and joins the ranges that it touches.
func (r *arrived) insert(s span) {
	i := 0
	for i < len(r.behindGaps) && int32(r.behindGaps[i].to-s.from) < 0 {
		i++
	}
	j := i
	for j < len(r.behindGaps) && int32(r.behindGaps[j].from-s.to) <= 0 {
		if g := r.behindGaps[j]; int32(g.from-s.from) < 0 {
			s.from = g.from
		}
		if g := r.behindGaps[j]; int32(g.to-s.to) > 0 {
			s.to = g.to
		}
		j++
	}
	if i == j && len(r.behindGaps) >= maxGaps {
		return
	}
	r.behindGaps = slices.Replace(r.behindGaps, i, j, s)
}
