package registrar

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTracer guards against origins that depend on when they were asked for.
func TestTracer(t *testing.T) {
	r := New()
	var steady OriginFinder
	texts := []string{"a", "ab", "b", "ba", "", "abc", "c", "cba", "cb", "acb"}
	var want map[string]uint64
	for n, names := range texts {
		var lines []string
		now := map[string]uint64{}
		for _, name := range strings.Split(names, "") {
			lines = append(lines, fmt.Sprintf("Service  %s Address 192.0.2.1:%d # R%s", name, name[0], strings.Repeat(" ", n%3)))
			now[name] = uint64(n + 1)
			if since, ok := want[name]; ok {
				now[name] = since
			}
		}
		want = now
		accept(t, r, Edit{ID: fmt.Sprint(n), Base: uint64(n), Text: strings.Join(lines, "\n")})
		var fresh OriginFinder
		_, once := fresh.Origins(r.History())
		if n%2 == 0 {
			number, again := steady.Origins(r.History())
			require.Equal(t, once, again)
			require.EqualValues(t, n+1, number)
		}
		for i, o := range once {
			require.Equal(t, want[strings.Fields(o.Text)[1]], o.Revision)
			require.Equal(t, i+1, o.Line)
		}
		require.Len(t, once, len(names))
	}
}

// accept makes a revision.
func accept(t *testing.T, r *Registrar, e Edit) {
	entry, err := r.Encode(e)
	require.NoError(t, err)
	r.Apply(0, entry)
	_, err = r.EditResult(e)
	require.NoError(t, err)
}
