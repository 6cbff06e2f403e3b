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

// MkdirAll creates a directory and its parents if they do not exist.
func (OSFileSystem) MkdirAll(path string) error {
	return os.MkdirAll(path, 0o700)
}

// Create creates a file, or truncates an existing one.
func (OSFileSystem) Create(path string) (cherviltide.File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Open opens a file for reading.
func (OSFileSystem) Open(path string) (io.ReadCloser, error) {
	return os.Open(path)
}

// Rename renames a file and atomically replaces an existing file at the new path.
func (OSFileSystem) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove removes a file. It is not an error if the file does not exist.
func (OSFileSystem) Remove(path string) error {
	err := os.Remove(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	return err
}

// SyncDir makes the entries of a directory durable.
func (OSFileSystem) SyncDir(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }()
	return directory.Sync()
}

// Lock locks a file exclusively, without waiting. Closing the result releases the lock.
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
