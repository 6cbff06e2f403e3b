package proxier

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/quic-go/quic-go"

	"cherviltide.example/cherviltide/holder"
)

// connectionIDGenerator generates connection IDs that start with the agent tag, so that every agent of the service
// knows which agent a datagram belongs to.
type connectionIDGenerator struct {
	prefix uint32
}

// GenerateConnectionID returns a new connection ID.
func (c connectionIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	var id [holder.ConnectionIDLength]byte
	binary.BigEndian.PutUint32(id[:], c.prefix)
	if _, err := rand.Read(id[holder.TagLength:]); err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of the connection IDs in bytes.
func (connectionIDGenerator) ConnectionIDLen() int {
	return holder.ConnectionIDLength
}
