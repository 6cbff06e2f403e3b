package journaler

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"golang.org/x/sys/unix"

	"cherviltide.example/cherviltide"
)

// OSFileSystem is the file system of the operating system.
type OSFileSystem struct{}

// NewOSFileSystem returns the file system of the operating system.
func NewOSFileSystem() OSFileSystem {
	return OSFileSystem{}
}

// MkdirAll creates a folder and its parents, unless they exist.
func (OSFileSystem) MkdirAll(path string) error {
	return os.MkdirAll(path, 0o700)
}

// Create creates an empty file or empties an existing one.
func (OSFileSystem) Create(path string) (cherviltide.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// ReadFile returns the content of a file.
func (OSFileSystem) ReadFile(path string) ([]byte, error) {
	return os.ReadFile(path)
}

// Rename replaces the file at the new path at once.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove removes a file.
func (OSFileSystem) Remove(path string) error {
	err := os.Remove(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncDir makes the names in a folder durable.
func (OSFileSystem) SyncDir(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

// Lock takes a lock on a file that only one process can hold.
func (OSFileSystem) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = file.Close()
		return nil, err
	}
	return file, nil
}
