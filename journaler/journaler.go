// Package journaler keeps the state of a voter on disk: one folder for each group with one file of checksummed records.
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
	logName  = "log"
	newName  = "log.new"
	lockName = "lock"
)

// Error is a failure to read or write durable state.
type Error struct{ cherviltide.Fault }

var errName = errors.New("folder belongs to another instance")

// Journal is the open folder of a voter. One goroutine uses it.
type Journal struct {
	files  cherviltide.FileSystem
	folder string
	lock   io.Closer
	self   voter.ID
	file   cherviltide.File
	// failed is set by the first failed write; nothing is written after it.
	failed error
}

// Open opens a folder, or creates it with the given identity. It returns the identity and state that the folder holds.
// A file that was open in an earlier run is never continued: its content moves to a new file first, because after a
// failed sync the operating system may show data that is not on the disk.
func Open(files cherviltide.FileSystem, folder string, fresh voter.ID) (*Journal, voter.ID, voter.StoredState, error) {
	j := &Journal{files: files, folder: folder}
	c, err := j.open(fresh)
	if err != nil {
		_ = j.Close()
		return nil, voter.ID{}, voter.StoredState{}, err
	}
	return j, c.self, c.stored, nil
}

func (j *Journal) open(fresh voter.ID) (content, error) {
	var err error
	if err = j.files.MkdirAll(j.folder); err != nil {
		return content{}, internal("journaler.Open", err)
	}
	if j.lock, err = j.files.Lock(filepath.Join(j.folder, lockName)); err != nil {
		return content{}, internal("journaler.Open", fmt.Errorf("%s is in use: %w", j.folder, err))
	}
	path := filepath.Join(j.folder, logName)
	c := content{self: fresh}
	data, err := j.files.ReadFile(path)
	switch {
	case errors.Is(err, fs.ErrNotExist):
	case err != nil:
		return c, internal("journaler.Open", err)
	default:
		if c, err = decode(path, data); err != nil {
			return c, err
		}
	}
	if c.self.Name != fresh.Name {
		return c, fault("journaler.Open", cherviltide.KindInvalid, fmt.Errorf("%w: %s", errName, c.self.Name))
	}
	j.self = c.self
	if err := j.files.SyncDir(filepath.Dir(j.folder)); err != nil {
		return c, internal("journaler.Open", err)
	}
	s := c.stored
	return c, j.Write(voter.Write{Hard: s.Hard, Snapshot: &s.Snapshot, Entries: s.Entries})
}

// Write returns after a write is durable. After an error nothing more is written, and only Close is of use.
func (j *Journal) Write(w voter.Write) error {
	if j.failed != nil {
		return j.failed
	}
	err := j.write(w)
	if err != nil {
		j.failed = internal("journaler.Write", err)
	}
	return j.failed
}

func (j *Journal) write(w voter.Write) error {
	if w.Snapshot != nil {
		return j.replace(w)
	}
	return appendTo(j.file, record{Hard: w.Hard, Entries: w.Entries})
}

// replace writes a new file with everything and puts it in the place of the old one.
func (j *Journal) replace(w voter.Write) error {
	path := filepath.Join(j.folder, newName)
	file, err := j.files.Create(path)
	if err != nil {
		return err
	}
	if j.file != nil {
		_ = j.file.Close()
	}
	j.file = file
	if err := appendTo(file, record{Self: &j.self, Hard: w.Hard, Snapshot: w.Snapshot, Entries: w.Entries}); err != nil {
		return err
	}
	if err := j.files.Rename(path, filepath.Join(j.folder, logName)); err != nil {
		return err
	}
	return j.files.SyncDir(j.folder)
}

func appendTo(file cherviltide.File, r record) error {
	b, err := encode(r)
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

// Close gives the folder back.
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

// Discard removes the state in a folder that no journal has open. The next Open starts under a new identity.
func Discard(files cherviltide.FileSystem, folder string) error {
	for _, name := range []string{logName, newName} {
		if err := files.Remove(filepath.Join(folder, name)); err != nil {
			return internal("journaler.Discard", err)
		}
	}
	if err := files.SyncDir(folder); err != nil {
		return internal("journaler.Discard", err)
	}
	return nil
}

func internal(op string, err error) error {
	return fault(op, cherviltide.KindInternal, err)
}

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
