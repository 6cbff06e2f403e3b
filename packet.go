package cherviltide

import "net/netip"

// PacketFlags tell what a packet of a relayed flow is for.
type PacketFlags uint8

// The flags of a packet.
const (
	PacketOpen     PacketFlags = 1 << iota // Opens a flow (SYN).
	PacketAck                              // Acknowledgement is valid.
	PacketFinish                           // The sender sends no more data (FIN).
	PacketReset                            // The flow has ended abnormally (RST).
	PacketReturned                         // The target returned a packet of a flow that it does not hold or take.
)

// Packet is the head of a packet of a flow that agents relay without terminating it.
type Packet struct {
	// Source and Destination are the ends of the flow in the direction of the packet. A returned packet keeps those of
	// the packet that the target received.
	Source, Destination netip.AddrPort
	Flags               PacketFlags
	// Sequence and Acknowledgement count bytes, modulo 2^32.
	Sequence, Acknowledgement uint32
	// Copy counts the copies of a packet that opens a flow: 0 for the first one.
	Copy uint32
	// Length is the number of payload bytes.
	Length int
	// Token is what the agent wrote with SetToken; a returned packet carries it back.
	Token uint32
}

// Has reports whether all the given flags are set.
func (p Packet) Has(flags PacketFlags) bool {
	return p.Flags&flags == flags
}

// OpensFlow reports whether the packet is a caller's first packet of a flow, or a copy of it.
func (p Packet) OpensFlow() bool {
	return p.Flags&(PacketOpen|PacketAck|PacketReset|PacketFinish) == PacketOpen
}

// PacketCodec reads and changes packets of relayed flows in the format of the network that the system runs on.
type PacketCodec interface {
	// Decode returns the head of a packet. It does not allocate.
	Decode(packet []byte) (Packet, error)
	// SetToken writes a token that comes back if the target returns the packet.
	SetToken(packet []byte, token uint32)
	// Restore turns a returned packet into the packet that the caller sent.
	Restore(packet []byte)
	// AppendReset appends a packet that tells the caller of a flow that the flow has ended.
	AppendReset(dst []byte, flow FlowKey, sequence uint32) []byte
}
