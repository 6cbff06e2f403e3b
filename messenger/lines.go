package messenger

import (
	"errors"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
)

var errDeltaMismatch = errors.New("the line delta does not match the text")

// LineDelta is the difference between two texts: it replaces the lines between a common prefix and a common suffix.
type LineDelta struct {
	_ struct{} `cbor:",toarray"`
	// PrefixLines and SuffixLines are the numbers of equal lines at the start and at the end.
	PrefixLines, SuffixLines int
	// Lines are the replacement lines, each with its line end.
	Lines []string
}

// NewLineDelta returns the delta that changes one text to another.
func NewLineDelta(from, to string) LineDelta {
	a, b := splitLines(from), splitLines(to)
	prefix := 0
	for prefix < len(a) && prefix < len(b) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < len(a)-prefix && suffix < len(b)-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return LineDelta{PrefixLines: prefix, SuffixLines: suffix, Lines: cloneLines(b[prefix : len(b)-suffix])}
}

// cloneLines returns copies of lines. A line that is cut from a text keeps the whole text in memory.
func cloneLines(lines []string) []string {
	cloned := make([]string, len(lines))
	for i, line := range lines {
		cloned[i] = strings.Clone(line)
	}
	return cloned
}

// Apply returns the changed text. It returns an error of kind Conflict when the text has too few lines to be the one
// that the delta was made from; other mismatches are not detected.
func (d LineDelta) Apply(text string) (string, error) {
	a := splitLines(text)
	if d.PrefixLines < 0 || d.SuffixLines < 0 || d.PrefixLines > len(a)-d.SuffixLines {
		return "", &Error{Fault: cherviltide.Fault{Op: "messenger.LineDelta.Apply", Kind: cherviltide.KindConflict, Err: errDeltaMismatch}}
	}
	return strings.Join(a[:d.PrefixLines], "") + strings.Join(d.Lines, "") + strings.Join(a[len(a)-d.SuffixLines:], ""), nil
}

// Size returns the total size of the replacement lines, in bytes.
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
