// Package differ computes, applies and inverts the difference between two texts of lines.
package differ

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxShortestLines bounds the lines, of both texts together, for which a shortest diff is searched. The search takes time
	// that grows with the square of the lines.
	maxShortestLines = 64
	// maxDiffLines bounds the lines of a diff in a message.
	maxDiffLines = 40
)

// Hunk is one step of a diff: it keeps some lines, drops some and adds some, in this order.
type Hunk struct {
	_          struct{} `cbor:",toarray"`
	Keep, Drop int
	Add        []string
}

// Diff returns the hunks that turn the lines a into the lines b. The time that it takes grows with the size of the texts, however they
// differ: it keeps the lines that occur once in each text and are in the same order (patience diff), and searches a shortest
// diff only for the few lines between two of them.
func Diff(a, b []string) []Hunk {
	prefix, suffix := commonEnds(a, b)
	middleA, middleB := a[prefix:len(a)-suffix], b[prefix:len(b)-suffix]
	hunks := hunkList{{Keep: prefix}}
	x, y := 0, 0
	for _, anchor := range commonUniqueLines(middleA, middleB) {
		hunks.addGap(middleA[x:anchor.a], middleB[y:anchor.b])
		hunks.add(Hunk{Keep: 1})
		x, y = anchor.a+1, anchor.b+1
	}
	hunks.addGap(middleA[x:], middleB[y:])
	hunks.add(Hunk{Keep: suffix})
	return hunks
}

// hunkList is a diff whose hunks have a kept line between them.
type hunkList []Hunk

// add adds a hunk, and joins it with the last one if there is no kept line between them.
func (l *hunkList) add(h Hunk) {
	if n := len(*l); n > 0 {
		last := &(*l)[n-1]
		if h.Keep == 0 || last.Drop+len(last.Add) == 0 {
			last.Keep += h.Keep
			last.Drop += h.Drop
			if len(last.Add) == 0 {
				last.Add = h.Add
			} else {
				last.Add = append(slices.Clip(last.Add), h.Add...)
			}
			return
		}
	}
	*l = append(*l, h)
}

// addGap adds the hunks between two lines that are kept.
func (l *hunkList) addGap(a, b []string) {
	prefix, suffix := commonEnds(a, b)
	l.add(Hunk{Keep: prefix})
	a, b = a[prefix:len(a)-suffix], b[prefix:len(b)-suffix]
	if len(a) == 0 || len(b) == 0 || len(a)+len(b) == 2 || len(a)+len(b) > maxShortestLines {
		l.add(Hunk{Drop: len(a), Add: b})
	} else {
		for _, h := range shortestDiff(a, b) {
			l.add(h)
		}
	}
	l.add(Hunk{Keep: suffix})
}

// commonEnds returns the numbers of equal lines at the start and, of the other lines, at the end.
func commonEnds(a, b []string) (prefix, suffix int) {
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	for suffix < min(len(a), len(b))-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	return prefix, suffix
}

// linePair has the positions of a line in two texts.
type linePair struct{ a, b int }

// occurrences has how often a line occurs in two texts, and its last position in the first one.
type occurrences struct{ inA, inB, positionA int }

// commonUniqueLines returns a longest list of lines that occur once in each text and have the same order in both.
func commonUniqueLines(a, b []string) []linePair {
	if len(a) == 0 || len(b) == 0 {
		return nil
	}
	index := make(map[string]int, len(a))
	lines := make([]occurrences, 0, len(a))
	for i, line := range a {
		at, ok := index[line]
		if !ok {
			at = len(lines)
			index[line], lines = at, append(lines, occurrences{})
		}
		lines[at].inA++
		lines[at].positionA = i
	}
	// found has the index in lines of each line of b, or -1.
	found := make([]int, len(b))
	for i, line := range b {
		at, ok := index[line]
		if !ok {
			found[i] = -1
			continue
		}
		found[i] = at
		lines[at].inB++
	}
	var pairs []linePair
	for i, at := range found {
		if at >= 0 && lines[at].inA == 1 && lines[at].inB == 1 {
			pairs = append(pairs, linePair{a: lines[at].positionA, b: i})
		}
	}
	return longestIncreasing(pairs)
}

