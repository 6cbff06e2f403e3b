package holder

import "encoding/binary"

// Parts of the first byte of a QUIC packet (RFC 9000, section 17.2).
const (
	quicLongHeader = 0x80
	quicTypeMask   = 0x30
	quicVersion2   = 0x6b3343cf
	quicInitialV1  = 0x00
	quicInitialV2  = 0x10
	// quicVersionEnd is the length of the first byte and the version.
	quicVersionEnd = 5
)

// opening reports whether a datagram starts with a QUIC Initial packet, which can open a flow.
func opening(datagram []byte) bool {
	if len(datagram) < quicVersionEnd || datagram[0]&quicLongHeader == 0 {
		return false
	}
	kind := datagram[0] & quicTypeMask
	switch binary.BigEndian.Uint32(datagram[1:quicVersionEnd]) {
	case 0:
		return false
	case quicVersion2:
		return kind == quicInitialV2
	default:
		return kind == quicInitialV1
	}
}
