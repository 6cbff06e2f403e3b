package cherviltide

import (
	"fmt"
	"math"
	"math/big"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// EditNumber is the operator's own number of a file, for operators that number their files. The zero value is that of a file
// without a number. Each number of 64 bits is a valid one.
type EditNumber struct {
	value uint64
	isSet bool
}

// NewEditNumber returns the number of a numbered file.
func NewEditNumber(value uint64) EditNumber {
	return EditNumber{value: value, isSet: true}
}

// Value returns the number, and false for a file without one.
func (n EditNumber) Value() (uint64, bool) {
	return n.value, n.isSet
}

// IsSet reports whether the file has a number.
func (n EditNumber) IsSet() bool {
	return n.isSet
}

// IsAbove reports whether the file has a number and takes effect after a file with the other number, which may have none.
func (n EditNumber) IsAbove(other EditNumber) bool {
	return n.isSet && (!other.isSet || n.value > other.value)
}

// String returns the number in decimal digits, or "none".
func (n EditNumber) String() string {
	if !n.isSet {
		return "none"
	}
	return strconv.FormatUint(n.value, 10)
}

// MarshalCBOR encodes the number plus 1, as an integer that may have more than 64 bits, and 0 if there is none.
func (n EditNumber) MarshalCBOR() ([]byte, error) {
	switch {
	case !n.isSet:
		return cbor.Marshal(uint64(0))
	case n.value < math.MaxUint64:
		return cbor.Marshal(n.value + 1)
	}
	encoded := new(big.Int).SetUint64(n.value)
	return cbor.Marshal(encoded.Add(encoded, big.NewInt(1)))
}

// UnmarshalCBOR decodes the form of MarshalCBOR.
func (n *EditNumber) UnmarshalCBOR(data []byte) error {
	var encoded big.Int
	if err := cbor.Unmarshal(data, &encoded); err != nil {
		return err
	}
	if encoded.Sign() == 0 {
		*n = EditNumber{}
		return nil
	}
	value := new(big.Int).Sub(&encoded, big.NewInt(1))
	if !value.IsUint64() {
		return fmt.Errorf("edit number %s: expected 0 to %d", value, uint64(math.MaxUint64))
	}
	*n = NewEditNumber(value.Uint64())
	return nil
}
