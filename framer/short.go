package framer

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/dchest/siphash"

	"cherviltide.example/cherviltide"
)

// Sizes of the short header, in bytes.
const (
	ShortHeaderSize        = 15
	authenticatedShortSize = ShortHeaderSize - 8
)

// typeShort marks the short header. Processes that do not know it drop the datagram because of its type.
const typeShort Type = 5

// ErrNotShort means that a datagram does not have the short header.
var ErrNotShort = errors.New("datagram does not have the short header")

// HasShortForm reports whether the short header carries all of a header that a receiver needs. It does for a packet of an open
// flow that an entry sends to the first agent: the receiver reads the flow from the packet and knows the entry as the sender.
func (h Header) HasShortForm() bool {
	return h.Type == TypeForward && h.Flags == 0 && h.Position == 0 && h.Hops == 0
}

// EncodeShort writes the short form of a header for a payload of the given length into b, which must have at least
// ShortHeaderSize bytes. The authentication tag also covers the flow and the length, which are not in the header.
func (f Framer) EncodeShort(b []byte, h Header, length int) {
	_ = b[ShortHeaderSize-1]
	b[0] = Version<<4 | byte(typeShort)
	b[1], b[2] = h.ServiceIndex, h.ServiceCount
	binary.BigEndian.PutUint32(b[3:], uint32(h.Service))
	binary.BigEndian.PutUint64(b[authenticatedShortSize:], f.shortTag(b, h.Flow, length))
}

// ShortPayload returns the payload of a datagram with the short header, without checking its tag, and false for another
// datagram. It shares memory with b.
func ShortPayload(b []byte) ([]byte, bool) {
	if len(b) < ShortHeaderSize || b[0] != Version<<4|byte(typeShort) {
		return nil, false
	}
	return b[ShortHeaderSize:], true
}

// DecodeShort checks a datagram with the short header and returns its header. flow is the flow of the packet in its payload,
// entry the sender of the datagram.
func (f Framer) DecodeShort(b []byte, flow cherviltide.FlowKey, entry netip.AddrPort) (Header, error) {
	payload, ok := ShortPayload(b)
	if !ok {
		return Header{}, ErrNotShort
	}
	if binary.BigEndian.Uint64(b[authenticatedShortSize:]) != f.shortTag(b, flow, len(payload)) {
		return Header{}, ErrTag
	}
	return Header{
		Type: TypeForward, Service: cherviltide.ServiceID(binary.BigEndian.Uint32(b[3:])), Flow: flow, Entry: entry,
		ServiceIndex: b[1], ServiceCount: b[2],
	}, nil
}

// shortTag returns the authentication tag of a short header.
func (f Framer) shortTag(b []byte, flow cherviltide.FlowKey, length int) uint64 {
	var covered [authenticatedShortSize + flowKeySize + 2]byte
	copy(covered[:], b[:authenticatedShortSize])
	putAddrPort(covered[authenticatedShortSize:], flow.Caller)
	putAddrPort(covered[authenticatedShortSize+flowKeySize/2:], flow.Virtual)
	binary.BigEndian.PutUint16(covered[authenticatedShortSize+flowKeySize:], uint16(length))
	return siphash.Hash(f.k0, f.k1, covered[:])
}
