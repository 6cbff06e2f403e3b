package parser

import (
	"fmt"
	"strings"
)

// ChangeType tells whether a line was kept, removed or added.
type ChangeType string

// The types of changes.
const (
	ChangeKept    ChangeType = "Kept"
	ChangeRemoved ChangeType = "Removed"
	ChangeAdded   ChangeType = "Added"
)

// Change is one line of a diff.
type Change struct {
	Type ChangeType
	// OldLine and NewLine are the line's numbers from 1; 0 when the line is not in that file.
	OldLine, NewLine int
	Text             string
}

// LineDiff is the diff between two files, in the order of the lines. It includes the lines that both files share.
type LineDiff []Change

// Diff compares two files line by line with the patience diff algorithm: lines that occur once in both files are the anchors
// between which the other lines are compared. A moved block can yield more changes than the shortest diff, but the time does
// not grow with the square of the number of lines, which can be many thousands.
func Diff(before, after string) LineDiff {
	d := &differ{old: fileLines(before), new: fileLines(after)}
	d.compareRange(0, len(d.old), 0, len(d.new))
	return d.changes
}

// Unchanged reports whether the files have the same lines.
func (d LineDiff) Unchanged() bool {
	for _, c := range d {
		if c.Type != ChangeKept {
			return false
		}
	}
	return true
}

// CountChanges returns the numbers of added and removed lines.
func (d LineDiff) CountChanges() (added, removed int) {
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

// Text returns the removed and added lines with their numbers in the old and the new file. It is empty for equal files.
func (d LineDiff) Text() string {
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

// fileLines returns the lines of a file; a final line break starts no further line.
func fileLines(text string) []string {
	text = strings.TrimSuffix(text, "\n")
	if text == "" {
		return nil
	}
	return splitLines(text)
}

// differ compares ranges of lines and collects the changes.
type differ struct {
	old, new []string
	changes  LineDiff
}

// compareRange adds the changes between old[a:b] and new[c:d].
func (x *differ) compareRange(a, b, c, d int) {
	for a < b && c < d && x.old[a] == x.new[c] {
		x.addChange(ChangeKept, a, c)
		a, c = a+1, c+1
	}
	suffixLength := 0
	for a < b && c < d && x.old[b-1] == x.new[d-1] {
		b, d, suffixLength = b-1, d-1, suffixLength+1
	}
	anchors := x.anchors(a, b, c, d)
	for _, p := range anchors {
		x.compareRange(a, p.old, c, p.new)
		x.addChange(ChangeKept, p.old, p.new)
		a, c = p.old+1, p.new+1
	}
	if len(anchors) > 0 {
		x.compareRange(a, b, c, d)
	} else {
		x.replaceRange(a, b, c, d)
	}
	for i := range suffixLength {
		x.addChange(ChangeKept, b+i, d+i)
	}
}

func (x *differ) replaceRange(a, b, c, d int) {
	for ; a < b; a++ {
		x.addChange(ChangeRemoved, a, -1)
	}
	for ; c < d; c++ {
		x.addChange(ChangeAdded, -1, c)
	}
}

func (x *differ) addChange(changeType ChangeType, oldIndex, newIndex int) {
	change := Change{Type: changeType, OldLine: oldIndex + 1, NewLine: newIndex + 1}
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
	// previous is the anchor before this one in the longest increasing sequence.
	previous *anchor
}

// anchors returns the longest sequence of unique common lines that has the same order in both ranges.
func (x *differ) anchors(a, b, c, d int) []anchor {
	oldUnique, newUnique := uniqueLines(x.old, a, b), uniqueLines(x.new, c, d)
	var piles []*anchor
	for i := a; i < b; i++ {
		if oldUnique[x.old[i]] < 0 {
			continue
		}
		j, ok := newUnique[x.old[i]]
		if !ok || j < 0 {
			continue
		}
		piles = placeOnPile(piles, &anchor{old: i, new: j})
	}
	if len(piles) == 0 {
		return nil
	}
	list := make([]anchor, len(piles))
	for i, p := len(piles)-1, piles[len(piles)-1]; p != nil; i, p = i-1, p.previous {
		list[i] = *p
	}
	return list
}

// placeOnPile puts an anchor on the leftmost pile whose top anchor does not precede it (patience sorting). The number of
// piles is the length of the longest increasing sequence.
func placeOnPile(piles []*anchor, p *anchor) []*anchor {
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
		p.previous = piles[low-1]
	}
	if low == len(piles) {
		return append(piles, p)
	}
	piles[low] = p
	return piles
}

// uniqueLines returns the index of each line of a range, or -1 when the line occurs more than once.
func uniqueLines(lines []string, from, to int) map[string]int {
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
