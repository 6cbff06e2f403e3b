package framer

import (
	"encoding/binary"

	"github.com/dchest/siphash"
)

// Sizes of the short header of probes and echoes, in bytes.
const (
	ReachHeaderSize        = 17
	authenticatedReachSize = ReachHeaderSize - 8
	// MaxReachPayload keeps a datagram with this header shorter than HeaderSize, so that Decode tells them apart by size.
	MaxReachPayload = HeaderSize - ReachHeaderSize - 1
)

// Types of probes and echoes with the short header. Earlier versions drop them because of their size.
const (
	typeShortProbe Type = 6
	typeShortEcho  Type = 7
)

// PositionShortReach says that the sender of a probe or an echo knows the short header. Earlier versions ignore it.
const PositionShortReach uint8 = 1

// AppendReach appends a probe or an echo with the short header, which has its type and generation only, and its payload of at most
// MaxReachPayload bytes. The authentication tag covers all of it.
func (f Framer) AppendReach(b []byte, h Header, payload []byte) []byte {
	kind := typeShortProbe
	if h.Type == TypeReachEcho {
		kind = typeShortEcho
	}
	start := len(b)
	b = append(b, Version<<4|byte(kind))
	b = binary.BigEndian.AppendUint64(b, h.Generation)
	b = binary.BigEndian.AppendUint64(b, f.reachTag(b[start:], payload))
	return append(b, payload...)
}

// decodeReach decodes a datagram that is shorter than the full header.
func (f Framer) decodeReach(b []byte) (Header, []byte, error) {
	if len(b) < ReachHeaderSize {
		return Header{}, nil, ErrShort
	}
	h := Header{Generation: binary.BigEndian.Uint64(b[1:]), Position: PositionShortReach}
	switch b[0] {
	case Version<<4 | byte(typeShortProbe):
		h.Type = TypeReachProbe
	case Version<<4 | byte(typeShortEcho):
		h.Type = TypeReachEcho
	default:
		return Header{}, nil, ErrShort
	}
	payload := b[ReachHeaderSize:]
	if binary.BigEndian.Uint64(b[authenticatedReachSize:]) != f.reachTag(b[:authenticatedReachSize], payload) {
		return Header{}, nil, ErrTag
	}
	return h, payload, nil
}

// reachTag returns the authentication tag of a short header and the payload after it.
func (f Framer) reachTag(header, payload []byte) uint64 {
	var covered [authenticatedReachSize + MaxReachPayload]byte
	n := copy(covered[:], header)
	n += copy(covered[n:], payload)
	return siphash.Hash(f.k0, f.k1, covered[:n])
}
