// Package relaypath simulates the surroundings of the programs on the operators' platform: callers, targets and the router
// in front of the entries. They exchange the platform's packets and heartbeats over loopback addresses.
package relaypath

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet, which may be combined.
const (
	Syn      = 64
	Ack      = 128
	Fin      = 32
	Rst      = 2
	Returned = 16
)

// headerLength is the size of a packet header, in bytes.
const headerLength = 36

// Packet is a packet of the platform: header fields and payload.
type Packet struct {
	Source, Destination netip.AddrPort
	Flags               byte
	Sequence, Ack       uint32
	Echo                uint32
	Data                []byte
}

// Encode returns the wire format of the packet. The checksum covers the bytes that no hop may change.
func (p Packet) Encode() []byte {
	b := make([]byte, headerLength, headerLength+len(p.Data))
	source, destination := p.Source.Addr().As4(), p.Destination.Addr().As4()
	binary.BigEndian.PutUint32(b, p.Echo)
	binary.BigEndian.PutUint16(b[4:], uint16(len(p.Data)))
	binary.BigEndian.PutUint16(b[6:], p.Source.Port())
	copy(b[8:], source[:])
	copy(b[12:], destination[:])
	binary.BigEndian.PutUint16(b[16:], p.Destination.Port())
	b[22] = p.Flags
	binary.BigEndian.PutUint32(b[28:], p.Sequence)
	binary.BigEndian.PutUint32(b[32:], p.Ack)
	b = append(b, p.Data...)
	binary.BigEndian.PutUint32(b[18:], checksum(b))
	return b
}

// Decode parses a packet and reports whether it is valid: of the right length and with a correct checksum. A reset without
// a checksum is valid too.
func Decode(b []byte) (Packet, bool) {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headerLength {
		return Packet{}, false
	}
	p := Packet{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[6:])),
		Destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[16:])),
		Flags:       b[22], Sequence: binary.BigEndian.Uint32(b[28:]), Ack: binary.BigEndian.Uint32(b[32:]),
		Echo: binary.BigEndian.Uint32(b), Data: append([]byte(nil), b[headerLength:]...),
	}
	return p, binary.BigEndian.Uint32(b[18:]) == checksum(b) || (p.Flags == Rst && binary.BigEndian.Uint32(b[18:]) == 0)
}

// checksum replaces the platform's keyed checksum by a CRC over the bytes that no hop may change.
func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[0:4])
	clear(c[18:22])
	c[22] &^= Returned
	clear(c[23:28])
	return crc32.ChecksumIEEE(c)
}
