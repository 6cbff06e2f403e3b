package forwarder

import (
	"errors"
	"sync/atomic"

	"cherviltide.example/cherviltide/framer"
)

// Reason is why a datagram was dropped.
type Reason int

// The reasons for drops.
const (
	ReasonNoDestination Reason = iota // The control messages have no destination address.
	ReasonNoService                   // No service has the virtual address.
	ReasonNoTarget                    // The service has no live agent.
	ReasonEmpty                       // The datagram has no payload.
	ReasonTooLong                     // The datagram and its header exceed the largest UDP payload.
	ReasonLooped                      // The caller's address is the entry's own or a virtual one, or has port 0, or the hop limit is exceeded.
	ReasonShort                       // An agent's datagram is shorter than the header.
	ReasonVersion                     // The header version is not supported.
	ReasonTag                         // The authentication tag does not match: the sender has another key or none.
	ReasonType                        // The datagram is not a reply, or its flags are invalid.
	ReasonLength                      // The payload length does not match.
	ReasonWrongService                // The reply's service is not the one behind its virtual address.
	ReasonAddress                     // An address of the datagram is not IPv4.
	ReasonSendFailed                  // The operating system refused to send the datagram.
	ReasonMalformed                   // The packet cannot be decoded, or is one that a target returned.
	ReasonNoRoute                     // No route has the virtual address.
	ReasonNoHolder                    // The agents of all services that may hold the flow returned the packet.
	reasonCount
)

var reasonNames = [reasonCount]string{
	"NoDestination", "NoService", "NoTarget", "Empty", "TooLong", "Looped", "Short", "Version", "Tag", "Type", "Length",
	"WrongService", "Address", "SendFailed", "Malformed", "NoRoute", "NoHolder",
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, reasonCount)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// String returns the name of the reason.
func (r Reason) String() string {
	if r < 0 || r >= reasonCount {
		return "Unknown"
	}
	return reasonNames[r]
}

// Counters count datagrams since the start of the process. They are safe for concurrent use.
type Counters struct {
	// Forwarded counts datagrams sent to agents, Replied those sent to callers.
	Forwarded, Replied atomic.Uint64
	dropped            [reasonCount]atomic.Uint64
	// sendError is the error number of the last failed send.
	sendError atomic.Int64
}

// Dropped returns the number of datagrams dropped for a reason.
func (c *Counters) Dropped(r Reason) uint64 {
	return c.dropped[r].Load()
}

func (c *Counters) countDrop(r Reason) {
	c.dropped[r].Add(1)
}

// countBatch adds the result of the last flush of a sender to the total of its direction.
func (c *Counters) countBatch(total *atomic.Uint64, s *sender) {
	total.Add(uint64(s.sent))
	if s.failed > 0 {
		c.dropped[ReasonSendFailed].Add(uint64(s.failed))
		c.sendError.Store(int64(s.lastError))
	}
}

// reasonForDecodeError returns the drop reason for an error of Framer.Decode.
func reasonForDecodeError(err error) Reason {
	switch {
	case errors.Is(err, framer.ErrTag):
		return ReasonTag
	case errors.Is(err, framer.ErrShort):
		return ReasonShort
	case errors.Is(err, framer.ErrVersion):
		return ReasonVersion
	case errors.Is(err, framer.ErrLength):
		return ReasonLength
	case errors.Is(err, framer.ErrHops):
		return ReasonLooped
	}
	return ReasonType
}
