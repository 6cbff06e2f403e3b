package parser

import (
	"fmt"
	"strings"
)

// ChangeType tells what a change does to a line.
type ChangeType string

// The types of changes.
const (
	ChangeKept    ChangeType = "Kept"
	ChangeRemoved ChangeType = "Removed"
	ChangeAdded   ChangeType = "Added"
)

// Change is one line of a difference.
type Change struct {
	Type ChangeType
	// OldLine and NewLine are the line's numbers from 1; 0 when the line is not in that file.
	OldLine, NewLine int
	Text             string
}

// Difference is the way from one file to another, with all kept lines.
type Difference []Change

// Diff compares two files line by line. Lines that are unique in both files align the rest, so a moved block costs more
// changes than the shortest difference, but files of many thousand lines take no quadratic time.
func Diff(before, after string) Difference {
	d := &differ{old: fileLines(before), new: fileLines(after)}
	d.compare(0, len(d.old), 0, len(d.new))
	return d.changes
}

// Same reports whether the files have the same lines.
func (d Difference) Same() bool {
	for _, c := range d {
		if c.Type != ChangeKept {
			return false
		}
	}
	return true
}

// Count returns the numbers of added and removed lines.
func (d Difference) Count() (added, removed int) {
	for _, c := range d {
		switch c.Type {
		case ChangeAdded:
			added++
		case ChangeRemoved:
			removed++
		}
	}
	return added, removed
}

// Text prints the removed and added lines with their numbers in the old and the new file. It is empty for equal files.
func (d Difference) Text() string {
	var b strings.Builder
	for _, c := range d {
		switch c.Type {
		case ChangeRemoved:
			_, _ = fmt.Fprintf(&b, "-%d: %s\n", c.OldLine, c.Text)
		case ChangeAdded:
			_, _ = fmt.Fprintf(&b, "+%d: %s\n", c.NewLine, c.Text)
		}
	}
	return b.String()
}

// fileLines returns the lines of a file; a line end at the end of the file starts no further line.
func fileLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return splitLines(text)
}

// differ compares ranges of lines.
type differ struct {
	old, new []string
	changes  Difference
}

// compare adds the changes between old[a:b] and new[c:d].
func (x *differ) compare(a, b, c, d int) {
	for a < b && c < d && x.old[a] == x.new[c] {
		x.add(ChangeKept, a, c)
		a, c = a+1, c+1
	}
	tail := 0
	for a < b && c < d && x.old[b-1] == x.new[d-1] {
		b, d, tail = b-1, d-1, tail+1
	}
	anchors := x.anchors(a, b, c, d)
	for _, p := range anchors {
		x.compare(a, p.old, c, p.new)
		x.add(ChangeKept, p.old, p.new)
		a, c = p.old+1, p.new+1
	}
	if len(anchors) > 0 {
		x.compare(a, b, c, d)
	} else {
		x.replace(a, b, c, d)
	}
	for i := range tail {
		x.add(ChangeKept, b+i, d+i)
	}
}

func (x *differ) replace(a, b, c, d int) {
	for ; a < b; a++ {
		x.add(ChangeRemoved, a, -1)
	}
	for ; c < d; c++ {
		x.add(ChangeAdded, -1, c)
	}
}

func (x *differ) add(kind ChangeType, oldIndex, newIndex int) {
	change := Change{Type: kind, OldLine: oldIndex + 1, NewLine: newIndex + 1}
	if oldIndex >= 0 {
		change.Text = x.old[oldIndex]
	} else {
		change.Text = x.new[newIndex]
	}
	x.changes = append(x.changes, change)
}

// anchor is a line that occurs once in each of two ranges.
type anchor struct {
	old, new int
	// before is the anchor that precedes this one in the longest increasing sequence.
	before *anchor
}

// anchors returns the longest sequence of unique common lines that has the same order in both ranges.
func (x *differ) anchors(a, b, c, d int) []anchor {
	oldUnique, newUnique := unique(x.old, a, b), unique(x.new, c, d)
	var piles []*anchor
	for i := a; i < b; i++ {
		if oldUnique[x.old[i]] < 0 {
			continue
		}
		j, ok := newUnique[x.old[i]]
		if !ok || j < 0 {
			continue
		}
		piles = place(piles, &anchor{old: i, new: j})
	}
	if len(piles) == 0 {
		return nil
	}
	list := make([]anchor, len(piles))
	for i, p := len(piles)-1, piles[len(piles)-1]; p != nil; i, p = i-1, p.before {
		list[i] = *p
	}
	return list
}

// place puts an anchor on the first pile whose top is not before it.
func place(piles []*anchor, p *anchor) []*anchor {
	low, high := 0, len(piles)
	for low < high {
		middle := (low + high) / 2
		if piles[middle].new < p.new {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low > 0 {
		p.before = piles[low-1]
	}
	if low == len(piles) {
		return append(piles, p)
	}
	piles[low] = p
	return piles
}

// unique returns the index of each line of a range, or -1 when the line occurs more than once.
func unique(lines []string, from, to int) map[string]int {
	index := make(map[string]int, to-from)
	for i := from; i < to; i++ {
		if _, seen := index[lines[i]]; seen {
			index[lines[i]] = -1
			continue
		}
		index[lines[i]] = i
	}
	return index
}
