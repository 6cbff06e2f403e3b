package journaler

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

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

func encodeRecord(r record) (header, payload []byte, err error) {
	if payload, err = cbor.Marshal(r); err != nil {
		return nil, nil, err
	}
	header = make([]byte, headerSize)
	binary.BigEndian.PutUint32(header, uint32(len(payload)))
	binary.BigEndian.PutUint32(header[4:], crc32.Checksum(header[:4], castagnoli))
	binary.BigEndian.PutUint32(header[8:], crc32.Checksum(payload, castagnoli))
	return header, payload, nil
}

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
	for offset := 0; ; {
		data, err := readRecord(file)
		if err != nil {
			return contents, internalError("journaler.Open", err)
		}
		if len(data) == 0 {
			break
		}
		if !isIntact(data) {
			rest, err := io.ReadAll(file)
			if err != nil {
				return contents, internalError("journaler.Open", err)
			}
			if data = append(data, rest...); offset > 0 && isTornWrite(data) {
				contents.tornBytes = len(data)
				return contents, nil
			}
			return contents, damagedError(path, offset, errChecksum)
		}
		var r record
		if err := recordDecoder.Unmarshal(data[headerSize:], &r); err != nil {
			return contents, damagedError(path, offset, err)
		}
		if err := contents.addRecord(r); err != nil {
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
func readRecord(file io.Reader) ([]byte, error) {
	data := make([]byte, headerSize)
	n, err := io.ReadFull(file, data)
	if n < headerSize {
		return data[:n], ignoreEOF(err)
	}
	if !hasValidLength(data) {
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

func hasValidLength(header []byte) bool {
	return crc32.Checksum(header[:4], castagnoli) == binary.BigEndian.Uint32(header[4:])
}

// isIntact reports whether data is a complete record with correct checksums.
func isIntact(data []byte) bool {
	return len(data) >= headerSize && hasValidLength(data) && len(data)-headerSize == int(binary.BigEndian.Uint32(data)) &&
		crc32.Checksum(data[headerSize:], castagnoli) == binary.BigEndian.Uint32(data[8:])
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
	if !hasValidLength(rest) {
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
