package journaler

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A file has a header and records. The header has the magic, a random ID of the file, the length of the file when it was created, a
// CRC32C of these, and the state.
//
// A record follows only bytes that a sync has covered, but for a mark between them. So an intact record proves that all before it or
// its mark was synced, while a power failure may have left any part of what follows the last sync, in any form. An empty record, the
// mark, is written after a sync only to prove this. The checksums depend on the file and the offset, so old contents of the disk are
// never taken for a record.
const (
	magic          = "CVTLOG02"
	fileHeaderSize = 29
	createdOffset  = 16
	checkedSize    = 24
	stateOffset    = 28
)

// A record starts with the length of its payload, a checksum of the length and one of the payload.
const (
	recordHeaderSize = 12
	lengthSumOffset  = 4
	payloadSumOffset = 8
)

// fileState tells how the file was left. Its byte is written in place, so no power failure can tear it.
type fileState byte

const (
	// stateUnmarked is that of files of earlier versions, which have no header, no marks and plain checksums.
	stateUnmarked fileState = 0
	stateOpen     fileState = 0x3c
	// stateClosed means that all of the file was synced when it was closed.
	stateClosed fileState = 0xc3
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// layout has what the records of a file depend on.
type layout struct {
	id    uint64
	state fileState
	// created is the length of the file when it got its name, in bytes. All of that had been synced.
	created int
}

// unmarkedLayout is the layout of files of earlier versions. Their first record was synced before they got their name.
var unmarkedLayout = layout{created: 1}

func (l layout) encode() []byte {
	b := append(make([]byte, 0, fileHeaderSize), magic...)
	b = binary.BigEndian.AppendUint64(b, l.id)
	b = binary.BigEndian.AppendUint64(b, uint64(l.created))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	return append(b, byte(l.state))
}

// decodeLayout decodes the start of a file. It returns the layout of earlier versions for a start without the magic, and
// errChecksum for a damaged header.
func decodeLayout(start []byte) (layout, error) {
	if !bytes.HasPrefix(start, []byte(magic)) {
		return unmarkedLayout, nil
	}
	if len(start) < fileHeaderSize || crc32.Checksum(start[:checkedSize], castagnoli) != binary.BigEndian.Uint32(start[checkedSize:]) {
		return layout{}, errChecksum
	}
	l := layout{
		id:      binary.BigEndian.Uint64(start[len(magic):]),
		created: int(binary.BigEndian.Uint64(start[createdOffset:])),
		state:   fileState(start[stateOffset]),
	}
	if l.state != stateOpen && l.state != stateClosed {
		return layout{}, errChecksum
	}
	return l, nil
}

// size returns the length of the header in bytes.
func (l layout) size() int {
	if l.state == stateUnmarked {
		return 0
	}
	return fileHeaderSize
}

// seed returns the initial value of the checksums of a record at an offset.
func (l layout) seed(offset int) uint32 {
	if l.state == stateUnmarked {
		return 0
	}
	b := binary.BigEndian.AppendUint64(nil, l.id)
	return crc32.Checksum(binary.BigEndian.AppendUint64(b, uint64(offset)), castagnoli)
}

// frame returns a record at an offset: length of the payload, checksum of the length, checksum of the payload, and the payload.
func (l layout) frame(offset int, payload []byte) []byte {
	seed := l.seed(offset)
	b := binary.BigEndian.AppendUint32(make([]byte, 0, recordHeaderSize+len(payload)), uint32(len(payload)))
	b = binary.BigEndian.AppendUint32(b, crc32.Update(seed, castagnoli, b))
	b = binary.BigEndian.AppendUint32(b, crc32.Update(seed, castagnoli, payload))
	return append(b, payload...)
}

func (l layout) hasValidLength(offset int, header []byte) bool {
	return crc32.Update(l.seed(offset), castagnoli, header[:lengthSumOffset]) == binary.BigEndian.Uint32(header[lengthSumOffset:])
}

// startsWithRecord reports whether the bytes at an offset start with an intact record.
func (l layout) startsWithRecord(offset int, data []byte) bool {
	if len(data) < recordHeaderSize || !l.hasValidLength(offset, data) {
		return false
	}
	length := int(binary.BigEndian.Uint32(data))
	return len(data)-recordHeaderSize >= length &&
		crc32.Update(l.seed(offset), castagnoli, data[recordHeaderSize:recordHeaderSize+length]) == binary.BigEndian.Uint32(data[payloadSumOffset:])
}

// isTorn reports whether the rest of a file from an offset, which does not start with an intact record, is a write that a power
// failure or an error interrupted. Otherwise synced bytes are damaged.
func (l layout) isTorn(offset int, rest []byte) bool {
	switch {
	case offset < l.created:
		return false
	case l.state == stateOpen:
		return !l.hasRecordAfter(offset, rest)
	case l.state == stateClosed:
		return l.isCut(offset, rest) || len(bytes.TrimRight(rest, "\x00")) == 0
	}
	return isInterruptedWrite(rest)
}

// hasRecordAfter reports whether rest has an intact record behind its start that proves that its start was synced. A record right
// behind a missing mark doesn't: both were written since the last sync.
func (l layout) hasRecordAfter(offset int, rest []byte) bool {
	for i := 1; i+recordHeaderSize <= len(rest); i++ {
		if !l.startsWithRecord(offset+i, rest[i:]) {
			continue
		}
		length := int(binary.BigEndian.Uint32(rest[i:]))
		if i != recordHeaderSize || length == 0 {
			return true
		}
		i += recordHeaderSize + length - 1
	}
	return false
}

// isCut reports whether a file ends within the record at an offset.
func (l layout) isCut(offset int, rest []byte) bool {
	return len(rest) < recordHeaderSize || (l.hasValidLength(offset, rest) && len(rest)-recordHeaderSize < int(binary.BigEndian.Uint32(rest)))
}

// isInterruptedWrite reports the same as isTorn for files of earlier versions: the file ends within a record, or with blocks that
// were never written and read as zeros. Without marks, a complete record with a wrong checksum may have been acknowledged.
func isInterruptedWrite(rest []byte) bool {
	nonZero := bytes.TrimRight(rest, "\x00")
	if len(nonZero) < recordHeaderSize {
		return true
	}
	if !unmarkedLayout.hasValidLength(0, rest) {
		return false
	}
	return len(nonZero) < recordHeaderSize+int(binary.BigEndian.Uint32(rest))
}
