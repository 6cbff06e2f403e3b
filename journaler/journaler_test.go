package journaler_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/journaler"
	"cherviltide.example/cherviltide/voter"
)

var errInjected = errors.New("injected")

// memoryDisk is a file system in memory. One operation fails, and a crash loses what was not synced, or a part of it.
type memoryDisk struct {
	files, syncedFiles map[string]*memoryFile
	// failAt is the number of the operation that fails; 0 means none. operations counts them.
	failAt, operations int
	shortWrite         bool
}

type memoryFile struct {
	disk                   *memoryDisk
	content, syncedContent []byte
	position               int
	// unsynced has the writes since the last sync.
	unsynced []unsyncedWrite
}

type unsyncedWrite struct {
	offset int
	data   []byte
}

func newMemoryDisk() *memoryDisk {
	return &memoryDisk{files: map[string]*memoryFile{}, syncedFiles: map[string]*memoryFile{}}
}

func (d *memoryDisk) beginOperation() error {
	if d.operations++; d.operations == d.failAt {
		return errInjected
	}
	return nil
}

// crash returns the disk as it is after a power failure at which all that was not synced is lost.
func (d *memoryDisk) crash() *memoryDisk {
	return d.crashWith(func(unsyncedWrite) []byte { return nil }, false)
}

// crashWith returns the disk as it is after a power failure that left of each write since the last sync what survives returns: nil
// for a missing write, or the write with any part of it torn. With keepNames the renamed and removed names are durable already.
func (d *memoryDisk) crashWith(survives func(unsyncedWrite) []byte, keepNames bool) *memoryDisk {
	after, names := newMemoryDisk(), d.syncedFiles
	if keepNames {
		names = d.files
	}
	for name, f := range names {
		content := bytes.Clone(f.syncedContent)
		for _, w := range f.unsynced {
			content = overwriteAt(content, w.offset, survives(w))
		}
		survivor := &memoryFile{disk: after, content: content, syncedContent: content}
		after.files[name], after.syncedFiles[name] = survivor, survivor
	}
	return after
}

// overwriteAt writes b into the content at an offset; a gap before it reads as zeros.
func overwriteAt(content []byte, offset int, b []byte) []byte {
	if len(b) == 0 {
		return content
	}
	if missing := offset + len(b) - len(content); missing > 0 {
		content = append(content, make([]byte, missing)...)
	}
	copy(content[offset:], b)
	return content
}

func (d *memoryDisk) MkdirAll(string) error          { return d.beginOperation() }
func (d *memoryDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }
func (d *memoryDisk) Create(p string) (cherviltide.File, error) {
	if err := d.beginOperation(); err != nil {
		return nil, err
	}
	d.files[p] = &memoryFile{disk: d}
	return d.files[p], nil
}

func (d *memoryDisk) Open(p string) (io.ReadCloser, error) {
	if f, ok := d.files[p]; ok {
		return io.NopCloser(bytes.NewReader(f.content)), nil
	}
	return nil, fs.ErrNotExist
}

func (d *memoryDisk) Rename(from, to string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *memoryDisk) Remove(p string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	delete(d.files, p)
	return nil
}

func (d *memoryDisk) SyncDir(string) error {
	if err := d.beginOperation(); err != nil {
		return err
	}
	d.syncedFiles = map[string]*memoryFile{}
	for name, f := range d.files {
		d.syncedFiles[name] = f
	}
	return nil
}

func (f *memoryFile) Write(b []byte) (int, error) {
	err := f.disk.beginOperation()
	if err != nil {
		b = b[:len(b)/2]
		if f.disk.shortWrite {
			err = nil
		}
	}
	f.content = overwriteAt(f.content, f.position, b)
	f.unsynced = append(f.unsynced, unsyncedWrite{f.position, bytes.Clone(b)})
	f.position += len(b)
	return len(b), err
}

func (f *memoryFile) Seek(offset int64, _ int) (int64, error) {
	f.position = int(offset)
	return offset, nil
}

func (f *memoryFile) Sync() error {
	if err := f.disk.beginOperation(); err != nil {
		return err
	}
	f.syncedContent, f.unsynced = bytes.Clone(f.content), nil
	return nil
}

func (f *memoryFile) Close() error { return nil }

func newEntry(i uint64) voter.Entry {
	return voter.Entry{Index: i, Term: 1, Data: fmt.Appendf(nil, "entry %d", i)}
}

// writeEntries makes ten writes, two of them with snapshots, closes the journal, and returns the index of the last acknowledged
// entry.
func writeEntries(files cherviltide.FileSystem) (acknowledged uint64, err error) {
	j, _, _, err := journaler.Open(files, "data", voter.ID{Name: "c1", Number: 7})
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, j.Close()) }()
	for i := uint64(1); i <= 10; i++ {
		w := voter.Write{Hard: voter.HardState{Term: i}, Entries: []voter.Entry{newEntry(i)}}
		if i%5 == 0 {
			w.Snapshot = &voter.Snapshot{Index: i - 1, Term: 1, Data: []byte("state")}
		}
		if err := j.Write(w); err != nil {
			if again := j.Write(voter.Write{}); again == nil {
				return acknowledged, errors.New("a write after a failed one succeeded")
			}
			return acknowledged, err
		}
		acknowledged = i
		if err := j.MarkSynced(); err != nil {
			return acknowledged, err
		}
	}
	return acknowledged, nil
}

