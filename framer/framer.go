// Package framer encodes, authenticates and decodes the header of datagrams between entries and agents. The header has
// HeaderSize bytes and precedes the caller's datagram. All integers are big endian.
package framer

import (
	"encoding/binary"
	"errors"
	"net/netip"

	"github.com/dchest/siphash"

	"cherviltide.example/cherviltide"
)

// Sizes of the header, in bytes.
const (
	HeaderSize        = 98
	authenticatedSize = HeaderSize - 8
)

// Version is the only header version that is accepted.
const Version = 1

// MaxHops is how many times agents may forward one datagram.
const MaxHops = 250

// Type is the direction of a datagram.
type Type uint8

// The types of datagrams.
const (
	TypeForward Type = 1 // From the caller to the target.
	TypeReply   Type = 2 // From the target to the caller.
	// TypeReachProbe asks an agent for an echo, TypeReachEcho is the echo with the same generation, which numbers the probe. They
	// show which failure domains can be reached. Earlier versions drop them as an unknown type.
	TypeReachProbe Type = 3
	TypeReachEcho  Type = 4
)

// Positions of a forwarded datagram without a flag. Earlier versions ignore them.
const (
	// PositionOwnerClosed says that the failure domain of the flow's owner is closed for the entry, which has sent the datagram to
	// an agent in another domain instead, and a later packet of a flow also to the owner.
	PositionOwnerClosed uint8 = 1
	// PositionDetour says that another agent, for which the failure domain of a possible holder is closed, has sent the
	// datagram. It makes no second detour.
	PositionDetour uint8 = 2
)

// Flags say how far the search for the agent that holds a flow has come.
type Flags uint8

// The flags of a forwarded datagram. At most one is set.
const (
	FlagProbe        Flags = 1 << iota // The sender asks a candidate whether it holds the flow.
	FlagReturned                       // The candidate does not hold the flow.
	FlagOffered                        // The sender asks another agent to open the flow.
	FlagDeclined                       // The agent did not accept the offer.
	FlagStaleTable                     // The returning agent's table is older than that of the receiver, which decides.
	FlagHolderNotice                   // A notice that an agent holds the flow, and those in the payload.
	FlagTagged                         // The connection ID has the agent tag of the receiver.
)

// Errors of Decode. They are variables without details so that the packet path does not allocate.
var (
	ErrShort   = errors.New("datagram is shorter than the header")
	ErrVersion = errors.New("header version is not supported")
	ErrType    = errors.New("datagram type is not known")
	ErrLength  = errors.New("payload length does not match the datagram")
	ErrFlags   = errors.New("more than one flag or an unknown flag is set")
	ErrHops    = errors.New("hop limit exceeded")
	ErrTag     = errors.New("authentication tag does not match")
)

// Header is the header of a datagram between an entry and an agent or between two agents.
type Header struct {
	Type Type
	// Position is the index of the probed agent in the candidate list of the sender. In offers of relayed flows it has
	// the state of the offer. Without a flag it is one of the positions above.
	Position   uint8
	Hops       uint8
	Flags      Flags
	Service    cherviltide.ServiceID
	Generation uint64
	Flow       cherviltide.FlowKey
	// Entry is the address of the entry that took the datagram from the caller. Replies are sent there, and so are
	// relayed packets that no agent of the service can take.
	Entry netip.AddrPort
	// Revision is the configuration revision that the entry used; 0 means that the entry did not set it.
	Revision uint64
	// RouteRevision is the revision that last changed the shares of the route, as the entry knows it.
	RouteRevision uint64
	// ServiceIndex is the index of the service that the entry tries; ServiceCount services may hold the relayed flow.
	ServiceIndex, ServiceCount uint8
}

// Framer encodes and decodes headers with the shared key. It is immutable and safe for concurrent use.
type Framer struct {
	k0, k1 uint64
}

// New returns a framer with a key of 16 bytes.
func New(key [16]byte) Framer {
	return Framer{k0: binary.LittleEndian.Uint64(key[:8]), k1: binary.LittleEndian.Uint64(key[8:])}
}

