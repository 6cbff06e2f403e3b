// Package journaler stores the state of a voter on disk: one directory per group, with one file of checksummed records.
package journaler

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"

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
	j.self = contents.self
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

// writeNewFile writes the identity and a state to a new file. It leaves no file after an error.
func (j *Journal) writeNewFile(w voter.Write) (cherviltide.File, error) {
	path := filepath.Join(j.directory, newLogFileName)
	file, err := j.files.Create(path)
	if err != nil {
		return nil, err
	}
	err = writeRecord(file, record{Self: &j.self, Hard: w.Hard, Snapshot: w.Snapshot})
	for rest := w.Entries; len(rest) > 0 && err == nil; {
		n := batchLength(rest)
		err = writeRecord(file, record{Hard: w.Hard, Entries: rest[:n]})
		rest = rest[n:]
	}
	if err == nil {
		err = file.Sync()
	}
	if err != nil {
		_ = file.Close()
		_ = j.files.Remove(path)
		return nil, err
	}
	return file, nil
}

// replaceFile renames the new file over the old one. After an error it is not known which of them a restart finds.
func (j *Journal) replaceFile(file cherviltide.File) error {
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file = file
	if err := j.files.Rename(filepath.Join(j.directory, newLogFileName), filepath.Join(j.directory, logFileName)); err != nil {
		return err
	}
	return j.files.SyncDir(j.directory)
}

func (j *Journal) appendEntries(hard voter.HardState, entries []voter.Entry) error {
	if err := writeRecord(j.file, record{Hard: hard, Entries: entries}); err != nil {
		return err
	}
	return j.file.Sync()
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

// writeRecord writes a record without waiting until it is durable.
func writeRecord(file cherviltide.File, r record) error {
	header, payload, err := encodeRecord(r)
	if err != nil {
		return err
	}
	for _, b := range [][]byte{header, payload} {
		n, err := file.Write(b)
		if err != nil {
			return err
		}
		if n < len(b) {
			return io.ErrShortWrite
		}
	}
	return nil
}

// Close closes the file and releases the lock on the directory.
func (j *Journal) Close() error {
	var first error
	if j.file != nil {
		first = j.file.Close()
	}
	if j.lock != nil {
		first = errors.Join(first, j.lock.Close())
	}
	return first
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
