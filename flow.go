package cherviltide

import (
	"net/netip"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// ServiceID identifies a service on the wire. It is the low 32 bits of the hash of the service's name; rules with two
// services of the same ID are rejected.
type ServiceID uint32

// ServiceIDOf returns the ID of the service with the given name.
func ServiceIDOf(name string) ServiceID {
	return ServiceID(uint32(xxhash.Sum64String(name)))
}

// FlowKey identifies a flow: all packets from one caller address and port to one virtual address and port.
type FlowKey struct {
	Caller  netip.AddrPort
	Virtual netip.AddrPort
}

// ID returns a short identifier of the flow for the logs of all processes. It is not unique in time: a caller that reuses a
// port opens another flow with the same ID.
func (k FlowKey) ID() string {
	return strconv.FormatUint(k.Hash(), 16)
}

// Hash returns a 64-bit hash of the key that is the same in every process.
func (k FlowKey) Hash() uint64 {
	var b [36]byte
	caller := k.Caller.Addr().As16()
	virtual := k.Virtual.Addr().As16()
	copy(b[0:16], caller[:])
	b[16], b[17] = byte(k.Caller.Port()>>8), byte(k.Caller.Port())
	copy(b[18:34], virtual[:])
	b[34], b[35] = byte(k.Virtual.Port()>>8), byte(k.Virtual.Port())
	return xxhash.Sum64(b[:])
}
