package holder

import "encoding/binary"

// Fields of the long header of a QUIC packet (RFC 9000, section 17.2).
const (
	quicLongHeader = 0x80
	quicTypeMask   = 0x30
	quicVersion2   = 0x6b3343cf
	quicInitialV1  = 0x00
	quicInitialV2  = 0x10
	// quicVersionEnd is the offset of the first byte after the version field.
	quicVersionEnd = 5
)

// isInitial reports whether a datagram starts with a QUIC Initial packet, which can open a flow.
func isInitial(datagram []byte) bool {
	if len(datagram) < quicVersionEnd || datagram[0]&quicLongHeader == 0 {
		return false
	}
	packetType := datagram[0] & quicTypeMask
	switch binary.BigEndian.Uint32(datagram[1:quicVersionEnd]) {
	case 0:
		return false
	case quicVersion2:
		return packetType == quicInitialV2
	default:
		return packetType == quicInitialV1
	}
}