// Encode writes the header for a payload of the given length into b, which must have at least HeaderSize bytes.
func (f Framer) Encode(b []byte, h Header, length int) {
	_ = b[HeaderSize-1]
	b[0] = Version<<4 | byte(h.Type)
	b[1] = h.Position
	b[2] = h.Hops
	b[3] = byte(h.Flags)
	binary.BigEndian.PutUint32(b[4:], uint32(h.Service))
	binary.BigEndian.PutUint64(b[8:], h.Generation)
	putAddrPort(b[16:], h.Flow.Caller)
	putAddrPort(b[34:], h.Flow.Virtual)
	putAddrPort(b[52:], h.Entry)
	binary.BigEndian.PutUint16(b[70:], uint16(length))
	binary.BigEndian.PutUint64(b[72:], h.Revision)
	binary.BigEndian.PutUint64(b[80:], h.RouteRevision)
	b[88], b[89] = h.ServiceIndex, h.ServiceCount
	binary.BigEndian.PutUint64(b[authenticatedSize:], siphash.Hash(f.k0, f.k1, b[:authenticatedSize]))
}

// Decode checks a datagram with the full header, or a probe or an echo with the short one, and returns its header and its payload,
// which shares memory with b.
func (f Framer) Decode(b []byte) (Header, []byte, error) {
	if len(b) < HeaderSize {
		return f.decodeReach(b)
	}
	if b[0]>>4 != Version {
		return Header{}, nil, ErrVersion
	}
	if binary.BigEndian.Uint64(b[authenticatedSize:]) != siphash.Hash(f.k0, f.k1, b[:authenticatedSize]) {
		return Header{}, nil, ErrTag
	}
	if int(binary.BigEndian.Uint16(b[70:])) != len(b)-HeaderSize {
		return Header{}, nil, ErrLength
	}
	h := Header{
		Type:          Type(b[0] & 0x0f),
		Position:      b[1],
		Hops:          b[2],
		Flags:         Flags(b[3]),
		Service:       cherviltide.ServiceID(binary.BigEndian.Uint32(b[4:])),
		Generation:    binary.BigEndian.Uint64(b[8:]),
		Flow:          cherviltide.FlowKey{Caller: addrPort(b[16:]), Virtual: addrPort(b[34:])},
		Entry:         addrPort(b[52:]),
		Revision:      binary.BigEndian.Uint64(b[72:]),
		RouteRevision: binary.BigEndian.Uint64(b[80:]),
		ServiceIndex:  b[88],
		ServiceCount:  b[89],
	}
	if h.Type < TypeForward || h.Type > TypeReachEcho {
		return Header{}, nil, ErrType
	}
	if h.Flags&(h.Flags-1) != 0 || h.Flags > FlagTagged {
		return Header{}, nil, ErrFlags
	}
	if h.Hops > MaxHops {
		return Header{}, nil, ErrHops
	}
	return h, b[HeaderSize:], nil
}

// flowKeySize is the size of an encoded flow key, in bytes.
const flowKeySize = 36

// MaxFlowKeys is the highest number of flow keys in a payload, so that a datagram fits an Ethernet frame.
const MaxFlowKeys = 30

// ErrFlowKeys means that a payload is not a list of flow keys.
var ErrFlowKeys = errors.New("payload is not a list of flow keys")

// AppendFlowKeys appends the encoding of flow keys to b.
func AppendFlowKeys(b []byte, keys []cherviltide.FlowKey) []byte {
	for _, key := range keys {
		var encoded [flowKeySize]byte
		putAddrPort(encoded[:], key.Caller)
		putAddrPort(encoded[flowKeySize/2:], key.Virtual)
		b = append(b, encoded[:]...)
	}
	return b
}

// DecodeFlowKeys decodes a payload of flow keys.
func DecodeFlowKeys(b []byte) ([]cherviltide.FlowKey, error) {
	if len(b)%flowKeySize != 0 || len(b) > MaxFlowKeys*flowKeySize {
		return nil, ErrFlowKeys
	}
	var keys []cherviltide.FlowKey
	for ; len(b) > 0; b = b[flowKeySize:] {
		keys = append(keys, cherviltide.FlowKey{Caller: addrPort(b), Virtual: addrPort(b[flowKeySize/2:])})
	}
	return keys, nil
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

func addrPort(b []byte) netip.AddrPort {
	ip := netip.AddrFrom16([16]byte(b[:16])).Unmap()
	return netip.AddrPortFrom(ip, binary.BigEndian.Uint16(b[16:]))
}
