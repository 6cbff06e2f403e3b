package prober

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHistogram guards against times outside the range that cause a panic or are not counted.
func TestHistogram(t *testing.T) {
	h := NewHistogram()
	require.Equal(t, Quantiles{}, h.Value())
	for range 98 {
		h.Record(20)
	}
	h.Record(0)
	h.Record(10 * maxValue)
	q := h.Value().(Quantiles)
	require.EqualValues(t, 100, q.Count)
	require.EqualValues(t, 20, q.P50)
	require.EqualValues(t, 20, q.P90)
	require.InEpsilon(t, maxValue, q.Most, 0.02)
}
