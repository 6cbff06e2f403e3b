// Package registrar is the state machine of the configuration log. It keeps the accepted revisions and the edits that
// made them.
package registrar

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/differ"
)

// MaxRevisions and MaxBytes bound the kept revisions, by number and by bytes of changed lines. An edit ID is known as
// long as its revision is kept.
const (
	MaxRevisions = 20_000
	MaxBytes     = 8 << 20
)

// MaxTextBytes bounds the text of an edit. Without it, edits that each add lines would let the text grow without limit.
const MaxTextBytes = 4 << 20

// decoder accepts log entries with any number of lines; the log bounds their size.
var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1<<31 - 1}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// Error is a refused edit or a damaged snapshot.
type Error struct{ cherviltide.Fault }

var (
	errEditIDReused = errors.New("edit ID was already used for an edit with a different text")
	errTextTooLarge = errors.New("text exceeds the maximum size")
)

// Edit is a change of the configuration that an operator requests.
type Edit struct {
	// ID is the same if an operator sends an edit again.
	ID       string
	Operator string
	// Base is the revision that the operator edited.
	Base uint64
	// Number is the operator's own version number of the content, for operators that number their files. Of numbered edits the
	// one with the highest number takes effect; Base then only tells which text the diff refers to.
	Number cherviltide.EditNumber
	Text   string
	Time   cherviltide.Millis
	// Former has the former services of all routes after this edit, as known to the leader.
	Former []cherviltide.FormerServices
}

// Revision is an accepted edit.
type Revision struct {
	// Number is 1 for the first accepted edit and grows by one.
	Number uint64
	Edit   Edit
}

// editRecord is an edit as a diff, as the log has it: Lines turns the previous text into the new one.
type editRecord struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Operator string
	Base     uint64
	Time     cherviltide.Millis
	Sum      uint64
	Lines    []differ.Hunk
	Number   cherviltide.EditNumber
	// Former has the former services of the routes that the edit changes in that respect.
	Former []cherviltide.FormerServices
}

// size returns the approximate size of the record in bytes.
func (e editRecord) size() int {
	n := len(e.ID) + len(e.Operator)
	for _, h := range e.Lines {
		for _, line := range h.Add {
			n += len(line)
		}
	}
	return n
}

// state holds the accepted revisions.
type state struct {
	// first is the number of the revision before the oldest kept one, and text is the text of the newest revision.
	first uint64
	text  string
	kept  []keptRevision
	// former has the former services of all routes at the newest revision.
	former []cherviltide.FormerServices
}

// snapshot is the encoded form of a state.
type snapshot struct {
	// First is the number of the revision before the oldest one of Kept.
	First uint64
	Text  string
	// Kept has the newest revision without its lines, or in a snapshot of a version without History, all kept revisions. A
	// reader without History then takes the older revisions for pruned ones.
	Kept   []editRecord
	Former []cherviltide.FormerServices
	// History has all kept revisions.
	History []keptRevision
}

// Registrar holds the accepted revisions: the text of the newest one, and a diff for each kept revision. It is not safe
// for concurrent use.
type Registrar struct {
	state state
	// byID maps the IDs of the kept edits to their revisions.
	byID map[string]uint64
	// keptBytes is the size of the kept revisions.
	keptBytes int
}

// New returns a registrar without revisions.
func New() *Registrar {
	return &Registrar{byID: map[string]uint64{}}
}

// Encode returns the log entry of an edit that is based on the current revision. It returns an error of kind Invalid for a
// text above MaxTextBytes.
func (r *Registrar) Encode(e Edit) ([]byte, error) {
	return EncodeEdit(r.Current(), e)
}

// EncodeEdit returns the log entry of an edit of a revision. It takes time that grows with the texts and needs no registrar, so
// it can run beside other work.
func EncodeEdit(base Revision, e Edit) ([]byte, error) {
	if len(e.Text) > MaxTextBytes {
		return nil, fault("registrar.EncodeEdit", cherviltide.KindInvalid, fmt.Errorf("%w: found %d bytes, maximum %d", errTextTooLarge, len(e.Text), MaxTextBytes))
	}
	lines := differ.Diff(strings.Split(base.Edit.Text, "\n"), strings.Split(e.Text, "\n"))
	return cbor.Marshal(editRecord{
		ID: e.ID, Operator: e.Operator, Base: e.Base, Time: e.Time, Sum: xxhash.Sum64String(e.Text), Lines: lines,
		Number: e.Number, Former: cherviltide.ChangedFormerServices(base.Edit.Former, e.Former),
	})
}

func (r *Registrar) currentNumber() uint64 {
	return r.state.first + uint64(len(r.state.kept))
}

