package prober

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherviltide.example/cherviltide"
)

// Range and precision of a histogram.
const (
	// maxValue is the maxValue recorded time, in milliseconds. Longer times are recorded as maxValue.
	maxValue = 60_000
	// significantDigits is the precision of the recorded times.
	significantDigits = 2
)

// Histogram counts times in milliseconds since the start of the process. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(1, maxValue, significantDigits)}
}

// Record counts a time. Times below 1 ms count as 1 ms, times above maxValue as maxValue.
func (x *Histogram) Record(elapsed cherviltide.Millis) {
	x.mu.Lock()
	defer x.mu.Unlock()
	// The value is within the range of the histogram, so recording cannot fail.
	_ = x.h.RecordValue(int64(min(max(elapsed, 1), maxValue)))
}

// Quantiles is the metric value of a histogram, in milliseconds. Most is the largest recorded time.
type Quantiles struct {
	Count               int64
	P50, P90, P99, Most int64
}

// Value returns the current Quantiles. It has the signature that Prober.Metric takes.
func (x *Histogram) Value() any {
	x.mu.Lock()
	defer x.mu.Unlock()
	return Quantiles{
		Count: x.h.TotalCount(), Most: x.h.Max(),
		P50: x.h.ValueAtQuantile(50), P90: x.h.ValueAtQuantile(90), P99: x.h.ValueAtQuantile(99),
	}
}
