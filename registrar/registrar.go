// Package registrar is the state machine of the configuration log: accepted revisions and the edits that made them.
package registrar

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
)

// Error is a refused edit.
type Error struct{ cherviltide.Fault }

var errReused = errors.New("edit ID was used before with another content")

// Edit is an entry of the configuration log.
type Edit struct {
	// ID is the same when an operator sends an edit again.
	ID       string
	Operator string
	// Base is the revision that the operator edited.
	Base uint64
	Text string
	Time cherviltide.Millis
}

// Revision is an accepted edit.
type Revision struct {
	// Number is 1 for the first accepted edit and grows by one.
	Number uint64
	Edit   Edit
}

// Registrar holds the accepted revisions. One goroutine uses it.
type Registrar struct {
	// revisions has Number i+1 at index i.
	revisions []Revision
	byID      map[string]uint64
}

// New returns a registrar without revisions.
func New() *Registrar {
	return &Registrar{byID: map[string]uint64{}}
}

// Encode returns the log entry of an edit.
func (r *Registrar) Encode(e Edit) ([]byte, error) {
	return cbor.Marshal(e)
}

// Current returns the newest revision; its number is 0 when there is none.
func (r *Registrar) Current() Revision {
	if len(r.revisions) == 0 {
		return Revision{}
	}
	return r.revisions[len(r.revisions)-1]
}

// Apply accepts an edit whose base is the current revision. Other edits change nothing.
func (r *Registrar) Apply(_ uint64, entry []byte) {
	var e Edit
	if err := cbor.Unmarshal(entry, &e); err != nil {
		return
	}
	if _, known := r.byID[e.ID]; known || e.Base != r.Current().Number {
		return
	}
	revision := Revision{Number: e.Base + 1, Edit: e}
	r.revisions = append(r.revisions, revision)
	r.byID[e.ID] = revision.Number
}

// Result returns the revision that an edit became, or why it was refused.
func (r *Registrar) Result(e Edit) (uint64, error) {
	number, known := r.byID[e.ID]
	if !known {
		return 0, fault("registrar.Result", cherviltide.KindConflict,
			fmt.Errorf("base revision is %d, current revision is %d", e.Base, r.Current().Number))
	}
	if r.revisions[number-1].Edit.Text != e.Text {
		return 0, fault("registrar.Result", cherviltide.KindConflict, errReused)
	}
	return number, nil
}

// Known reports whether an edit with this ID was accepted.
func (r *Registrar) Known(id string) bool {
	_, ok := r.byID[id]
	return ok
}

// Snapshot returns the state in a form that Restore reads.
func (r *Registrar) Snapshot() ([]byte, error) {
	return cbor.Marshal(r.revisions)
}

// Restore replaces the state by a snapshot.
func (r *Registrar) Restore(_ uint64, snapshot []byte) error {
	var revisions []Revision
	if err := cbor.Unmarshal(snapshot, &revisions); err != nil {
		return fault("registrar.Restore", cherviltide.KindDamaged, err)
	}
	r.revisions = revisions
	r.byID = make(map[string]uint64, len(revisions))
	for _, x := range revisions {
		r.byID[x.Edit.ID] = x.Number
	}
	return nil
}

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
