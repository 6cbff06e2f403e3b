// Package journaler stores the state of a voter on disk: one directory per group, with one file of checksummed records.
package journaler

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/voter"
)

const (
	logFileName    = "log"
	newLogFileName = "log.new"
	lockFileName   = "lock"
)

// Error is a failure to read or write the stored state.
type Error struct{ cherviltide.Fault }

var errForeignDirectory = errors.New("directory belongs to another instance")

// ErrNotCompacted means that a compaction failed, for example because the disk has no room for a second file. The entries of
// the write are durable in the old file, and the journal remains usable.
var ErrNotCompacted = errors.New("the log was not compacted")

// Journal is the open directory of a voter. It is not safe for concurrent use.
type Journal struct {
	files     cherviltide.FileSystem
	directory string
	lock      io.Closer
	self      voter.ID
	file      cherviltide.File
	layout    layout
	// size is the length of the file in bytes; all of it was synced but a mark at its end.
	size int
	// isMarked is true when nothing was synced since the last mark, or since the file was created.
	isMarked bool
	// droppedBytes is the length of the torn write that Open left out.
	droppedBytes int
	// failure is the error of the first failed write; nothing is written after it.
	failure error
}

// Open opens a directory, or creates it with the given identity. It returns the identity and the state that the
// directory holds. It never appends to the file of an earlier run but copies its contents to a new file first: after a
// failed sync, the operating system may return data that is not on the disk.
func Open(files cherviltide.FileSystem, directory string, newIdentity voter.ID) (*Journal, voter.ID, voter.StoredState, error) {
	j := &Journal{files: files, directory: directory}
	contents, err := j.open(newIdentity)
	if err != nil {
		_ = j.Close()
		return nil, voter.ID{}, voter.StoredState{}, err
	}
	return j, contents.self, contents.stored, nil
}

func (j *Journal) open(newIdentity voter.ID) (fileContents, error) {
	var err error
	if err = j.files.MkdirAll(j.directory); err != nil {
		return fileContents{}, internalError("journaler.Open", err)
	}
	if j.lock, err = j.files.Lock(filepath.Join(j.directory, lockFileName)); err != nil {
		return fileContents{}, internalError("journaler.Open", fmt.Errorf("%s is in use: %w", j.directory, err))
	}
	path := filepath.Join(j.directory, logFileName)
	contents, err := j.readFile(path, newIdentity)
	if err != nil {
		return contents, err
	}
	if contents.self.Name != newIdentity.Name {
		return contents, fault("journaler.Open", cherviltide.KindInvalid, fmt.Errorf("%w: %s", errForeignDirectory, contents.self.Name))
	}
	j.self, j.droppedBytes = contents.self, contents.tornBytes
	if err := j.files.SyncDir(filepath.Dir(j.directory)); err != nil {
		return contents, internalError("journaler.Open", err)
	}
	stored := contents.stored
	return contents, j.Write(voter.Write{Hard: stored.Hard, Snapshot: &stored.Snapshot, Entries: stored.Entries})
}

// readFile returns the contents of the log file; without a file it returns the new identity and no state.
func (j *Journal) readFile(path string, newIdentity voter.ID) (fileContents, error) {
	file, err := j.files.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return fileContents{self: newIdentity}, nil
	}
	if err != nil {
		return fileContents{}, internalError("journaler.Open", err)
	}
	defer func() { _ = file.Close() }()
	return decodeFile(path, file)
}

// Write returns when the write is durable. After an error, all further writes fail and the journal can only be closed, unless
// the error wraps ErrNotCompacted.
func (j *Journal) Write(w voter.Write) error {
	if j.failure != nil {
		return j.failure
	}
	err := j.write(w)
	if errors.Is(err, ErrNotCompacted) {
		return fault("journaler.Write", cherviltide.KindUnavailable, err)
	}
	if err != nil {
		j.failure = internalError("journaler.Write", err)
	}
	return j.failure
}

func (j *Journal) write(w voter.Write) error {
	if w.Snapshot == nil {
		return j.appendEntries(w.Hard, w.Entries)
	}
	file, err := j.writeNewFile(w)
	switch {
	case err == nil:
		return j.replaceFile(file)
	case !w.IsCompaction:
		return err
	}
	// The old file has everything but the new entries.
	if err := j.appendEntries(w.Hard, w.NewEntries()); err != nil {
		return err
	}
	return fmt.Errorf("%w: %w", ErrNotCompacted, err)
}

// writeNewFile writes the identity and a state to a new file, and its header last, which has the length of all of it. It leaves no
// file after an error.
func (j *Journal) writeNewFile(w voter.Write) (*newFile, error) {
	path := filepath.Join(j.directory, newLogFileName)
	file, err := j.files.Create(path)
	if err != nil {
		return nil, err
	}
	f := &newFile{File: file, layout: layout{id: rand.Uint64(), state: stateOpen, created: fileHeaderSize}}
	if err := f.fill(record{Self: &j.self, Hard: w.Hard, Snapshot: w.Snapshot}, w.Entries); err != nil {
		_ = file.Close()
		_ = j.files.Remove(path)
		return nil, err
	}
	return f, nil
}

