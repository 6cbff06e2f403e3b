package shaper

import (
	"net/netip"

	"cherviltide.example/cherviltide"
)

const (
	// maxBacklog is the time that the packets which have left the entry may need on the link before further ones wait. It keeps the
	// link busy between two looks at the queue, and delays small packets by little.
	maxBacklog cherviltide.Millis = 5
	// maxCredit is the time for which the link may have been idle although packets waited, as when the process did not run, that
	// packets make up for. They then leave in a burst, which keeps the link busy until the process runs again. A process with a
	// share of a core may pause for most of 100 ms.
	maxCredit cherviltide.Millis = 100
	// maxQueueTime is the time that the link needs for a full queue. Callers retransmit after as long.
	maxQueueTime = firstRetransmission
	// maxQueueBytes bounds the memory of the queue of a fast link, in bytes.
	maxQueueBytes = 1 << 20
	// maxPacketAge is the time without a copy after which a packet other than an opening packet is dropped: its caller has given
	// up.
	maxPacketAge cherviltide.Millis = 1_600
	// urgentShare is the multiple of the bytes of upload data that urgent packets may send while upload data waits.
	urgentShare = 7
)

// DropReason is why a packet is dropped at the exit.
type DropReason uint8

// The reasons.
const (
	DropCopy DropReason = iota // A packet of the same flow and sequence number waits.
	DropFull                   // The queue is full.
	DropAge                    // The packet has waited for too long.
	dropReasonCount
)

// String returns the name of the reason.
func (r DropReason) String() string {
	return [...]string{"Copy", "Full", "Age"}[r]
}

// DropReasons returns all reasons.
func DropReasons() []DropReason { return []DropReason{DropCopy, DropFull, DropAge} }

// Drops are packets that were dropped, and their sizes in bytes.
type Drops struct{ Packets, Bytes uint64 }

// Outgoing is a packet that leaves the entry.
type Outgoing struct {
	Packet cherviltide.Packet
	Flow   cherviltide.FlowKey
	// Upload is true for packets of uploads.
	Upload bool
	// Datagram is the packet with the header of the entry. To is where it goes.
	Datagram []byte
	To       netip.AddrPort
}

// Exit decides in which order packets leave over a link. Opening packets, acknowledgements and small exchanges go before the data
// of uploads, and flows share the link equally (deficit round robin). Packets wait only while those that have left keep the link
// busy. It reads no clock and is not safe for concurrent use.
type Exit struct {
	config Config
	// separate is true when packets that arrive do not take the rate of the link.
	separate bool
	// perMilli is the rate of the link, in bytes a millisecond.
	perMilli float64
	// backlog is the number of bytes that have left the entry and that the link has not carried yet, at the time updatedAt. It is
	// negative when the link was idle although packets waited, and at least -idleCredit when none did.
	backlog   float64
	updatedAt cherviltide.Millis
	// idleCredit is the size of a packet that has arrived over a link that both directions share. Its time on the link was before
	// its arrival.
	idleCredit float64
	// urgent has the packets that go first, bulk those with data of uploads.
	urgent, bulk exitQueue
	// urgentBytes counts the bytes of urgent packets that have left since bulk data began to wait or last left.
	urgentBytes int
	drops       [dropReasonCount]Drops
}

// NewExit returns the exit of an idle link.
func NewExit(config Config) *Exit {
	e := &Exit{config: config, perMilli: float64(config.Rate) / 1000, urgent: newExitQueue(), bulk: newExitQueue()}
	e.setSeparate(config.Directions != DirectionsShared)
	e.backlog = -e.idleCredit
	return e
}

// setSeparate sets whether the link carries its rate in each direction.
func (e *Exit) setSeparate(separate bool) {
	e.separate, e.idleCredit = separate, 0
	if !separate {
		e.idleCredit = float64(e.config.MaxPayload + e.config.PacketHeader + datagramHeader)
	}
}

// Dropped returns the packets that were dropped for a reason.
func (e *Exit) Dropped(reason DropReason) Drops { return e.drops[reason] }

// Bytes returns the size of the packets that wait.
func (e *Exit) Bytes() int { return e.urgent.bytes + e.bulk.bytes }

