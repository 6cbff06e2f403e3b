package reporter

import (
	"slices"

	"cherviltide.example/cherviltide"
)

// Limits of the state that a merger keeps for one member.
const (
	// maxIncarnations is the number of incarnations with separate counts; reports of older ones are ignored.
	maxIncarnations = 4
	// maxKinds bounds the kinds of one incarnation, so that a faulty member cannot fill the memory.
	maxKinds = 256
)

// kindKey identifies a kind of traffic.
type kindKey struct{ service, kind string }

// Announcement is a member's report of its cumulative counters.
type Announcement struct {
	Member string
	// Incarnation identifies a run of the member's process; each later run has a higher number.
	Incarnation uint64
	// Started is when the incarnation started, by the member's clock.
	Started  cherviltide.Millis
	Counters []cherviltide.KindCounts
}

// kindSeries has the counts of one kind over all members, with a ring for each of the windows.
type kindSeries struct {
	total cherviltide.Counts
	rings [4]ring
}

// incarnationCounts has the highest counts that one incarnation of a member has reported.
type incarnationCounts struct {
	incarnation uint64
	counts      map[kindKey]cherviltide.Counts
}

// Merger adds up the counters of many processes. It is not safe for concurrent use. Counters only grow within an
// incarnation, so reports may arrive more than once and in any order, and are still counted once.
type Merger struct {
	started cherviltide.Millis
	// incarnations has the counts of each member by incarnation, newest first.
	incarnations map[string][]incarnationCounts
	series       map[kindKey]*kindSeries
}

// NewMerger returns a merger whose windows start at the given time.
func NewMerger(now cherviltide.Millis) *Merger {
	return &Merger{started: now, incarnations: map[string][]incarnationCounts{}, series: map[kindKey]*kindSeries{}}
}

// Merge adds the difference between a report and the earlier reports of the same incarnation. The first report of an
// incarnation that started before the merger is added to the totals only, because the times of its requests are unknown.
func (m *Merger) Merge(now cherviltide.Millis, a Announcement) {
	r, firstReport := m.countsOf(a.Member, a.Incarnation)
	if r == nil {
		return
	}
	for _, c := range a.Counters {
		k := kindKey{c.Service, c.Kind}
		before, known := r.counts[k]
		if !known && len(r.counts) >= maxKinds {
			continue
		}
		after := maxCounts(before, c.Counts)
		r.counts[k] = after
		m.add(now, k, subtract(after, before), firstReport && a.Started < m.started)
	}
}

// countsOf returns the counts of a member's incarnation, and whether this is its first report. It returns nil for
// incarnations that are too old to be kept.
func (m *Merger) countsOf(member string, incarnation uint64) (r *incarnationCounts, firstReport bool) {
	list := m.incarnations[member]
	i := slices.IndexFunc(list, func(x incarnationCounts) bool { return x.incarnation <= incarnation })
	if i >= 0 && list[i].incarnation == incarnation {
		return &list[i], false
	}
	if i < 0 {
		i = len(list)
	}
	if i >= maxIncarnations {
		return nil, false
	}
	list = slices.Insert(list, i, incarnationCounts{incarnation: incarnation, counts: map[kindKey]cherviltide.Counts{}})
	m.incarnations[member] = list[:min(len(list), maxIncarnations)]
	return &m.incarnations[member][i], true
}

// add adds counts to the total of a kind and, unless totalOnly is true, to its windows.
func (m *Merger) add(now cherviltide.Millis, k kindKey, c cherviltide.Counts, totalOnly bool) {
	s, ok := m.series[k]
	if !ok {
		s = &kindSeries{}
		m.series[k] = s
	}
	s.total = s.total.Plus(c)
	if totalOnly || c.Total() == 0 {
		return
	}
	for i := range s.rings {
		s.rings[i].add(now, windows[i].length, c)
	}
}

// maxCounts returns the larger of the two counts for each outcome.
func maxCounts(a, b cherviltide.Counts) cherviltide.Counts {
	return cherviltide.Counts{
		Timely: max(a.Timely, b.Timely), Late: max(a.Late, b.Late), Partial: max(a.Partial, b.Partial),
		Refused: max(a.Refused, b.Refused), Unknown: max(a.Unknown, b.Unknown),
	}
}

// subtract returns a - b. No count of b may exceed that of a.
func subtract(a, b cherviltide.Counts) cherviltide.Counts {
	return cherviltide.Counts{
		Timely: a.Timely - b.Timely, Late: a.Late - b.Late, Partial: a.Partial - b.Partial,
		Refused: a.Refused - b.Refused, Unknown: a.Unknown - b.Unknown,
	}
}
