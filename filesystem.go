package cherviltide

import "io"

// FileSystem has the file system operations that durable state needs. Paths are those of the operating system.
type FileSystem interface {
	// MkdirAll creates a directory and its parents, unless they exist.
	MkdirAll(path string) error
	// Create creates a file or truncates an existing one.
	Create(path string) (File, error)
	// Open opens a file for reading. It returns an error that wraps fs.ErrNotExist when there is no such file.
	Open(path string) (io.ReadCloser, error)
	// Rename atomically replaces the file at the new path. It is durable after SyncDir.
	Rename(from, to string) error
	// Remove removes a file. It is durable after SyncDir. Removing a file that does not exist is not an error.
	Remove(path string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(path string) error
	// Lock acquires an exclusive lock on a file, which only one process can hold. It does not block.
	Lock(path string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	io.Seeker
	// Sync returns once all written data is durable.
	Sync() error
}
