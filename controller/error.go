package controller

import (
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a failed operation of a control instance.
type Error struct{ cherviltide.Fault }

// ReplacedError means that this voter identity was removed from a group. Once the group's directory has been emptied, the
// instance can join again under a new identity.
type ReplacedError struct {
	cherviltide.Fault
	Group string
}

var (
	errRemoved        = errors.New("this voter identity was removed from the group")
	errEntryLost      = errors.New("the entry was lost when the leader changed")
	errNoVoterKnown   = errors.New("no voting control instance is known")
	errNoLeaderKnown  = errors.New("no leader of the configuration is known")
	errIsDelegate     = errors.New("this control instance has no disk and serves no followers")
	errUnknownGroup   = errors.New("unknown replicated group")
	errNoMajority     = errors.New("this instance has no majority of the control instances; nothing was accepted")
	errBaseChanged    = errors.New("another edit was accepted meanwhile")
	errOutcomeUnknown = errors.New("no majority answered in time; send the edit again with the same edit ID")
)

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