// newFile is a file that has not replaced the old one yet.
type newFile struct {
	cherviltide.File
	// layout.created is the length so far.
	layout layout
}

// fill writes and syncs a record and entries.
func (f *newFile) fill(first record, entries []voter.Entry) error {
	if err := writeAll(f.File, make([]byte, fileHeaderSize)); err != nil {
		return err
	}
	if err := f.append(first); err != nil {
		return err
	}
	for rest := entries; len(rest) > 0; {
		n := batchLength(rest)
		if err := f.append(record{Hard: first.Hard, Entries: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	if err := overwrite(f.File, 0, f.layout.encode()); err != nil {
		return err
	}
	if _, err := f.Seek(int64(f.layout.created), io.SeekStart); err != nil {
		return err
	}
	return f.Sync()
}

func (f *newFile) append(r record) error {
	n, err := writeRecord(f.File, f.layout, f.layout.created, r)
	f.layout.created += n
	return err
}

// replaceFile renames the new file over the old one. After an error it is not known which of them a restart finds.
func (j *Journal) replaceFile(f *newFile) error {
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file, j.layout, j.size, j.isMarked = f.File, f.layout, f.layout.created, true
	if err := j.files.Rename(filepath.Join(j.directory, newLogFileName), filepath.Join(j.directory, logFileName)); err != nil {
		return err
	}
	return j.files.SyncDir(j.directory)
}

func (j *Journal) appendEntries(hard voter.HardState, entries []voter.Entry) error {
	n, err := writeRecord(j.file, j.layout, j.size, record{Hard: hard, Entries: entries})
	if err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	j.size, j.isMarked = j.size+n, false
	return nil
}

// MarkSynced writes a mark behind the last write, unless there is one. It proves to the next Open that the write was durable, so
// that damage of it is not taken for a torn write. It needs no sync, and a write does not need it to be durable: call it when
// the result of the write has been reported.
func (j *Journal) MarkSynced() error {
	if j.failure != nil || j.file == nil || j.isMarked {
		return j.failure
	}
	mark := j.layout.frame(j.size, nil)
	if err := writeAll(j.file, mark); err != nil {
		// The next record would follow a part of the mark.
		j.failure = internalError("journaler.MarkSynced", err)
		return j.failure
	}
	j.size, j.isMarked = j.size+len(mark), true
	return nil
}

// DroppedBytes returns the length of the torn write that Open found at the end of the file and left out.
func (j *Journal) DroppedBytes() int {
	return j.droppedBytes
}

// maxBatchBytes bounds the entries of one record of a new file, so that encoding it takes little memory.
const maxBatchBytes = 1 << 20

// batchLength returns how many entries are written as one record.
func batchLength(entries []voter.Entry) int {
	size := 0
	for i, e := range entries {
		if size += len(e.Data); i > 0 && size > maxBatchBytes {
			return i
		}
	}
	return len(entries)
}

// writeRecord writes a record at the end of a file with one write, without waiting until it is durable. It returns its length.
func writeRecord(file io.Writer, l layout, offset int, r record) (int, error) {
	payload, err := cbor.Marshal(r)
	if err != nil {
		return 0, err
	}
	b := l.frame(offset, payload)
	return len(b), writeAll(file, b)
}

func writeAll(file io.Writer, b []byte) error {
	n, err := file.Write(b)
	if err == nil && n < len(b) {
		err = io.ErrShortWrite
	}
	return err
}

// overwrite replaces bytes of a file. The position in the file is then behind them.
func overwrite(file io.WriteSeeker, offset int64, b []byte) error {
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		return err
	}
	return writeAll(file, b)
}

// Close closes the file and releases the lock on the directory. Unless a write failed, it leaves the file marked as closed, so that
// the next Open finds any damage.
func (j *Journal) Close() error {
	var first error
	if j.file != nil {
		first = errors.Join(j.markClosed(), j.file.Close())
	}
	if j.lock != nil {
		first = errors.Join(first, j.lock.Close())
	}
	return first
}

func (j *Journal) markClosed() error {
	if j.failure != nil {
		return nil
	}
	if err := j.MarkSynced(); err != nil {
		return err
	}
	if err := j.file.Sync(); err != nil {
		return err
	}
	return overwrite(j.file, stateOffset, []byte{byte(stateClosed)})
}

// Discard removes the state in a directory that no journal has open. The next Open starts with a new identity.
func Discard(files cherviltide.FileSystem, directory string) error {
	for _, name := range []string{logFileName, newLogFileName} {
		if err := files.Remove(filepath.Join(directory, name)); err != nil {
			return internalError("journaler.Discard", err)
		}
	}
	if err := files.SyncDir(directory); err != nil {
		return internalError("journaler.Discard", err)
	}
	return nil
}

func internalError(op string, err error) error {
	return fault(op, cherviltide.KindInternal, err)
}

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
