package measurer

import (
	"encoding/xml"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"cherviltide.example/cherviltide/bench/replayer"
)

// TestPlot guards against plots that are not well-formed, and points outside of their panel or at a wrong share.
func TestPlot(t *testing.T) {
	for name, test := range map[string]struct {
		shares []int // Percent within the goal, by second; -1 is a second without requests.
		want   string
	}{
		"whole axis":             {[]int{100, 0}, `points="200.0,0.0 480.0,150.0"`},
		"enlarged":               {[]int{100, 95}, `points="200.0,0.0 480.0,150.0"`},
		"second without request": {[]int{50, -1, 100, 75}, `points="130.0,150.0 410.0,0.0 550.0,75.0"`},
	} {
		t.Run(name, func(t *testing.T) {
			seconds := make([]replayer.Result, len(test.shares))
			for i, percent := range test.shares {
				if percent >= 0 {
					seconds[i] = replayer.Result{Asked: 100, Timely: percent}
				}
			}
			var p Plot
			p.add(Line{Variant: "Default", pattern: "a < b & c", results: replayer.Results{"view": seconds}})
			var svg strings.Builder
			require.NoError(t, p.Write(&svg))
			require.Contains(t, svg.String(), test.want)
			d := xml.NewDecoder(strings.NewReader(svg.String()))
			var err error
			for ; err == nil; _, err = d.Token() {
			}
			require.ErrorIs(t, err, io.EOF)
		})
	}
	require.Error(t, new(Plot).Write(io.Discard), "a plot without results")
}
