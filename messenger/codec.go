// Package messenger defines the messages between the processes of the system and the connect procedures that carry them.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
)

// codec encodes messages as CBOR for connect.
type codec struct{}

func (codec) Name() string { return "cbor" }

func (codec) Marshal(message any) ([]byte, error) {
	return cbor.Marshal(message)
}

func (codec) Unmarshal(data []byte, message any) error {
	return cbor.Unmarshal(data, message)
}
