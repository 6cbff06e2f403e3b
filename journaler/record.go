package journaler

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/voter"
)

var (
	errChecksum   = errors.New("checksum does not match")
	errEntryOrder = errors.New("entries are out of order")
)

// record is one write. The first record of a file has the identity and all state from before the file.
type record struct {
	_        struct{} `cbor:",toarray"`
	Self     *voter.ID
	Hard     voter.HardState
	Snapshot *voter.Snapshot
	Entries  []voter.Entry
}

// earlierRecord is a record of a version that wrote files without a header.
type earlierRecord struct {
	_    struct{} `cbor:",toarray"`
	Self *voter.ID
	Hard struct {
		_        struct{} `cbor:",toarray"`
		Term     uint64
		Vote     voter.ID
		Admitted bool
	}
	Snapshot *voter.Snapshot
	Entries  []voter.Entry
}

// recordDecoder accepts arrays of any length, since a record may hold many entries; the checksum protects against
// damaged input.
var recordDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1<<31 - 1}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// fileContents is what a file holds.
type fileContents struct {
	self   voter.ID
	stored voter.StoredState
	// tornBytes is the number of bytes at the end that belong to a torn write.
	tornBytes int
}

// decodeFile decodes a file record by record, so that it takes little more memory than the state. It leaves out a torn last
// write; any other damage is an error with its offset.
func decodeFile(path string, file io.Reader) (fileContents, error) {
	var contents fileContents
	start := make([]byte, fileHeaderSize)
	n, err := io.ReadFull(file, start)
	if ignoreEOF(err) != nil {
		return contents, internalError("journaler.Open", err)
	}
	l, err := decodeLayout(start[:n])
	if err != nil {
		return contents, damagedError(path, 0, err)
	}
	file = io.MultiReader(bytes.NewReader(start[l.size():n]), file)
	offset := l.size()
	for {
		data, err := l.readRecord(offset, file)
		if err != nil {
			return contents, internalError("journaler.Open", err)
		}
		if len(data) == 0 && offset >= l.created {
			break
		}
		if !l.startsWithRecord(offset, data) {
			rest, err := io.ReadAll(file)
			if err != nil {
				return contents, internalError("journaler.Open", err)
			}
			if data = append(data, rest...); !l.isTorn(offset, data) {
				return contents, damagedError(path, offset, errChecksum)
			}
			contents.tornBytes = len(data)
			break
		}
		if err := contents.addPayload(l, data[recordHeaderSize:]); err != nil {
			return contents, damagedError(path, offset, err)
		}
		offset += len(data)
	}
	if contents.self == (voter.ID{}) {
		return contents, damagedError(path, 0, errChecksum)
	}
	return contents, nil
}

// readRecord returns the bytes of the next record with its header, or fewer where the file ends or the header is damaged.
func (l layout) readRecord(offset int, file io.Reader) ([]byte, error) {
	data := make([]byte, recordHeaderSize)
	n, err := io.ReadFull(file, data)
	if n < recordHeaderSize {
		return data[:n], ignoreEOF(err)
	}
	if !l.hasValidLength(offset, data) {
		return data, nil
	}
	payload := io.LimitReader(file, int64(binary.BigEndian.Uint32(data)))
	b := bytes.NewBuffer(data)
	if _, err := b.ReadFrom(payload); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return err
}

// addPayload adds what a record holds; a mark holds nothing.
func (c *fileContents) addPayload(l layout, payload []byte) error {
	if len(payload) == 0 {
		return nil
	}
	var r record
	if l.state != stateUnmarked {
		if err := recordDecoder.Unmarshal(payload, &r); err != nil {
			return err
		}
		return c.addRecord(r)
	}
	var e earlierRecord
	if err := recordDecoder.Unmarshal(payload, &e); err != nil {
		return err
	}
	r = record{Self: e.Self, Snapshot: e.Snapshot, Entries: e.Entries}
	r.Hard = voter.HardState{Term: e.Hard.Term, Vote: e.Hard.Vote, Admitted: e.Hard.Admitted}
	return c.addRecord(r)
}

func (c *fileContents) addRecord(r record) error {
	if r.Self != nil {
		c.self = *r.Self
	}
	c.stored.Hard = r.Hard
	if r.Snapshot != nil {
		c.stored.Snapshot, c.stored.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		position := int64(e.Index) - int64(c.stored.Snapshot.Index) - 1
		if position < 0 || position > int64(len(c.stored.Entries)) {
			return errEntryOrder
		}
		c.stored.Entries = append(c.stored.Entries[:position], e)
	}
	return nil
}

func damagedError(path string, offset int, err error) error {
	return fault("journaler.Open", cherviltide.KindDamaged, fmt.Errorf("%s is damaged at offset %d: %w", path, offset, err))
}
