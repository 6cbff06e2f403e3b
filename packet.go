package cherviltide

import "net/netip"

// PacketFlags is the set of flags of a packet of a relayed flow.
type PacketFlags uint8

// The flags of a packet.
const (
	PacketOpen     PacketFlags = 1 << iota // Opens a flow (SYN).
	PacketAck                              // Acknowledgement is valid.
	PacketFinish                           // The sender sends no more data (FIN).
	PacketReset                            // The flow has ended abnormally (RST).
	PacketReturned                         // The target returned a packet of a flow that it neither holds nor accepts.
)

// Packet is the header of a packet of a relayed flow: a flow that agents forward without terminating it.
type Packet struct {
	// Source and Destination are the endpoints of the flow in the direction of the packet. A returned packet has those of the
	// packet that the target received.
	Source, Destination netip.AddrPort
	Flags               PacketFlags
	// Sequence and Acknowledgement count bytes, modulo 2^32.
	Sequence, Acknowledgement uint32
	// Retransmission is the number of the retransmission of a packet that opens a flow; 0 for the first transmission.
	Retransmission uint32
	// Length is the number of payload bytes.
	Length int
	// Token is the value that the agent wrote with SetToken. A returned packet contains it.
	Token uint32
}

// Has reports whether all the given flags are set.
func (p Packet) Has(flags PacketFlags) bool {
	return p.Flags&flags == flags
}

// OpensFlow reports whether the packet is a caller's first packet of a flow, or a retransmission of it.
func (p Packet) OpensFlow() bool {
	return p.Flags&(PacketOpen|PacketAck|PacketReset|PacketFinish) == PacketOpen
}

// PacketCodec reads and modifies packets of relayed flows in the format of the network that the system runs on.
type PacketCodec interface {
	// Decode returns the header of a packet. It does not allocate.
	Decode(packet []byte) (Packet, error)
	// SetToken writes a token into the packet, which the packet still contains if the target returns it.
	SetToken(packet []byte, token uint32)
	// Restore turns a returned packet back into the packet that the caller sent.
	Restore(packet []byte)
	// AppendReset appends a reset packet for the caller of a flow to dst.
	AppendReset(dst []byte, flow FlowKey, sequence uint32) []byte
}