// Current returns the newest revision; its number is 0 if there is none.
func (r *Registrar) Current() Revision {
	if len(r.state.kept) == 0 {
		return Revision{Number: r.currentNumber(), Edit: Edit{Text: r.state.text}}
	}
	e := r.state.kept[len(r.state.kept)-1]
	return Revision{
		Number: r.currentNumber(),
		Edit:   Edit{ID: e.ID, Operator: e.Operator, Base: e.Base, Number: e.Number, Time: e.Time, Text: r.state.text, Former: r.state.former},
	}
}

// Apply applies a log entry. It accepts an edit that is based on the current revision; other edits change nothing.
func (r *Registrar) Apply(_ uint64, data []byte) {
	var e editRecord
	if err := decoder.Unmarshal(data, &e); err != nil {
		return
	}
	if _, accepted := r.byID[e.ID]; accepted || e.Base != r.currentNumber() {
		return
	}
	if e.Number.IsSet() && !e.Number.IsAbove(r.Current().Edit.Number) {
		return
	}
	before := strings.Split(r.state.text, "\n")
	lines, ok := differ.Apply(before, e.Lines)
	text := strings.Join(lines, "\n")
	if !ok || xxhash.Sum64String(text) != e.Sum {
		return
	}
	e.Lines = differ.Invert(before, e.Lines)
	kept, err := newKeptRevision(e)
	if err != nil {
		panic(err) // Encoding strings and numbers into memory cannot fail.
	}
	r.state.text, r.state.former = text, cherviltide.MergeFormerServices(r.state.former, e.Former)
	r.state.kept = append(r.state.kept, kept)
	r.byID[kept.ID] = r.currentNumber()
	r.keptBytes += kept.Size
	r.prune()
}

// prune drops the older half of the revisions if they exceed a bound. The newest one is always kept.
func (r *Registrar) prune() {
	if len(r.state.kept) <= MaxRevisions && r.keptBytes <= MaxBytes {
		return
	}
	half := len(r.state.kept) / 2
	for _, e := range r.state.kept[:half] {
		delete(r.byID, e.ID)
		r.keptBytes -= e.Size
	}
	r.state.first += uint64(half)
	r.state.kept = append([]keptRevision(nil), r.state.kept[half:]...)
}

// EditResult returns the revision that an edit became, or an error of kind Conflict with the diff between its text and
// the current one.
func (r *Registrar) EditResult(e Edit) (uint64, error) {
	number, accepted := r.byID[e.ID]
	if !accepted {
		return 0, fault("registrar.EditResult", cherviltide.KindConflict, fmt.Errorf(
			"base revision is %d, current revision is %d; diff from the current text to the sent one:\n%s",
			e.Base, r.currentNumber(), differ.Format(r.state.text, e.Text)))
	}
	if r.state.kept[number-r.state.first-1].Sum != xxhash.Sum64String(e.Text) {
		return 0, fault("registrar.EditResult", cherviltide.KindConflict, errEditIDReused)
	}
	return number, nil
}

// HasEdit reports whether an edit with this ID was accepted.
func (r *Registrar) HasEdit(id string) bool {
	_, ok := r.byID[id]
	return ok
}

// Snapshot returns the encoded state for Restore.
func (r *Registrar) Snapshot() ([]byte, error) {
	s := snapshot{First: r.state.first, Text: r.state.text, Former: r.state.former, History: r.state.kept}
	if n := len(s.History); n > 0 {
		k := s.History[n-1]
		s.First += uint64(n) - 1
		s.Kept = []editRecord{{ID: k.ID, Operator: k.Operator, Base: k.Base, Time: k.Time, Sum: k.Sum, Number: k.Number}}
	}
	return cbor.Marshal(s)
}

// Restore replaces the state by a snapshot.
func (r *Registrar) Restore(_ uint64, data []byte) error {
	var s snapshot
	if err := decoder.Unmarshal(data, &s); err != nil {
		return fault("registrar.Restore", cherviltide.KindDamaged, err)
	}
	next := state{first: s.First + uint64(len(s.Kept)-len(s.History)), text: s.Text, kept: s.History, former: s.Former}
	if len(s.History) == 0 {
		next.first = s.First
		for _, e := range s.Kept {
			kept, err := newKeptRevision(e)
			if err != nil {
				return fault("registrar.Restore", cherviltide.KindDamaged, err)
			}
			next.kept = append(next.kept, kept)
		}
	}
	r.state, r.keptBytes = next, 0
	r.byID = make(map[string]uint64, len(next.kept))
	for i, e := range next.kept {
		r.keptBytes += e.Size
		r.byID[e.ID] = next.first + uint64(i) + 1
	}
	return nil
}

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
