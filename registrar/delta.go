package registrar

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxDiffEdits bounds the search for a shortest diff, in lines added and removed.
	maxDiffEdits = 500
	// maxDiffLines bounds the lines of a diff in a message.
	maxDiffLines = 40
)

// Hunk is one step of a diff: it keeps some lines, drops some and adds some, in this order.
type Hunk struct {
	_          struct{} `cbor:",toarray"`
	Keep, Drop int
	Add        []string
}

// diffLines returns the hunks that turn a into b.
func diffLines(a, b []string) []Hunk {
	prefix := 0
	for prefix < min(len(a), len(b)) && a[prefix] == b[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < min(len(a), len(b))-prefix && a[len(a)-1-suffix] == b[len(b)-1-suffix] {
		suffix++
	}
	hunks := shortestDiff(a[prefix:len(a)-suffix], b[prefix:len(b)-suffix])
	return mergeHunks(append(append([]Hunk{{Keep: prefix}}, hunks...), Hunk{Keep: suffix}))
}

// shortestDiff finds a shortest diff with the algorithm of Myers, or replaces all lines if it would take more than
// maxDiffEdits edits.
func shortestDiff(a, b []string) []Hunk {
	// furthest[d] has, by diagonal, how many lines of a the best path with d-1 edits consumes.
	furthest := []map[int]int{{1: 0}}
	for d := 0; d <= min(maxDiffEdits, len(a)+len(b)); d++ {
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
	return []Hunk{{Drop: len(a), Add: b}}
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

// mergeHunks joins hunks that have no kept line between them.
func mergeHunks(hunks []Hunk) []Hunk {
	var merged []Hunk
	for _, h := range hunks {
		if len(merged) == 0 || (h.Keep > 0 && (merged[len(merged)-1].Drop > 0 || len(merged[len(merged)-1].Add) > 0)) {
			merged = append(merged, h)
			continue
		}
		last := &merged[len(merged)-1]
		last.Keep += h.Keep
		last.Drop += h.Drop
		last.Add = append(slices.Clip(last.Add), h.Add...)
	}
	return merged
}

// applyDiff returns the lines that result from applying the hunks to a, and false if they do not fit a.
func applyDiff(a []string, hunks []Hunk) ([]string, bool) {
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

// invertDiff returns the hunks that turn the result of applying the hunks to a back into a.
func invertDiff(a []string, hunks []Hunk) []Hunk {
	inverted := make([]Hunk, 0, len(hunks))
	line := 0
	for _, h := range hunks {
		line += h.Keep
		inverted = append(inverted, Hunk{Keep: h.Keep, Drop: len(h.Add), Add: slices.Clone(a[line : line+h.Drop])})
		line += h.Drop
	}
	return inverted
}

// FormatDiff returns the diff between two texts, with - before a line of the first one and + before a line of the
// second, and with the line number in the first text before each group. It shows at most 40 lines.
func FormatDiff(from, to string) string {
	a := strings.Split(from, "\n")
	var out []string
	line := 0
	for _, h := range diffLines(a, strings.Split(to, "\n")) {
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
