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
	contents := fileContents{self: newIdentity}
	data, err := j.files.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return contents, internalError("journaler.Open", err)
	default:
		if contents, err = decodeFile(path, data); err != nil {
			return contents, err
		}
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

// Write returns when the write is durable. After an error, all further writes fail and the journal can only be closed.
func (j *Journal) Write(w voter.Write) error {
	if j.failure != nil {
		return j.failure
	}
	err := j.write(w)
	if err != nil {
		j.failure = internalError("journaler.Write", err)
	}
	return j.failure
}

func (j *Journal) write(w voter.Write) error {
	if w.Snapshot != nil {
		return j.rewrite(w)
	}
	return appendRecord(j.file, record{Hard: w.Hard, Entries: w.Entries})
}

// rewrite writes everything to a new file and renames it over the old one.
func (j *Journal) rewrite(w voter.Write) error {
	path := filepath.Join(j.directory, newLogFileName)
	file, err := j.files.Create(path)
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file = file
	if err := appendRecord(file, record{Self: &j.self, Hard: w.Hard, Snapshot: w.Snapshot, Entries: w.Entries}); err != nil {
		return err
	}
	if err := j.files.Rename(path, filepath.Join(j.directory, logFileName)); err != nil {
		return err
	}
	return j.files.SyncDir(j.directory)
}

func appendRecord(file cherviltide.File, r record) error {
	b, err := encodeRecord(r)
	if err != nil {
		return err
	}
	n, err := file.Write(b)
	if err != nil {
		return err
	}
	if n < len(b) {
		return io.ErrShortWrite
	}
	return file.Sync()
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
