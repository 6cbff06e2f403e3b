package registrar

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOriginsDoNotDependOnEarlierCalls guards against origins that depend on when they were requested before.
func TestOriginsDoNotDependOnEarlierCalls(t *testing.T) {
	r := New()
	var longLived OriginFinder
	texts := []string{"a", "ab", "b", "ba", "", "abc", "c", "cba", "cb", "acb"}
	var expected map[string]uint64
	for n, names := range texts {
		var lines []string
		current := map[string]uint64{}
		for _, name := range strings.Split(names, "") {
			lines = append(lines, fmt.Sprintf("Service  %s Address 192.0.2.1:%d # R%s", name, name[0], strings.Repeat(" ", n%3)))
			current[name] = uint64(n + 1)
			if since, ok := expected[name]; ok {
				current[name] = since
			}
		}
		expected = current
		acceptEdit(t, r, Edit{ID: fmt.Sprint(n), Base: uint64(n), Text: strings.Join(lines, "\n")})
		var fresh OriginFinder
		_, origins := fresh.Origins(r.History())
		if n%2 == 0 {
			number, cached := longLived.Origins(r.History())
			require.Equal(t, origins, cached)
			require.EqualValues(t, n+1, number)
		}
		for i, o := range origins {
			require.Equal(t, expected[strings.Fields(o.Text)[1]], o.Revision)
			require.Equal(t, i+1, o.Line)
		}
		require.Len(t, origins, len(names))
	}
}

// acceptEdit makes a revision.
func acceptEdit(t *testing.T, r *Registrar, e Edit) {
	entry, err := r.Encode(e)
	require.NoError(t, err)
	r.Apply(0, entry)
	_, err = r.EditResult(e)
	require.NoError(t, err)
}
