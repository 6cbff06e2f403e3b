package messenger

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

var errBase = errors.New("line delta does not fit the text")

// LineDelta is the difference between two texts: the lines between an equal head and an equal tail are replaced.
type LineDelta struct {
	_ struct{} `cbor:",toarray"`
	// Head and Tail are the numbers of equal lines at the start and at the end.
	Head, Tail int
	// Lines replace what lies between, each with its line end.
	Lines []string
}

// NewLineDelta returns the difference that leads from one text to another.
func NewLineDelta(from, to string) LineDelta {
	a, b := splitLines(from), splitLines(to)
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	return LineDelta{Head: head, Tail: tail, Lines: b[head : len(b)-tail]}
}

// Apply returns the text after the difference. An error of kind Conflict means that the text is not the one that the
// difference was made from.
func (d LineDelta) Apply(text string) (string, error) {
	a := splitLines(text)
	if d.Head < 0 || d.Tail < 0 || d.Head > len(a)-d.Tail {
		return "", &Error{Fault: cherviltide.Fault{Op: "messenger.LineDelta.Apply", Kind: cherviltide.KindConflict, Err: errBase}}
	}
	return strings.Join(a[:d.Head], "") + strings.Join(d.Lines, "") + strings.Join(a[len(a)-d.Tail:], ""), nil
}

// Size returns the number of bytes of the lines in the delta.
func (d LineDelta) Size() int {
	n := 0
	for _, line := range d.Lines {
		n += len(line)
	}
	return n
}

// TextDigest returns the digest of a rules text.
func TextDigest(text string) uint64 {
	return xxhash.Sum64String(text)
}

func splitLines(text string) []string {
	lines := strings.SplitAfter(text, "\n")
	if lines[len(lines)-1] == "" {
		lines = lines[:len(lines)-1]
	}
	return lines
}
