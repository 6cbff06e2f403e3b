package commands

import (
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a failure of a command.
type Error struct{ cherviltide.Fault }

// usageError is a mistake on the command line that go-arg cannot find.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }

// unwrapUnknown turns a lost answer to a read into a refusal: a read changes nothing, so its effect is never unknown.
func unwrapUnknown(err error) error {
	if !errors.Is(err, errUnknown) {
		return err
	}
	return &Error{cherviltide.Fault{Op: "commands.read", Kind: cherviltide.KindUnavailable, Err: errors.New("no control instance answered: " + err.Error())}}
}
