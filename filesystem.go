package cherviltide

import "io"

// FileSystem is the part of a file system that durable state needs. Paths are those of the operating system.
type FileSystem interface {
	// MkdirAll creates a folder and its parents, unless they exist.
	MkdirAll(path string) error
	// Create creates an empty file or empties an existing one.
	Create(path string) (File, error)
	// ReadFile returns an error that wraps fs.ErrNotExist when there is no such file.
	ReadFile(path string) ([]byte, error)
	// Rename replaces the file at the new path at once. It is durable after SyncDir.
	Rename(from, to string) error
	// Remove removes a file. It is durable after SyncDir. A file that does not exist is no error.
	Remove(path string) error
	// SyncDir makes the names in a folder durable.
	SyncDir(path string) error
	// Lock takes a lock on a file that only one process can hold. It does not wait.
	Lock(path string) (io.Closer, error)
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	// Sync returns after everything written is durable.
	Sync() error
}
