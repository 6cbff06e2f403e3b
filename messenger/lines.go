package messenger

import (
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/differ"
)

var errDeltaMismatch = errors.New("the line delta does not match the text")

// LineDelta is a difference between two texts: it replaces the lines between a common prefix and a common suffix.
type LineDelta struct {
	_ struct{} `cbor:",toarray"`
	// PrefixLines and SuffixLines are the numbers of equal lines at the start and at the end.
	PrefixLines, SuffixLines int
	// Lines are the replacement lines, each with its line end.
	Lines []string
}

// maxLineDeltas bounds the deltas between two texts.
const maxLineDeltas = 64

// NewLineDeltas returns deltas that change one text to another when they are applied in their order. Changes that are apart have a
// delta each, since a numbered file changes in its first line too; above maxLineDeltas one delta spans all of them.
func NewLineDeltas(from, to string) []LineDelta {
	a, b := splitLines(from), splitLines(to)
	var deltas []LineDelta
	// prefix and total are numbers of lines of the text as the deltas so far have changed it.
	prefix, total := 0, len(a)
	for _, h := range differ.Diff(a, b) {
		prefix += h.Keep
		if h.Drop+len(h.Add) == 0 {
			continue
		}
		deltas = append(deltas, LineDelta{PrefixLines: prefix, SuffixLines: total - prefix - h.Drop, Lines: cloneLines(h.Add)})
		prefix += len(h.Add)
		total += len(h.Add) - h.Drop
	}
	if len(deltas) <= maxLineDeltas {
		return deltas
	}
	first, last := deltas[0].PrefixLines, deltas[len(deltas)-1].SuffixLines
	return []LineDelta{{PrefixLines: first, SuffixLines: last, Lines: cloneLines(b[first : len(b)-last])}}
}

// cloneLines returns copies of lines. A line that is cut from a text keeps the whole text in memory.
func cloneLines(lines []string) []string {
	cloned := make([]string, len(lines))
	for i, line := range lines {
		cloned[i] = strings.Clone(line)
	}
	return cloned
}

// ApplyLineDeltas returns a text after deltas. It returns an error of kind Conflict when the text has too few lines to be the one
// that a delta was made from; other mismatches are not detected.
func ApplyLineDeltas(text string, deltas []LineDelta) (string, error) {
	lines := splitLines(text)
	for _, d := range deltas {
		if d.PrefixLines < 0 || d.SuffixLines < 0 || d.PrefixLines > len(lines)-d.SuffixLines {
			return "", &Error{Fault: cherviltide.Fault{Op: "messenger.ApplyLineDeltas", Kind: cherviltide.KindConflict, Err: errDeltaMismatch}}
		}
		lines = slices.Replace(lines, d.PrefixLines, len(lines)-d.SuffixLines, d.Lines...)
	}
	return strings.Join(lines, ""), nil
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
