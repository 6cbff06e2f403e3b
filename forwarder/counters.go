package forwarder

import (
	"errors"
	"sync/atomic"

	"cherviltide.example/cherviltide/framer"
)

// Counters count datagrams since the start of the process.
type Counters struct {
	Forwarded     atomic.Uint64
	Replied       atomic.Uint64
	NoDestination atomic.Uint64 // The operating system did not tell the virtual address.
	NoService     atomic.Uint64 // No service has the virtual address.
	NoTarget      atomic.Uint64 // The service has no agent that takes new flows.
	SendFailed    atomic.Uint64
	BadTag        atomic.Uint64
	BadType       atomic.Uint64
	Malformed     atomic.Uint64 // Wrong length, version or hop count.
}

func (c *Counters) drop(err error) {
	switch {
	case errors.Is(err, framer.ErrTag):
		c.BadTag.Add(1)
	case errors.Is(err, framer.ErrType):
		c.BadType.Add(1)
	default:
		c.Malformed.Add(1)
	}
}
