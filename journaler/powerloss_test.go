package journaler_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/voter"
)

const (
	logPath = "data/log"
	// recordHeaderSize is the size of the header of a record; a mark is a header alone.
	recordHeaderSize = 12
)

// openMemory opens the journal of a disk in memory.
func openMemory(d *memoryDisk) (*journaler.Journal, voter.StoredState, error) {
	j, _, stored, err := journaler.Open(d, "data", voter.ID{Name: "c1", Number: 7})
	return j, stored, err
}

// cloneDisk returns a copy of the disk of a process that was killed.
func (d *memoryDisk) cloneDisk() *memoryDisk {
	return d.crashWith(func(w unsyncedWrite) []byte { return w.data }, true)
}

// tear draws what a power failure leaves of a write: nothing, all of it, or a part with blocks that are zeros or have other contents.
func tear(t *rapid.T) func(unsyncedWrite) []byte {
	return func(w unsyncedWrite) []byte {
		if len(w.data) == 1 {
			return rapid.SampledFrom([][]byte{nil, w.data}).Draw(t, "byte")
		}
		left := bytes.Clone(w.data)
		switch rapid.IntRange(0, 4).Draw(t, "left") {
		case 0:
			return nil
		case 1:
			return left
		case 2:
			return left[:rapid.IntRange(0, len(left)).Draw(t, "cut")]
		}
		block := rapid.IntRange(1, 64).Draw(t, "block")
		for from := 0; from < len(left); from += block {
			part := left[from:min(from+block, len(left))]
			switch rapid.IntRange(0, 2).Draw(t, "contents") {
			case 0:
				clear(part)
			case 1:
				copy(part, rapid.SliceOfN(rapid.Byte(), len(part), len(part)).Draw(t, "old"))
			}
		}
		return left
	}
}

// journalModel is a journal and what its disk must have.
type journalModel struct {
	disk    *memoryDisk
	journal *journaler.Journal
	// last is the index and term of the last entry that was acknowledged; written is that of the last one that was written.
	last, written uint64
	// marked is the length of the file that a mark proves to have been synced.
	marked int
}

func (m *journalModel) length() int {
	return len(m.disk.files[logPath].content)
}

// write writes an entry, and a snapshot before it every few entries.
func (m *journalModel) write(t *rapid.T) {
	m.written++
	w := voter.Write{Hard: voter.HardState{Term: m.written}, Entries: []voter.Entry{newEntry(m.written)}}
	if w.Entries[0].Data = bytes.Repeat([]byte("x"), rapid.IntRange(0, 200).Draw(t, "size")); m.written%7 == 0 {
		w.Snapshot = &voter.Snapshot{Index: m.written - 1, Term: 1, Data: []byte("state")}
	}
	if m.journal.Write(w) != nil {
		return
	}
	if m.last = m.written; w.Snapshot != nil {
		m.marked = m.length()
	}
}

// reopen opens the journal on another disk and requires all that was acknowledged, in one piece.
func (m *journalModel) reopen(t *rapid.T, disk *memoryDisk) {
	disk.failAt = 0
	j, stored, err := openMemory(disk)
	require.NoError(t, err)
	durable := stored.Snapshot.Index + uint64(len(stored.Entries))
	require.GreaterOrEqual(t, durable, m.last)
	require.LessOrEqual(t, durable, m.written)
	require.Equal(t, durable, stored.Hard.Term)
	m.disk, m.journal, m.last, m.written, m.marked = disk, j, durable, durable, len(disk.files[logPath].content)
}

// requireDamage requires that each damaged byte that was surely synced is an error.
func (m *journalModel) requireDamage(t *rapid.T) {
	damaged := m.disk.cloneDisk()
	content := damaged.files[logPath].content
	content[rapid.IntRange(0, m.marked-1).Draw(t, "offset")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
	_, _, err := openMemory(damaged)
	var damage *journaler.Error
	require.ErrorAs(t, err, &damage)
	require.Equal(t, cherviltide.KindDamaged, damage.Kind)
}

// TestPowerLoss guards against a control instance that never starts again because a power failure left any part of the writes after
// the last sync, and against damage of synced bytes that is taken for such a write.
func TestPowerLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &journalModel{disk: newMemoryDisk()}
		m.reopen(t, m.disk)
		t.Repeat(map[string]func(*rapid.T){
			"write": m.write,
			"failing write": func(t *rapid.T) {
				m.disk.failAt = m.disk.operations + rapid.IntRange(1, 3).Draw(t, "step")
				m.write(t)
				m.reopen(t, m.disk.crashWith(tear(t), rapid.Bool().Draw(t, "names")))
			},
			"mark": func(t *rapid.T) {
				before := m.length()
				require.NoError(t, m.journal.MarkSynced())
				if m.length() > before {
					m.marked = before
				}
			},
			"power loss": func(t *rapid.T) { m.reopen(t, m.disk.crashWith(tear(t), rapid.Bool().Draw(t, "names"))) },
			"kill":       func(t *rapid.T) { m.reopen(t, m.disk.cloneDisk()) },
			"close": func(t *rapid.T) {
				require.NoError(t, m.journal.Close())
				m.marked = m.length()
				m.requireDamage(t)
				m.reopen(t, m.disk.crashWith(tear(t), rapid.Bool().Draw(t, "names")))
			},
			"": m.requireDamage,
		})
	})
}