// Backlog returns the size of the packets that wait, and of those that have left and are still on the link.
func (e *Exit) Backlog(now cherviltide.Millis) int {
	e.update(now)
	return e.Bytes() + max(int(e.backlog), 0)
}

// Arrive counts a packet that has arrived over a link that both directions share.
func (e *Exit) Arrive(now cherviltide.Millis, size int) {
	if !e.separate {
		e.update(now)
		e.backlog += float64(size + datagramHeader)
	}
}

// Pass reports whether a packet of a given size leaves at once, without a look at its content. Otherwise it is given to Add.
func (e *Exit) Pass(now cherviltide.Millis, size int) bool {
	e.update(now)
	if e.Bytes() > 0 || e.backlog > e.perMilli*float64(maxBacklog) {
		return false
	}
	e.backlog += float64(size + datagramHeader)
	return true
}

// update subtracts what the link has carried since the last update.
func (e *Exit) update(now cherviltide.Millis) {
	if now <= e.updatedAt {
		return
	}
	least := -e.idleCredit
	if e.Bytes() > 0 {
		least = min(least, -e.perMilli*float64(maxCredit))
	}
	e.backlog = max(e.backlog-e.perMilli*float64(now-e.updatedAt), min(e.backlog, least))
	e.updatedAt = now
}

// Add lets a packet wait. It copies the datagram.
func (e *Exit) Add(now cherviltide.Millis, p Outgoing) {
	queue := &e.urgent
	if p.Upload && e.keepsOrder(p) {
		queue = &e.bulk
	}
	if !p.Packet.OpensFlow() && p.Packet.Length > 0 && queue.renew(now, p) {
		e.drop(DropCopy, p)
		return
	}
	for e.Bytes()+len(p.Datagram) > e.maxBytes() {
		// Urgent packets take the place of upload data.
		if queue == &e.bulk || e.bulk.bytes == 0 {
			e.drop(DropFull, p)
			return
		}
		e.drop(DropFull, e.bulk.removeLongest())
	}
	p.Datagram = append([]byte(nil), p.Datagram...)
	queue.add(waitingPacket{Outgoing: p, since: now})
}

// keepsOrder reports whether a packet of an upload goes behind the data of its flow that waits: its data, and the end of the flow.
func (e *Exit) keepsOrder(p Outgoing) bool {
	if p.Packet.OpensFlow() || p.Packet.Has(cherviltide.PacketReset) {
		return false
	}
	return p.Packet.Length > 0 || p.Packet.Has(cherviltide.PacketFinish)
}

func (e *Exit) maxBytes() int {
	return min(max(int(e.perMilli*float64(maxQueueTime)), windowPackets*quantum), maxQueueBytes)
}

func (e *Exit) drop(reason DropReason, p Outgoing) {
	e.drops[reason].Packets++
	e.drops[reason].Bytes += uint64(len(p.Datagram))
}

// Next returns the next packet that leaves now, and false when none waits or the link is busy.
func (e *Exit) Next(now cherviltide.Millis) (Outgoing, bool) {
	e.update(now)
	for e.Bytes() > 0 && e.backlog <= e.perMilli*float64(maxBacklog) {
		p := e.take()
		if now-p.since > maxPacketAge && !p.Packet.OpensFlow() {
			e.drop(DropAge, p.Outgoing)
			continue
		}
		e.backlog += float64(len(p.Datagram) + datagramHeader)
		return p.Outgoing, true
	}
	return Outgoing{}, false
}

// Wait returns the time until Next may return a packet, and false when none waits.
func (e *Exit) Wait(now cherviltide.Millis) (cherviltide.Millis, bool) {
	if e.Bytes() == 0 {
		return 0, false
	}
	e.update(now)
	return max(cherviltide.Millis(e.backlog/e.perMilli)-maxBacklog+1, 0), true
}

// take removes the packet whose turn it is. Upload data gets a share of the link even if urgent packets alone would fill it.
func (e *Exit) take() waitingPacket {
	if e.urgent.bytes == 0 || (e.bulk.bytes > 0 && e.urgentBytes >= urgentShare*quantum) {
		e.urgentBytes = 0
		return e.bulk.take()
	}
	p := e.urgent.take()
	if e.bulk.bytes > 0 {
		e.urgentBytes += len(p.Datagram)
	}
	return p
}
