package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flags of a packet.
const (
	flagSyn      = 64
	flagAck      = 128
	flagFin      = 32
	flagRst      = 2
	flagReturned = 16
)

// headerLength is the size of a packet header, in bytes.
const headerLength = 36

// packet is a packet between clients and targets.
type packet struct {
	Source, Destination netip.AddrPort
	Flags               byte
	Sequence, Ack, Echo uint32
	Data                []byte
}

// encode returns the wire format of the packet.
func (p packet) encode() []byte {
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

// decodePacket parses a packet and reports whether its length and its sum are right. A reset of the system has no sum.
func decodePacket(b []byte) (packet, bool) {
	if len(b) < headerLength || int(binary.BigEndian.Uint16(b[4:])) != len(b)-headerLength {
		return packet{}, false
	}
	p := packet{
		Source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[8:12])), binary.BigEndian.Uint16(b[6:])),
		Destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[12:16])), binary.BigEndian.Uint16(b[16:])),
		Flags:       b[22], Sequence: binary.BigEndian.Uint32(b[28:]), Ack: binary.BigEndian.Uint32(b[32:]),
		Echo: binary.BigEndian.Uint32(b), Data: append([]byte(nil), b[headerLength:]...),
	}
	sum := binary.BigEndian.Uint32(b[18:])
	return p, sum == checksum(b) || (p.Flags == flagRst && sum == 0)
}

// checksum stands for the platform's keyed sum: it covers all fields but echo, pad and BOUNCED.
func checksum(b []byte) uint32 {
	c := append([]byte(nil), b...)
	clear(c[0:4])
	clear(c[18:22])
	c[22] &^= flagReturned
	clear(c[23:28])
	return crc32.ChecksumIEEE(c)
}
