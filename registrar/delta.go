package registrar

import (
	"fmt"
	"slices"
	"strings"
)

const (
	// maxEdits bounds the search for a shortest difference, in lines added and removed.
	maxEdits = 500
	// maxShown bounds the lines of a difference in a message.
	maxShown = 40
)

// Span is a step through the lines of a text: keep some, drop some, add some.
type Span struct {
	_          struct{} `cbor:",toarray"`
	Keep, Drop int
	Add        []string
}

// difference returns the spans that turn a into b.
func difference(a, b []string) []Span {
	head := 0
	for head < min(len(a), len(b)) && a[head] == b[head] {
		head++
	}
	tail := 0
	for tail < min(len(a), len(b))-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	spans := middle(a[head:len(a)-tail], b[head:len(b)-tail])
	return merge(append(append([]Span{{Keep: head}}, spans...), Span{Keep: tail}))
}

// middle finds a shortest difference, or replaces all lines when it would take more than maxEdits edits.
func middle(a, b []string) []Span {
	reach := []map[int]int{{1: 0}}
	for d := 0; d <= min(maxEdits, len(a)+len(b)); d++ {
		next := map[int]int{}
		for k := -d; k <= d; k += 2 {
			x := step(reach[d], k, d)
			for x < len(a) && x-k < len(b) && a[x] == b[x-k] {
				x++
			}
			next[k] = x
			if x >= len(a) && x-k >= len(b) {
				return backtrack(reach, a, b, d)
			}
		}
		reach = append(reach, next)
	}
	return []Span{{Drop: len(a), Add: b}}
}

// step returns how many lines of a the best path with d edits has used when it enters diagonal k.
func step(reach map[int]int, k, d int) int {
	if down(reach, k, d) {
		return reach[k+1]
	}
	return reach[k-1] + 1
}

// down reports whether the best path enters diagonal k by adding a line of b.
func down(reach map[int]int, k, d int) bool {
	return k == -d || (k != d && reach[k-1] < reach[k+1])
}

// backtrack walks back along the path and returns its spans.
func backtrack(reach []map[int]int, a, b []string, d int) []Span {
	var spans []Span
	x, y := len(a), len(b)
	for ; d > 0; d-- {
		k := x - y
		added := down(reach[d], k, d)
		start := step(reach[d], k, d)
		spans = append(spans, Span{Keep: x - start})
		x, y = start, start-k
		if added {
			y--
			spans = append(spans, Span{Add: b[y : y+1]})
		} else {
			x--
			spans = append(spans, Span{Drop: 1})
		}
	}
	spans = append(spans, Span{Keep: x})
	slices.Reverse(spans)
	return spans
}

// merge joins spans that follow each other without a kept line between them.
func merge(spans []Span) []Span {
	var out []Span
	for _, s := range spans {
		if len(out) == 0 || (s.Keep > 0 && (out[len(out)-1].Drop > 0 || len(out[len(out)-1].Add) > 0)) {
			out = append(out, s)
			continue
		}
		last := &out[len(out)-1]
		last.Keep += s.Keep
		last.Drop += s.Drop
		last.Add = append(slices.Clip(last.Add), s.Add...)
	}
	return out
}

// patch returns the lines that the spans make of a, and false when they do not fit it.
func patch(a []string, spans []Span) ([]string, bool) {
	var out []string
	at := 0
	for _, s := range spans {
		if s.Keep < 0 || s.Drop < 0 || s.Keep > len(a)-at || s.Drop > len(a)-at-s.Keep {
			return nil, false
		}
		out = append(append(out, a[at:at+s.Keep]...), s.Add...)
		at += s.Keep + s.Drop
	}
	return out, at == len(a)
}

// reverse returns the spans that turn the result of a patch of a back into a.
func reverse(a []string, spans []Span) []Span {
	out := make([]Span, 0, len(spans))
	at := 0
	for _, s := range spans {
		at += s.Keep
		out = append(out, Span{Keep: s.Keep, Drop: len(s.Add), Add: slices.Clone(a[at : at+s.Drop])})
		at += s.Drop
	}
	return out
}

// Difference returns the lines that differ between two texts, with - before a line of the first one and + before a line
// of the second, and the line number of the first text before each group. It shows at most 40 lines.
func Difference(from, to string) string {
	a := strings.Split(from, "\n")
	var out []string
	at := 0
	for _, s := range difference(a, strings.Split(to, "\n")) {
		at += s.Keep
		if s.Drop+len(s.Add) == 0 {
			continue
		}
		out = append(out, fmt.Sprintf("@@ line %d", at+1))
		for _, line := range a[at : at+s.Drop] {
			out = append(out, "-"+line)
		}
		for _, line := range s.Add {
			out = append(out, "+"+line)
		}
		at += s.Drop
	}
	if len(out) > maxShown {
		out = append(out[:maxShown], fmt.Sprintf("and %d more lines", len(out)-maxShown))
	}
	return strings.Join(out, "\n")
}
