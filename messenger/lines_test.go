package messenger_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cherviltide.example/cherviltide/messenger"
)

// TestLineDeltas guards against deltas that do not give the new text, and against a change of a few lines that is sent as all lines
// between them.
func TestLineDeltas(t *testing.T) {
	line := rapid.SampledFrom([]string{"a\n", "b\n", "c\n", "d\n", "\n"})
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.SliceOfN(line, 0, 200).Draw(t, "before")
		after := slices.Clone(before)
		for range rapid.IntRange(0, 100).Draw(t, "changes") {
			at := rapid.IntRange(0, len(after)).Draw(t, "at")
			end := min(len(after), at+rapid.IntRange(0, 2).Draw(t, "dropped"))
			after = slices.Replace(after, at, end, rapid.SliceOfN(line, 0, 2).Draw(t, "added")...)
		}
		from, to := strings.Join(before, ""), strings.TrimSuffix(strings.Join(after, ""), rapid.SampledFrom([]string{"", "\n"}).Draw(t, "cut"))
		deltas := messenger.NewLineDeltas(from, to)
		got, err := messenger.ApplyLineDeltas(from, deltas)
		require.NoError(t, err)
		require.Equal(t, to, got)
	})
	lines := make([]string, 5_000)
	for i := range lines {
		lines[i] = fmt.Sprintf("line %d\n", i)
	}
	from := strings.Join(lines, "")
	lines[0], lines[4_999] = "first\n", "last\n"
	size := 0
	for _, d := range messenger.NewLineDeltas(from, strings.Join(lines, "")) {
		size += d.Size()
	}
	require.Less(t, size, 20)
	_, err := messenger.ApplyLineDeltas("a\n", []messenger.LineDelta{{PrefixLines: 1, SuffixLines: 1}})
	require.Error(t, err)
}