// longestIncreasing returns a longest part of pairs, which are in the order of b, that is in the order of a too.
func longestIncreasing(pairs []linePair) []linePair {
	// ends has, for each length, the pair with the lowest a that a list of this length ends with; previous has the pair before
	// each pair in such a list, or -1.
	var ends []int
	previous := make([]int, len(pairs))
	for i, p := range pairs {
		length, _ := slices.BinarySearchFunc(ends, p.a, func(end, a int) int { return pairs[end].a - a })
		previous[i] = -1
		if length > 0 {
			previous[i] = ends[length-1]
		}
		if length == len(ends) {
			ends = append(ends, i)
		} else {
			ends[length] = i
		}
	}
	list := make([]linePair, len(ends))
	if len(ends) == 0 {
		return list
	}
	for i, at := len(ends)-1, ends[len(ends)-1]; i >= 0; i, at = i-1, previous[at] {
		list[i] = pairs[at]
	}
	return list
}

// shortestDiff finds a shortest diff with the algorithm of Myers.
func shortestDiff(a, b []string) []Hunk {
	// furthest[d] has, by diagonal, how many lines of a the best path with d-1 edits consumes.
	furthest := []map[int]int{{1: 0}}
	for d := 0; ; d++ {
		next := map[int]int{}
		for k := -d; k <= d; k += 2 {
			x := pathStart(furthest[d], k, d)
			for x < len(a) && x-k < len(b) && a[x] == b[x-k] {
				x++
			}
			next[k] = x
			if x >= len(a) && x-k >= len(b) {
				return backtrack(furthest, a, b, d)
			}
		}
		furthest = append(furthest, next)
	}
}

// pathStart returns how many lines of a the best path with d edits has consumed when it enters diagonal k.
func pathStart(furthest map[int]int, k, d int) int {
	if isInsertion(furthest, k, d) {
		return furthest[k+1]
	}
	return furthest[k-1] + 1
}

// isInsertion reports whether the best path enters diagonal k by adding a line of b.
func isInsertion(furthest map[int]int, k, d int) bool {
	return k == -d || (k != d && furthest[k-1] < furthest[k+1])
}

// backtrack follows the path from its end to its start and returns its hunks.
func backtrack(furthest []map[int]int, a, b []string, d int) []Hunk {
	var hunks []Hunk
	x, y := len(a), len(b)
	for ; d > 0; d-- {
		k := x - y
		insertion := isInsertion(furthest[d], k, d)
		start := pathStart(furthest[d], k, d)
		hunks = append(hunks, Hunk{Keep: x - start})
		x, y = start, start-k
		if insertion {
			y--
			hunks = append(hunks, Hunk{Add: b[y : y+1]})
		} else {
			x--
			hunks = append(hunks, Hunk{Drop: 1})
		}
	}
	hunks = append(hunks, Hunk{Keep: x})
	slices.Reverse(hunks)
	return hunks
}

// Apply returns the lines that result from applying the hunks to a, and false if they do not fit a.
func Apply(a []string, hunks []Hunk) ([]string, bool) {
	var lines []string
	line := 0
	for _, h := range hunks {
		if h.Keep < 0 || h.Drop < 0 || h.Keep > len(a)-line || h.Drop > len(a)-line-h.Keep {
			return nil, false
		}
		lines = append(append(lines, a[line:line+h.Keep]...), h.Add...)
		line += h.Keep + h.Drop
	}
	return lines, line == len(a)
}

// Invert returns the hunks that turn the result of applying the hunks to a back into a.
func Invert(a []string, hunks []Hunk) []Hunk {
	inverted := make([]Hunk, 0, len(hunks))
	line := 0
	for _, h := range hunks {
		line += h.Keep
		inverted = append(inverted, Hunk{Keep: h.Keep, Drop: len(h.Add), Add: slices.Clone(a[line : line+h.Drop])})
		line += h.Drop
	}
	return inverted
}

// Format returns the diff between two texts, with - before a line of the first one and + before a line of the
// second, and with the line number in the first text before each group. It shows at most 40 lines.
func Format(from, to string) string {
	a := strings.Split(from, "\n")
	var out []string
	line := 0
	for _, h := range Diff(a, strings.Split(to, "\n")) {
		line += h.Keep
		if h.Drop+len(h.Add) == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("@@ line %d", line+1))
		for _, text := range a[line : line+h.Drop] {
			out = append(out, "-"+text)
		}
		for _, text := range h.Add {
			out = append(out, "+"+text)
		}
		line += h.Drop
	}
	if len(out) > maxDiffLines {
		out = append(out[:maxDiffLines], fmt.Sprintf("and %d more lines", len(out)-maxDiffLines))
	}
	return strings.Join(out, "\n")
}
