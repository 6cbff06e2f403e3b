package loader

import "crypto/sha256"

// resetKeyLabel makes the stateless reset key different from other keys that are derived from the packet key.
const resetKeyLabel = "cherviltide stateless reset"

// StatelessResetKey derives the key of QUIC stateless resets from the packet key.
func StatelessResetKey(packetKey [16]byte) [32]byte {
	return sha256.Sum256(append([]byte(resetKeyLabel), packetKey[:]...))
}
