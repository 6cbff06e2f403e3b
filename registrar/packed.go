package registrar

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/differ"
)

// packMinBytes is the smallest size of changed lines that are compressed; for fewer bytes compression saves little.
const packMinBytes = 4 << 10

// keptRevision is an accepted edit with the encoded diff that turns its text back into the previous one. The lines of a
// file are much alike, so that the diff takes a fraction of its size.
type keptRevision struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Operator string
	Base     uint64
	Time     cherviltide.Millis
	Sum      uint64
	Number   cherviltide.EditNumber
	// Size is the size of the edit in bytes before compression.
	Size int
	// Lines is the encoding of the hunks. It is compressed if Packed is true.
	Lines  []byte
	Packed bool
}

// newKeptRevision returns the kept form of an edit whose Lines turn the new text back into the previous one.
func newKeptRevision(e editRecord) (keptRevision, error) {
	k := keptRevision{ID: e.ID, Operator: e.Operator, Base: e.Base, Time: e.Time, Sum: e.Sum, Number: e.Number, Size: e.size()}
	lines, err := cbor.Marshal(e.Lines)
	if err != nil {
		return k, err
	}
	if k.Lines = lines; len(lines) < packMinBytes {
		return k, nil
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return k, err
	}
	if _, err := w.Write(lines); err != nil {
		return k, err
	}
	if err := w.Close(); err != nil {
		return k, err
	}
	k.Lines, k.Packed = bytes.Clone(packed.Bytes()), true
	return k, nil
}

// hunks returns the diff that turns the revision's text back into the previous one.
func (k keptRevision) hunks() ([]differ.Hunk, error) {
	lines := k.Lines
	if k.Packed {
		var err error
		if lines, err = io.ReadAll(flate.NewReader(bytes.NewReader(lines))); err != nil {
			return nil, err
		}
	}
	var hunks []differ.Hunk
	return hunks, decoder.Unmarshal(lines, &hunks)
}
