package messenger

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"io"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
)

const (
	// packMinBytes is the smallest encoded size of rules that are packed; for fewer bytes compression saves little.
	packMinBytes = 4 << 10
	// maxUnpackedBytes bounds rules after decompression. A configuration has at most a few MiB.
	maxUnpackedBytes = 32 << 20
)

var errPackedTooLarge = errors.New("packed rules exceed the bound after decompression")

// PackRules returns the compressed encoding of a rules update, which one instance makes once and sends to all followers with
// the same rules. It returns nil for a small update, which is sent as it is.
func PackRules(u *RulesUpdate) ([]byte, error) {
	data, err := cbor.Marshal(u)
	if err != nil || len(data) < packMinBytes {
		return nil, err
	}
	var packed bytes.Buffer
	w := newGzipWriter()
	w.Reset(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// UnpackRules sets Rules from PackedRules, if the update has any.
func (u *FollowUpdate) UnpackRules() error {
	if len(u.PackedRules) == 0 {
		return nil
	}
	damaged := func(err error) error {
		return &Error{Fault: cherviltide.Fault{Op: "messenger.UnpackRules", Kind: cherviltide.KindDamaged, Err: err}}
	}
	r, err := gzip.NewReader(bytes.NewReader(u.PackedRules))
	if err != nil {
		return damaged(err)
	}
	var unpacked bytes.Buffer
	unpacked.Grow(min(unpackedSize(u.PackedRules), maxUnpackedBytes))
	if _, err := unpacked.ReadFrom(io.LimitReader(r, maxUnpackedBytes+1)); err != nil {
		return damaged(err)
	}
	data := unpacked.Bytes()
	if len(data) > maxUnpackedBytes {
		return damaged(errPackedTooLarge)
	}
	rules := &RulesUpdate{}
	if err := cbor.Unmarshal(data, rules); err != nil {
		return damaged(err)
	}
	u.Rules, u.PackedRules = rules, nil
	return nil
}

// unpackedSize returns the size that the end of gzip data tells; it is only a hint, since the data may be damaged.
func unpackedSize(packed []byte) int {
	if len(packed) < 4 {
		return 0
	}
	return int(binary.LittleEndian.Uint32(packed[len(packed)-4:])) + bytes.MinRead
}
