package voter

import (
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a refused operation or a broken log.
type Error struct{ cherviltide.Fault }

// Causes of refusals.
var (
	ErrTooLarge = errors.New("entry exceeds the largest size")
	ErrFailed   = errors.New("voter has stopped after a failed write")
	ErrPending  = errors.New("another change of the voters is under way")
	errNotVoter = errors.New("not one of several voters")
	errConflict = errors.New("leader contradicts a committed entry")
)

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
