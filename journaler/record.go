package journaler

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/voter"
)

// headerSize is the size of a record's header: length of the payload, CRC32C of the length, CRC32C of the payload.
const headerSize = 12

var (
	castagnoli    = crc32.MakeTable(crc32.Castagnoli)
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

// recordDecoder accepts arrays of any length, since a record may hold many entries; the checksum protects against
// damaged input.
var recordDecoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1<<31 - 1}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

func encodeRecord(r record) ([]byte, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return nil, err
	}
	b := make([]byte, headerSize, headerSize+len(payload))
	binary.BigEndian.PutUint32(b, uint32(len(payload)))
	binary.BigEndian.PutUint32(b[4:], crc32.Checksum(b[:4], castagnoli))
	binary.BigEndian.PutUint32(b[8:], crc32.Checksum(payload, castagnoli))
	return append(b, payload...), nil
}

// fileContents is what a file holds.
type fileContents struct {
	self   voter.ID
	stored voter.StoredState
	// tornBytes is the number of bytes at the end that belong to a torn write.
	tornBytes int
}

// decodeFile decodes a file. It leaves out a torn last write; any other damage is an error with its offset.
func decodeFile(path string, data []byte) (fileContents, error) {
	var contents fileContents
	for offset := 0; offset < len(data); {
		payload, err := nextPayload(data[offset:])
		if err != nil {
			if offset > 0 && isTornWrite(data[offset:]) {
				contents.tornBytes = len(data) - offset
				return contents, nil
			}
			return contents, damagedError(path, offset, err)
		}
		var r record
		if err := recordDecoder.Unmarshal(payload, &r); err != nil {
			return contents, damagedError(path, offset, err)
		}
		if err := contents.addRecord(r); err != nil {
			return contents, damagedError(path, offset, err)
		}
		offset += headerSize + len(payload)
	}
	if contents.self == (voter.ID{}) {
		return contents, damagedError(path, 0, errChecksum)
	}
	return contents, nil
}

// nextPayload returns the payload of the first record.
func nextPayload(data []byte) ([]byte, error) {
	if len(data) < headerSize || crc32.Checksum(data[:4], castagnoli) != binary.BigEndian.Uint32(data[4:]) {
		return nil, errChecksum
	}
	size := int(binary.BigEndian.Uint32(data))
	if len(data)-headerSize < size {
		return nil, errChecksum
	}
	payload := data[headerSize : headerSize+size]
	if crc32.Checksum(payload, castagnoli) != binary.BigEndian.Uint32(data[8:]) {
		return nil, errChecksum
	}
	return payload, nil
}

// isTornWrite reports whether the rest of a file is a write that was interrupted: the file ends within a record, or
// with blocks that were never written and read as zeros. A complete record with a wrong checksum is damage instead,
// since it may have been acknowledged. A damaged length is not taken for a torn write because the length has a checksum
// of its own.
func isTornWrite(rest []byte) bool {
	nonZero := bytes.TrimRight(rest, "\x00")
	if len(nonZero) < headerSize {
		return true
	}
	if crc32.Checksum(rest[:4], castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
		return false
	}
	return len(nonZero) < headerSize+int(binary.BigEndian.Uint32(rest))
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
