package messenger

import (
	"bytes"
	"compress/gzip"
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
	w := gzip.NewWriter(&packed)
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
	data, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes+1))
	if err != nil {
		return damaged(err)
	}
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
