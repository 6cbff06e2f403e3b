package picker

import "cherviltide.example/cherviltide"

// Error is a failure to write or read a table snapshot.
type Error struct{ cherviltide.Fault }

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
