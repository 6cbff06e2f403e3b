package commands

import (
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a failure of a command.
type Error struct{ cherviltide.Fault }

// usageError is an error in the command line, found by go-arg or by a command.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

// readError turns the unknown outcome of a read into KindUnavailable: a read changes nothing, so its effect is never
// unknown.
func readError(err error) error {
	if !errors.Is(err, errOutcomeUnknown) {
		return err
	}
	return &Error{cherviltide.Fault{Op: "commands.readError", Kind: cherviltide.KindUnavailable, Err: errors.New("no control instance answered: " + err.Error())}}
}
