package differ

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// numberedLines returns different lines, which have the version if changed returns true for their number.
func numberedLines(n, version int, changed func(i int) bool) []string {
	lines := make([]string, n)
	for i := range lines {
		v := 0
		if changed(i) {
			v = version
		}
		lines[i] = fmt.Sprintf(`{"Name":"r-%d","Host":"198.19.%d.%d","Prefix":"/8443/","Kind":"idempotent","TimeoutMs":%d,"GoalMs":100,"Priority":2,"Service":"desk","Attempts":2},`, i, i/250, 1+i%250, 1000+v)
	}
	return lines
}

// linePatterns are changes of a text of n lines, with the number of lines that a diff has to add at most.
var linePatterns = map[string]struct {
	change func(lines []string) []string
	added  func(n int) int
}{
	"all changed": {func(lines []string) []string {
		return numberedLines(len(lines), 1, func(int) bool { return true })
	}, func(n int) int { return n }},
	"one changed": {func(lines []string) []string {
		return numberedLines(len(lines), 1, func(i int) bool { return i == len(lines)/2 })
	}, func(int) int { return 1 }},
	"every other changed": {func(lines []string) []string {
		return numberedLines(len(lines), 1, func(i int) bool { return i%2 == 0 })
	}, func(n int) int { return (n + 1) / 2 }},
	"neighbours swapped": {func(lines []string) []string {
		swapped := slices.Clone(lines)
		for i := 0; i+1 < len(swapped); i += 2 {
			swapped[i], swapped[i+1] = swapped[i+1], swapped[i]
		}
		return swapped
	}, func(n int) int { return n / 2 }},
	"half removed": {func(lines []string) []string {
		var kept []string
		for i := 0; i < len(lines); i += 2 {
			kept = append(kept, lines[i])
		}
		return kept
	}, func(int) int { return 0 }},
	"half added": {func(lines []string) []string {
		var longer []string
		for i, line := range lines {
			if longer = append(longer, line); i%2 == 0 {
				longer = append(longer, fmt.Sprint("new ", i))
			}
		}
		return longer
	}, func(n int) int { return (n + 1) / 2 }},
	"first moved to the end": {func(lines []string) []string {
		return append(slices.Clone(lines[1:]), lines[0])
	}, func(int) int { return 1 }},
	"blocks exchanged": {func(lines []string) []string {
		return append(slices.Clone(lines[len(lines)/2:]), lines[:len(lines)/2]...)
	}, func(n int) int { return n / 2 }},
}

// TestDiffOfManyChanges guards against a diff that contains the whole text once more than a few hundred lines are added or
// removed: such an edit would be as large as its text in the log, on the disk and on the way to each voter.
func TestDiffOfManyChanges(t *testing.T) {
	for name, pattern := range linePatterns {
		t.Run(name, func(t *testing.T) {
			for _, n := range []int{1, 2, 7, 3_000} {
				before := numberedLines(n, 0, func(int) bool { return false })
				after := pattern.change(before)
				hunks := Diff(before, after)
				added := 0
				for _, h := range hunks {
					added += len(h.Add)
				}
				require.LessOrEqual(t, added, pattern.added(n), "%d lines", n)
				got, ok := Apply(before, hunks)
				require.True(t, ok)
				require.Equal(t, strings.Join(after, "\n"), strings.Join(got, "\n"))
				reverted, ok := Apply(after, Invert(before, hunks))
				require.True(t, ok)
				require.Equal(t, before, reverted)
			}
		})
	}
}

// BenchmarkDiff measures the diff of texts of 472 KB and of the largest configuration.
func BenchmarkDiff(b *testing.B) {
	for _, n := range []int{2961, 9900} {
		before := numberedLines(n, 0, func(int) bool { return false })
		for name, pattern := range linePatterns {
			after := pattern.change(before)
			b.Run(fmt.Sprintf("%s/%d lines", name, n), func(b *testing.B) {
				b.ReportAllocs()
				b.SetBytes(int64(len(strings.Join(before, "\n"))))
				for b.Loop() {
					Diff(before, after)
				}
			})
		}
	}
}