// writtenRecord returns a disk with three synced entries, and the bytes of a fourth record whose sync has not ended.
func writtenRecord(t require.TestingT) (disk *memoryDisk, record []byte) {
	d := newMemoryDisk()
	j, _, err := openMemory(d)
	require.NoError(t, err)
	for i := uint64(1); i <= 3; i++ {
		require.NoError(t, j.Write(voter.Write{Hard: voter.HardState{Term: i}, Entries: []voter.Entry{newEntry(i)}}))
		require.NoError(t, j.MarkSynced())
	}
	d.failAt = d.operations + 2
	require.ErrorIs(t, j.Write(voter.Write{Hard: voter.HardState{Term: 4}, Entries: []voter.Entry{newEntry(4)}}), errInjected)
	unsynced := d.files[logPath].unsynced
	return d, unsynced[len(unsynced)-1].data
}

// TestTornWriteShapes guards against a control instance that never starts again after a power failure, for each form of the last
// write that was seen or is simple to name.
func TestTornWriteShapes(t *testing.T) {
	for name, left := range map[string]func(record []byte) []byte{
		"missing":                 func([]byte) []byte { return nil },
		"header missing":          func(b []byte) []byte { clear(b[:recordHeaderSize]); return b },
		"header torn":             func(b []byte) []byte { clear(b[3:7]); return b },
		"hole in the payload":     func(b []byte) []byte { clear(b[recordHeaderSize+2 : len(b)-2]); return b },
		"end missing":             func(b []byte) []byte { return b[:len(b)-1] },
		"end is zeros":            func(b []byte) []byte { return append(b[:len(b)-1], make([]byte, 4096)...) },
		"old contents throughout": func(b []byte) []byte { return bytes.Repeat([]byte{0xa5}, len(b)) },
	} {
		t.Run(name, func(t *testing.T) {
			d, record := writtenRecord(t)
			after := d.crashWith(func(w unsyncedWrite) []byte {
				if len(w.data) == len(record) {
					return left(bytes.Clone(w.data))
				}
				return w.data
			}, true)
			j, stored, err := openMemory(after)
			require.NoError(t, err)
			require.Len(t, stored.Entries, 3)
			require.EqualValues(t, 3, stored.Hard.Term)
			require.Equal(t, len(left(bytes.Clone(record))), j.DroppedBytes())
		})
	}
}

// TestOldRecordsAreNotTaken guards against records of an earlier file that a power failure leaves behind the last sync.
func TestOldRecordsAreNotTaken(t *testing.T) {
	_, record := writtenRecord(t)
	d, _ := writtenRecord(t)
	after := d.crashWith(func(w unsyncedWrite) []byte {
		if len(w.data) == len(record) {
			return record
		}
		return w.data
	}, true)
	_, stored, err := openMemory(after)
	require.NoError(t, err)
	require.Len(t, stored.Entries, 3)
}

// earlierFile returns a file as versions without a file header wrote it, with the given number of records.
func earlierFile(t require.TestingT, records int) []byte {
	var file []byte
	for i := range records {
		type write struct {
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
		w := write{Self: &voter.ID{Name: "c1", Number: 7}, Entries: []voter.Entry{newEntry(uint64(i) + 1)}}
		w.Hard.Term, w.Hard.Vote, w.Hard.Admitted = 3, voter.ID{Name: "c2", Number: 9}, true
		payload, err := cbor.Marshal(w)
		require.NoError(t, err)
		file = append(file, journaler.EarlierFrame(payload)...)
	}
	return file
}

// TestEarlierFiles guards against files of the previous version that do not open after an upgrade, and against damage of them that
// goes unnoticed.
func TestEarlierFiles(t *testing.T) {
	file := earlierFile(t, 3)
	whole := func(content []byte) *memoryDisk {
		d := newMemoryDisk()
		d.files[logPath] = &memoryFile{disk: d, content: content}
		return d
	}
	_, stored, err := openMemory(whole(file))
	require.NoError(t, err)
	require.Len(t, stored.Entries, 3)
	require.Equal(t, voter.HardState{Term: 3, Vote: voter.ID{Name: "c2", Number: 9}, Admitted: true}, stored.Hard)
	second := len(earlierFile(t, 2))
	for cut := second; cut < len(file); cut++ {
		_, stored, err := openMemory(whole(bytes.Clone(file[:cut])))
		require.NoError(t, err, "cut at %d", cut)
		require.Len(t, stored.Entries, 2, "cut at %d", cut)
	}
	for offset := range file {
		damaged := bytes.Clone(file)
		damaged[offset] ^= 0x10
		_, _, err := openMemory(whole(damaged))
		require.Error(t, err, "byte %d", offset)
	}
}

// FuzzOpen checks that a file of any content opens or is an error, and that a file which opens does so again with the same state.
func FuzzOpen(f *testing.F) {
	d, _ := writtenRecord(f)
	f.Add(d.files[logPath].content, false)
	f.Add(d.files[logPath].syncedContent, true)
	f.Add(earlierFile(f, 2), false)
	f.Fuzz(func(t *testing.T, content []byte, closed bool) {
		d := newMemoryDisk()
		d.files[logPath] = &memoryFile{disk: d, content: content}
		j, stored, err := openMemory(d)
		if err != nil {
			var e *journaler.Error
			require.ErrorAs(t, err, &e)
			return
		}
		if closed {
			require.NoError(t, j.Close())
		}
		_, again, err := openMemory(d)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(stored), fmt.Sprint(again))
	})
}
