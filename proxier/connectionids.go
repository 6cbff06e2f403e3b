package proxier

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/quic-go/quic-go"

	"cherviltide.example/cherviltide/holder"
)

// connectionIDs generates connection IDs that start with the agent's tag, so that every agent of the service knows where
// a datagram belongs.
type connectionIDs struct {
	tag uint32
}

// GenerateConnectionID returns a new connection ID.
func (c connectionIDs) GenerateConnectionID() (quic.ConnectionID, error) {
	var id [holder.ConnectionIDLength]byte
	binary.BigEndian.PutUint32(id[:], c.tag)
	if _, err := rand.Read(id[holder.TagLength:]); err != nil {
		return quic.ConnectionID{}, err
	}
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen returns the length of the connection IDs in bytes.
func (connectionIDs) ConnectionIDLen() int {
	return holder.ConnectionIDLength
}
