package reporter

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Limits of what a merger remembers about one member.
const (
	// maxIncarnations is how many runs of a member are kept apart; reports of older runs are ignored.
	maxIncarnations = 4
	// maxKinds bounds the kinds of one run, so that a faulty member cannot fill the memory.
	maxKinds = 256
)

// key names a kind of traffic.
type key struct{ service, kind string }

// Announcement is a member's report of its cumulative counters.
type Announcement struct {
	Member string
	// Incarnation is larger for each later run of the member.
	Incarnation uint64
	// Started is when the run began, by the member's clock.
	Started  cherviltide.Millis
	Counters []cherviltide.KindCounts
}

// series has the counts of one kind over all members.
type series struct {
	total cherviltide.Counts
	rings [4]ring
}

// run has the highest counters that one run of a member has reported.
type run struct {
	incarnation uint64
	counts      map[key]cherviltide.Counts
}

// Merger adds up the counters of many processes. One goroutine uses it.
// Counters only grow within a run, so reports may come twice or in any order and count once.
type Merger struct {
	started cherviltide.Millis
	// runs of each member are in the order of their incarnations, newest first.
	runs   map[string][]run
	series map[key]*series
}

// NewMerger returns a merger whose windows start at the given time.
func NewMerger(now cherviltide.Millis) *Merger {
	return &Merger{started: now, runs: map[string][]run{}, series: map[key]*series{}}
}

// Merge adds what a report has beyond the earlier reports of the same run. The first report of a run that began before
// the merger adds to the totals only, because the times of its requests are unknown.
func (m *Merger) Merge(now cherviltide.Millis, a Announcement) {
	r, fresh := m.run(a.Member, a.Incarnation)
	if r == nil {
		return
	}
	for _, c := range a.Counters {
		k := key{c.Service, c.Kind}
		before, known := r.counts[k]
		if !known && len(r.counts) >= maxKinds {
			continue
		}
		after := highest(before, c.Counts)
		r.counts[k] = after
		m.add(now, k, minus(after, before), fresh && a.Started < m.started)
	}
}

// run returns the state of a member's run, and whether this is its first report. It returns nil for forgotten runs.
func (m *Merger) run(member string, incarnation uint64) (r *run, fresh bool) {
	runs := m.runs[member]
	i := slices.IndexFunc(runs, func(x run) bool { return x.incarnation <= incarnation })
	if i >= 0 && runs[i].incarnation == incarnation {
		return &runs[i], false
	}
	if i < 0 {
		i = len(runs)
	}
	if i >= maxIncarnations {
		return nil, false
	}
	runs = slices.Insert(runs, i, run{incarnation: incarnation, counts: map[key]cherviltide.Counts{}})
	m.runs[member] = runs[:min(len(runs), maxIncarnations)]
	return &m.runs[member][i], true
}

func (m *Merger) add(now cherviltide.Millis, k key, c cherviltide.Counts, totalOnly bool) {
	s, ok := m.series[k]
	if !ok {
		s = &series{}
		m.series[k] = s
	}
	s.total = s.total.Plus(c)
	if totalOnly || c.Total() == 0 {
		return
	}
	for i := range s.rings {
		s.rings[i].add(now, spans[i].span, c)
	}
}

func highest(a, b cherviltide.Counts) cherviltide.Counts {
	return cherviltide.Counts{
		Timely: max(a.Timely, b.Timely), Late: max(a.Late, b.Late), Partial: max(a.Partial, b.Partial),
		Refused: max(a.Refused, b.Refused), Unknown: max(a.Unknown, b.Unknown),
	}
}

// minus returns a less b, where no count of b is above that of a.
func minus(a, b cherviltide.Counts) cherviltide.Counts {
	return cherviltide.Counts{
		Timely: a.Timely - b.Timely, Late: a.Late - b.Late, Partial: a.Partial - b.Partial,
		Refused: a.Refused - b.Refused, Unknown: a.Unknown - b.Unknown,
	}
}
