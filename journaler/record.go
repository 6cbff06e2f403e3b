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
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	errChecksum = errors.New("checksum does not match")
	errOrder    = errors.New("entries are out of order")
)

// record is one write. The first record of a file holds the identity and everything that came before the file.
type record struct {
	_        struct{} `cbor:",toarray"`
	Self     *voter.ID
	Hard     voter.HardState
	Snapshot *voter.Snapshot
	Entries  []voter.Entry
}

// decoding accepts lists of any length, since a record may hold many entries; the checksum guards the input.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1<<31 - 1}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

func encode(r record) ([]byte, error) {
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

// content is what a file holds.
type content struct {
	self   voter.ID
	stored voter.StoredState
	// cut is the number of bytes at the end that belong to an interrupted write.
	cut int
}

// decode reads a file. A torn last write is left out; any other damage is an error with its offset.
func decode(path string, data []byte) (content, error) {
	var c content
	for offset := 0; offset < len(data); {
		payload, err := next(data[offset:])
		if err != nil {
			if offset > 0 && torn(data[offset:]) {
				c.cut = len(data) - offset
				return c, nil
			}
			return c, damage(path, offset, err)
		}
		var r record
		if err := decoding.Unmarshal(payload, &r); err != nil {
			return c, damage(path, offset, err)
		}
		if err := c.add(r); err != nil {
			return c, damage(path, offset, err)
		}
		offset += headerSize + len(payload)
	}
	if c.self == (voter.ID{}) {
		return c, damage(path, 0, errChecksum)
	}
	return c, nil
}

// next returns the payload of the first record.
func next(data []byte) ([]byte, error) {
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

// torn reports whether the rest of a file is an interrupted write: it ends within a record, or it ends in blocks that
// were never written and read as zeros. A whole record that fails its checksum is damage, since it may have been
// acknowledged. A damaged length cannot pass as an interrupted write because the length has a checksum of its own.
func torn(rest []byte) bool {
	written := bytes.TrimRight(rest, "\x00")
	if len(written) < headerSize {
		return true
	}
	if crc32.Checksum(rest[:4], castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
		return false
	}
	return len(written) < headerSize+int(binary.BigEndian.Uint32(rest))
}

func (c *content) add(r record) error {
	if r.Self != nil {
		c.self = *r.Self
	}
	c.stored.Hard = r.Hard
	if r.Snapshot != nil {
		c.stored.Snapshot, c.stored.Entries = *r.Snapshot, nil
	}
	for _, e := range r.Entries {
		at := int64(e.Index) - int64(c.stored.Snapshot.Index) - 1
		if at < 0 || at > int64(len(c.stored.Entries)) {
			return errOrder
		}
		c.stored.Entries = append(c.stored.Entries[:at], e)
	}
	return nil
}

func damage(path string, offset int, err error) error {
	return fault("journaler.Open", cherviltide.KindDamaged, fmt.Errorf("%s is damaged at offset %d: %w", path, offset, err))
}
