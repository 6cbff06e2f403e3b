package registrar

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide"
	"cherviltide.example/cherviltide/differ"
)

// TestDeltasReproduceEveryText guards against a text that changes on its way through the log, and against edits that
// are lost by a snapshot.
func TestDeltasReproduceEveryText(t *testing.T) {
	const seed = 1
	random := rand.New(rand.NewPCG(seed, 0))
	r, lines := New(), []string{}
	for number := uint64(1); number <= 300; number++ {
		for range random.IntN(6) {
			position := random.IntN(len(lines) + 1)
			switch {
			case random.IntN(3) > 0 || position == len(lines):
				lines = append(lines[:position:position], append([]string{fmt.Sprint("line ", random.IntN(9))}, lines[position:]...)...)
			default:
				lines = append(lines[:position:position], lines[position+1:]...)
			}
		}
		if random.IntN(50) == 0 {
			lines = strings.Split(strings.Repeat("other\n", random.IntN(1000)), "\n")
		}
		e := Edit{ID: fmt.Sprint(number), Base: number - 1, Text: strings.Join(lines, "\n")}
		entry, err := r.Encode(e)
		require.NoError(t, err)
		r.Apply(number, entry)
		r.Apply(number, entry)
		got, err := r.EditResult(e)
		require.NoError(t, err, "seed %d, revision %d", seed, number)
		require.Equal(t, number, got)
		require.Equal(t, e.Text, r.Current().Edit.Text)
		snapshot, err := r.Snapshot()
		require.NoError(t, err)
		r = New()
		require.NoError(t, r.Restore(number, snapshot))
	}
}

// TestConflicts guards against a conflict that does not show the differing lines, and against an edit ID that is
// accepted with another text.
func TestConflicts(t *testing.T) {
	r := New()
	entry, err := r.Encode(Edit{ID: "a", Text: "one\ntwo\nthree"})
	require.NoError(t, err)
	r.Apply(1, entry)
	_, err = r.EditResult(Edit{ID: "b", Text: "one\n2\nthree"})
	require.ErrorContains(t, err, "base revision is 0, current revision is 1")
	require.ErrorContains(t, err, "@@ line 2\n-two\n+2")
	_, err = r.EditResult(Edit{ID: "a", Text: "four"})
	require.ErrorIs(t, err, errEditIDReused)
}

// TestNumberedEdits guards against an older configuration that replaces a newer one, also if both were proposed for the
// same base or the log is read again.
func TestNumberedEdits(t *testing.T) {
	r := New()
	propose := func(number uint64, text string) []byte {
		entry, err := r.Encode(Edit{ID: text, Base: r.Current().Number, Number: cherviltide.NewEditNumber(number), Text: text})
		require.NoError(t, err)
		return entry
	}
	seven, nine := propose(7, "seven"), propose(9, "nine")
	r.Apply(1, nine)
	r.Apply(2, seven)
	require.Equal(t, "nine", r.Current().Edit.Text)
	for _, number := range []uint64{1, 8, 9} {
		r.Apply(3, propose(number, "late"))
		require.Equal(t, cherviltide.NewEditNumber(9), r.Current().Edit.Number)
		require.Equal(t, "nine", r.Current().Edit.Text)
	}
	snapshot, err := r.Snapshot()
	require.NoError(t, err)
	r = New()
	require.NoError(t, r.Restore(3, snapshot))
	r.Apply(4, propose(9, "again"))
	require.Equal(t, "nine", r.Current().Edit.Text)
	r.Apply(5, propose(12, "twelve"))
	require.Equal(t, "twelve", r.Current().Edit.Text)
	highest := propose(math.MaxUint64, "highest")
	r.Apply(5, highest)
	for _, number := range []uint64{0, 5, 9, math.MaxInt64, math.MaxUint64 - 1, math.MaxUint64} {
		r.Apply(6, propose(number, fmt.Sprint("after the highest ", number)))
		require.Equal(t, "highest", r.Current().Edit.Text, "number %d", number)
	}
	snapshot, err = r.Snapshot()
	require.NoError(t, err)
	r = New()
	require.NoError(t, r.Restore(6, snapshot))
	require.Equal(t, cherviltide.NewEditNumber(math.MaxUint64), r.Current().Edit.Number)
}

// TestRestoreOfSnapshotWithoutHistory guards against a control instance that loses edits of a snapshot in which all kept
// revisions have their lines, as former versions wrote it.
func TestRestoreOfSnapshotWithoutHistory(t *testing.T) {
	lines := func(list ...string) []string { return list }
	data, err := cbor.Marshal(snapshot{First: 4, Text: "a\nc", Kept: []editRecord{
		{ID: "five", Number: cherviltide.NewEditNumber(7), Lines: differ.Diff(lines("a"), lines(""))},
		{ID: "six", Number: cherviltide.NewEditNumber(8), Lines: differ.Diff(lines("a", "c"), lines("a"))},
	}})
	require.NoError(t, err)
	r := New()
	require.NoError(t, r.Restore(9, data))
	var texts []string
	r.History().Backward(func(revision Revision, before string) bool {
		texts = append(texts, fmt.Sprint(revision.Number, " ", revision.Edit.ID, " ", before))
		return true
	})
	require.Equal(t, []string{"6 six a", "5 five "}, texts)
	require.Equal(t, cherviltide.NewEditNumber(8), r.Current().Edit.Number)
	again, err := r.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(9, again))
	require.Equal(t, r.state, restored.state)
	require.Equal(t, r.byID, restored.byID)
}
