// Package messenger defines the remote procedures of the processes, with their messages. It runs them over the Connect
// protocol with CBOR encoding.
package messenger

import (
	"github.com/fxamacker/cbor/v2"
)

// codec is the CBOR codec for Connect.
type codec struct{}

func (codec) Name() string { return "cbor" }

func (codec) Marshal(message any) ([]byte, error) {
	return cbor.Marshal(message)
}

func (codec) Unmarshal(data []byte, message any) error {
	return cbor.Unmarshal(data, message)
}
