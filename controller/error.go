package controller

import (
	"errors"

	"cherviltide.example/cherviltide"
)

// Error is a failure of the control process.
type Error struct{ cherviltide.Fault }

// ReplacedError tells that this identity has no place in a group any more. After its folder was emptied the instance may
// join again under a new one.
type ReplacedError struct {
	cherviltide.Fault
	Group string
}

var (
	errRemoved    = errors.New("another identity has taken the place of this one")
	errLost       = errors.New("the entry was lost when the leader changed")
	errNoInstance = errors.New("no control instance with a disk answered")
	errDelegate   = errors.New("this control instance has no disk and follows others itself")
	errGroup      = errors.New("there is no such group")
	errNoMajority = errors.New("this instance has no majority of the control instances, nothing was accepted")
	errUnknown    = errors.New("no majority answered in time; send the edit again with the same edit ID")
)

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
