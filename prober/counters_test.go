package prober

import (
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestCountersSkipsUnexportedFields guards against a panic at the start of a process whose counters have unexported fields,
// which reflection cannot read.
func TestCountersSkipsUnexportedFields(t *testing.T) {
	counters := &struct {
		Sent    atomic.Uint64
		dropped atomic.Uint64
	}{}
	counters.Sent.Store(3)
	counters.dropped.Store(4)
	p := New(Config{})
	p.Counters("X", counters)
	require.Equal(t, "3", p.metrics.Get("X.Sent").String())
	require.Nil(t, p.metrics.Get("X.dropped"))
}
