package reporter

import (
	"cmp"
	"slices"
	"sync"

	"cherviltide.example/cherviltide"
)

var _ cherviltide.Recorder = (*Counter)(nil)

// Counter counts the outcomes of the requests that one process served. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[kindKey]cherviltide.Counts
}

// NewCounter returns a counter at zero.
func NewCounter() *Counter {
	return &Counter{counts: map[kindKey]cherviltide.Counts{}}
}

// Record counts one request. Its duration is ignored, because the report has no latencies.
func (c *Counter) Record(service, kind string, outcome cherviltide.Outcome, _ cherviltide.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := kindKey{service, kind}
	c.counts[k] = c.counts[k].With(outcome)
}

// Snapshot returns the counts since the start of the process, sorted by service and kind.
func (c *Counter) Snapshot() []cherviltide.KindCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]cherviltide.KindCounts, 0, len(c.counts))
	for k, n := range c.counts {
		list = append(list, cherviltide.KindCounts{Service: k.service, Kind: k.kind, Counts: n})
	}
	slices.SortFunc(list, func(a, b cherviltide.KindCounts) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
