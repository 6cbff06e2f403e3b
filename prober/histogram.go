package prober

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherviltide.example/cherviltide"
)

// Bounds of a histogram.
const (
	// longest is the longest time that is told apart from longer ones, in milliseconds.
	longest = 60_000
	// digits is the number of significant digits.
	digits = 2
)

// Histogram counts times in milliseconds since the start of the process. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, longest, digits)}
}

// Record counts a time. Times below 1 ms count as 1 ms, times above the longest as the longest.
func (x *Histogram) Record(took cherviltide.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	// The value is within the bounds, so recording cannot fail.
	_ = x.h.RecordValue(int64(min(max(took, 1), longest)))
}

// Quantiles is what a histogram shows, in milliseconds.
type Quantiles struct {
	Count               int64
	P50, P90, P99, Most int64
}

// Value returns the quantiles, for a metric.
func (x *Histogram) Value() any {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Quantiles{
		Count: x.h.TotalCount(), Most: x.h.Max(),
		P50: x.h.ValueAtQuantile(50), P90: x.h.ValueAtQuantile(90), P99: x.h.ValueAtQuantile(99),
	}
}
