// Package registrar is the state machine of the configuration log: accepted revisions and the edits that made them.
package registrar

import (
	"errors"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"cherviltide.example/cherviltide"
)

// MaxRevisions and MaxBytes bound the revisions that are kept, by number and by bytes of changed lines. An edit ID is
// known as long as its revision is kept.
const (
	MaxRevisions = 20_000
	MaxBytes     = 8 << 20
)

// decoding accepts entries with any number of lines; their size is bounded by the log.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1<<31 - 1}.DecMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}()

// Error is a refused edit.
type Error struct{ cherviltide.Fault }

var errReused = errors.New("edit ID was used before with another content")

// Edit is a change that an operator asks for.
type Edit struct {
	// ID is the same when an operator sends an edit again.
	ID       string
	Operator string
	// Base is the revision that the operator edited.
	Base uint64
	// Number is the operator's own number of the content, for operators that number their files; it is 0 otherwise.
	// Among numbered edits the highest number takes effect, and the base only tells what the lines are relative to.
	Number uint64
	Text   string
	Time   cherviltide.Millis
	// Former has the services that routes had before this edit, as the leader knew them.
	Former []cherviltide.FormerServices
}

// Revision is an accepted edit.
type Revision struct {
	// Number is 1 for the first accepted edit and grows by one.
	Number uint64
	Edit   Edit
}

// entry is an edit. In the log, Lines turns the revision before into this one; in the state it is the way back.
type entry struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Operator string
	Base     uint64
	Time     cherviltide.Millis
	Sum      uint64
	Lines    []Span
	Number   uint64
	// Former is of the log only; the state needs that of the newest revision alone.
	Former []cherviltide.FormerServices
}

// size returns the approximate number of bytes that the entry takes.
func (e entry) size() int {
	n := len(e.ID) + len(e.Operator)
	for _, s := range e.Lines {
		for _, line := range s.Add {
			n += len(line)
		}
	}
	return n
}

// state is the content of a snapshot.
type state struct {
	// First is the number of the revision before the oldest kept one, and Text the newest text.
	First uint64
	Text  string
	Kept  []entry
	// Former has the services that routes had before the newest revision.
	Former []cherviltide.FormerServices
}

// Registrar holds the accepted revisions: the newest text, and what each kept revision changed. One goroutine uses it.
type Registrar struct {
	state state
	// byID has the revision that each known edit became.
	byID map[string]uint64
	// bytes is the size of the kept entries.
	bytes int
}

// New returns a registrar without revisions.
func New() *Registrar {
	return &Registrar{byID: map[string]uint64{}}
}

// Encode returns the log entry of an edit whose base is the current revision.
func (r *Registrar) Encode(e Edit) ([]byte, error) {
	lines := difference(strings.Split(r.state.Text, "\n"), strings.Split(e.Text, "\n"))
	return cbor.Marshal(entry{
		ID: e.ID, Operator: e.Operator, Base: e.Base, Time: e.Time, Sum: xxhash.Sum64String(e.Text), Lines: lines,
		Number: e.Number, Former: e.Former,
	})
}

func (r *Registrar) number() uint64 {
	return r.state.First + uint64(len(r.state.Kept))
}

// Current returns the newest revision; its number is 0 when there is none.
func (r *Registrar) Current() Revision {
	if len(r.state.Kept) == 0 {
		return Revision{Number: r.number(), Edit: Edit{Text: r.state.Text}}
	}
	e := r.state.Kept[len(r.state.Kept)-1]
	return Revision{
		Number: r.number(),
		Edit:   Edit{ID: e.ID, Operator: e.Operator, Base: e.Base, Number: e.Number, Time: e.Time, Text: r.state.Text, Former: r.state.Former},
	}
}

// Apply accepts an edit whose base is the current revision. Other edits change nothing.
func (r *Registrar) Apply(_ uint64, data []byte) {
	var e entry
	if err := decoding.Unmarshal(data, &e); err != nil {
		return
	}
	if _, known := r.byID[e.ID]; known || e.Base != r.number() {
		return
	}
	if e.Number > 0 && e.Number <= r.Current().Edit.Number {
		return
	}
	before := strings.Split(r.state.Text, "\n")
	lines, ok := patch(before, e.Lines)
	text := strings.Join(lines, "\n")
	if !ok || xxhash.Sum64String(text) != e.Sum {
		return
	}
	r.state.Text, r.state.Former, e.Former = text, e.Former, nil
	e.Lines = reverse(before, e.Lines)
	r.state.Kept = append(r.state.Kept, e)
	r.byID[e.ID] = r.number()
	r.bytes += e.size()
	r.forget()
}

// forget drops the older half of the revisions when they exceed a bound. The newest one always stays.
func (r *Registrar) forget() {
	if len(r.state.Kept) <= MaxRevisions && r.bytes <= MaxBytes {
		return
	}
	half := len(r.state.Kept) / 2
	for _, e := range r.state.Kept[:half] {
		delete(r.byID, e.ID)
		r.bytes -= e.size()
	}
	r.state.First += uint64(half)
	r.state.Kept = append([]entry(nil), r.state.Kept[half:]...)
}

// EditResult returns the revision that an edit became, or a fault of kind Conflict that shows how its text differs from the
// current one.
func (r *Registrar) EditResult(e Edit) (uint64, error) {
	number, known := r.byID[e.ID]
	if !known {
		return 0, fault("registrar.EditResult", cherviltide.KindConflict, fmt.Errorf(
			"base revision is %d, current revision is %d; from the current file to the sent one:\n%s",
			e.Base, r.number(), Difference(r.state.Text, e.Text)))
	}
	if r.state.Kept[number-r.state.First-1].Sum != xxhash.Sum64String(e.Text) {
		return 0, fault("registrar.EditResult", cherviltide.KindConflict, errReused)
	}
	return number, nil
}

// HasEdit reports whether an edit with this ID was accepted.
func (r *Registrar) HasEdit(id string) bool {
	_, ok := r.byID[id]
	return ok
}

// Snapshot returns the state in a form that Restore reads.
func (r *Registrar) Snapshot() ([]byte, error) {
	return cbor.Marshal(r.state)
}

// Restore replaces the state by a snapshot.
func (r *Registrar) Restore(_ uint64, snapshot []byte) error {
	var s state
	if err := decoding.Unmarshal(snapshot, &s); err != nil {
		return fault("registrar.Restore", cherviltide.KindDamaged, err)
	}
	r.state, r.bytes = s, 0
	r.byID = make(map[string]uint64, len(s.Kept))
	for i, e := range s.Kept {
		r.bytes += e.size()
		r.byID[e.ID] = s.First + uint64(i) + 1
	}
	return nil
}

func fault(op string, kind cherviltide.ErrorKind, err error) error {
	return &Error{cherviltide.Fault{Op: op, Kind: kind, Err: err}}
}
