package loader

import "crypto/sha256"

// resetLabel separates the stateless reset key from other uses of the packet key.
const resetLabel = "cherviltide stateless reset"

// ResetKey returns the key of stateless resets that belongs to a packet key.
func ResetKey(packet [16]byte) [32]byte {
	return sha256.Sum256(append([]byte(resetLabel), packet[:]...))
}
