package picker

import "cherviltide.example/cherviltide"

// Error is a table snapshot that cannot be written or read.
type Error struct{ cherviltide.Fault }

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
