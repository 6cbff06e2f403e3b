package forwarder

import (
	"errors"
	"sync/atomic"

	"cherviltide.example/cherviltide/framer"
)

// Reason tells why a datagram was dropped.
type Reason int

// The reasons for drops.
const (
	NoDestination Reason = iota // The operating system did not tell the virtual address.
	NoService                   // No service has the virtual address.
	NoTarget                    // The service has no live agent.
	Empty                       // A datagram without payload.
	TooLong                     // The datagram and its header exceed the largest UDP payload.
	Looped                      // The caller's address is the entry's or a virtual one, or the hop limit is exceeded.
	Short                       // An agent's datagram is shorter than the header.
	Version                     // The header version is not supported.
	Tag                         // The authentication tag does not match: the sender has another key or none.
	Type                        // The datagram is not a reply, or its flags are invalid.
	Length                      // The payload length does not match.
	WrongService                // The reply's service is not the one behind its virtual address.
	Address                     // An address of the datagram is not IPv4.
	SendFailed                  // The operating system refused to send the datagram.
	Malformed                   // A caller's packet cannot be read, or does not come from a caller.
	NoRoute                     // No route has the virtual address.
	NoHolder                    // No service that may hold the flow has an agent that does.
	reasons
)

var reasonNames = [reasons]string{
	"NoDestination", "NoService", "NoTarget", "Empty", "TooLong", "Looped", "Short", "Version", "Tag", "Type", "Length",
	"WrongService", "Address", "SendFailed", "Malformed", "NoRoute", "NoHolder",
}

// Reasons returns all reasons.
func Reasons() []Reason {
	list := make([]Reason, reasons)
	for i := range list {
		list[i] = Reason(i)
	}
	return list
}

// String returns the name of the reason.
func (r Reason) String() string {
	if r < 0 || r >= reasons {
		return "Unknown"
	}
	return reasonNames[r]
}

// Counters count datagrams since the start of the process. They are safe for concurrent use.
type Counters struct {
	// Forwarded datagrams went to agents, Replied ones to callers.
	Forwarded, Replied atomic.Uint64
	dropped            [reasons]atomic.Uint64
	// sendError is the last error number of a failed send.
	sendError atomic.Int64
}

// Dropped returns the number of datagrams dropped for a reason.
func (c *Counters) Dropped(r Reason) uint64 {
	return c.dropped[r].Load()
}

func (c *Counters) drop(r Reason) {
	c.dropped[r].Add(1)
}

// sent counts the result of a batch of sends in one direction.
func (c *Counters) sent(good *atomic.Uint64, s *sender) {
	good.Add(uint64(s.good))
	if s.failed > 0 {
		c.dropped[SendFailed].Add(uint64(s.failed))
		c.sendError.Store(int64(s.lastError))
	}
}

// reasonOf returns the reason for a datagram that the framer refuses.
func reasonOf(err error) Reason {
	switch {
	case errors.Is(err, framer.ErrTag):
		return Tag
	case errors.Is(err, framer.ErrShort):
		return Short
	case errors.Is(err, framer.ErrVersion):
		return Version
	case errors.Is(err, framer.ErrLength):
		return Length
	case errors.Is(err, framer.ErrHops):
		return Looped
	}
	return Type
}
