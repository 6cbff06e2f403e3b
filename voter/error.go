package voter

import (
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a refused operation or a damaged log.
type Error struct{ cherviltide.Fault }

// Causes of errors.
var (
	ErrTooLarge           = errors.New("entry exceeds the maximum size")
	ErrStopped            = errors.New("voter has stopped after a failed write")
	ErrTooMuchUncommitted = errors.New("too many bytes wait for a majority")
	ErrChangePending      = errors.New("another change of the voter set is in progress")
	errNotRemovable       = errors.New("instance is not a voter, or is the only one")
	errCommittedConflict  = errors.New("leader sent an entry that conflicts with a committed one")
)

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