// TestFaultAtEveryStepLosesNothingAcknowledged guards against acknowledged state that is lost by an error or a crash at
// any file operation, and against writes after a failed one.
func TestFaultAtEveryStepLosesNothingAcknowledged(t *testing.T) {
	for _, short := range []bool{false, true} {
		for step, done := 1, false; !done; step++ {
			d := newMemoryDisk()
			d.failAt, d.shortWrite = step, short
			acknowledged, err := writeEntries(d)
			done = d.operations < step
			require.Equal(t, done, err == nil, "step %d", step)
			if !done && !short {
				require.ErrorIs(t, err, errInjected)
			}
			for name, after := range map[string]*memoryDisk{"crash": d.crash(), "restart": d} {
				after.failAt = 0
				_, self, stored, err := journaler.Open(after, "data", voter.ID{Name: "c1", Number: 8})
				require.NoError(t, err, "step %d, %s", step, name)
				if acknowledged > 0 {
					require.EqualValues(t, 7, self.Number, "step %d, %s", step, name)
				}
				durable := stored.Snapshot.Index + uint64(len(stored.Entries))
				require.GreaterOrEqual(t, durable, acknowledged, "step %d, %s", step, name)
				require.GreaterOrEqual(t, stored.Hard.Term, acknowledged, "step %d, %s", step, name)
			}
		}
	}
}

// TestCompactionWithoutRoom guards against a voter that stops, or that loses an entry of the same write, because its disk has no
// room for a second file. The journal keeps the old file and compacts again later.
func TestCompactionWithoutRoom(t *testing.T) {
	write := func(i uint64) voter.Write {
		return voter.Write{Hard: voter.HardState{Term: i}, Entries: []voter.Entry{newEntry(i)}}
	}
	compaction := func(i uint64) voter.Write {
		w := write(i)
		w.Entries = []voter.Entry{newEntry(i - 1), newEntry(i)}
		w.Snapshot, w.IsCompaction, w.NewFrom = &voter.Snapshot{Index: i - 2, Term: 1, Data: []byte("state")}, true, i
		return w
	}
	for name, step := range map[string]int{"create": 1, "first write": 2, "last write": 5, "sync": 6} {
		t.Run(name, func(t *testing.T) {
			d := newMemoryDisk()
			j, _, _, err := journaler.Open(d, "data", voter.ID{Name: "c1", Number: 7})
			require.NoError(t, err)
			for i := range uint64(4) {
				require.NoError(t, j.Write(write(i+1)))
			}
			d.failAt = d.operations + step
			err = j.Write(compaction(5))
			require.ErrorIs(t, err, journaler.ErrNotCompacted)
			require.ErrorIs(t, err, errInjected)
			require.NotContains(t, d.files, "data/log.new")
			require.NoError(t, j.Write(write(6)))
			_, _, stored, err := journaler.Open(d.crash(), "data", voter.ID{Name: "c1", Number: 8})
			require.NoError(t, err)
			require.Len(t, stored.Entries, 6)
			require.NoError(t, j.Write(compaction(7)))
			_, _, stored, err = journaler.Open(d.crash(), "data", voter.ID{Name: "c1", Number: 8})
			require.NoError(t, err)
			require.EqualValues(t, 5, stored.Snapshot.Index)
			require.Len(t, stored.Entries, 2)
			require.EqualValues(t, 7, stored.Hard.Term)
		})
	}
}

// TestDamage guards against damage that goes unnoticed, and against a torn last write that keeps a voter from starting.
func TestDamage(t *testing.T) {
	directory := t.TempDir()
	path := filepath.Join(directory, "log")
	j, self, _, err := journaler.Open(journaler.NewOSFileSystem(), directory, voter.ID{Name: "c1", Number: 7})
	require.NoError(t, err)
	_, _, _, err = journaler.Open(journaler.NewOSFileSystem(), directory, self)
	require.ErrorContains(t, err, "in use")
	var ends []int
	for i := uint64(1); i <= 3; i++ {
		require.NoError(t, j.Write(voter.Write{Hard: voter.HardState{Term: 1}, Entries: []voter.Entry{newEntry(i)}}))
		data, err := os.ReadFile(path)
		require.NoError(t, err)
		ends = append(ends, len(data))
	}
	require.NoError(t, j.Close())
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	open := func(data []byte) (int, error) {
		require.NoError(t, os.WriteFile(path, data, 0o600))
		j, _, stored, err := journaler.Open(journaler.NewOSFileSystem(), directory, self)
		if err == nil {
			require.NoError(t, j.Close())
		}
		return len(stored.Entries), err
	}
	for cut := ends[1]; cut < ends[2]; cut++ {
		n, err := open(intact[:cut])
		require.NoError(t, err, "cut at %d", cut)
		require.Equal(t, 2, n, "cut at %d", cut)
	}
	n, err := open(append(intact[:ends[1]:ends[1]], make([]byte, 4096)...))
	require.NoError(t, err)
	require.Equal(t, 2, n)
	for offset := range intact {
		data := append([]byte(nil), intact...)
		data[offset] ^= 0x10
		_, err := open(data)
		var damaged *journaler.Error
		require.ErrorAs(t, err, &damaged, "byte %d", offset)
		require.Equal(t, cherviltide.KindDamaged, damaged.Kind, "byte %d", offset)
		require.ErrorContains(t, err, path+" is damaged at offset", "byte %d", offset)
	}
}
