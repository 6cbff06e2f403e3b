// Package reporter computes the service-level report: how many requests of each kind were timely, how much of the error
// budget is left and how fast it burns.
package reporter

import (
	"cmp"
	"slices"

	"cherviltide.example/cherviltide"
)

// spans are the windows of the burn rate, shortest first. The budget is that of the last one.
var spans = []struct {
	name string
	span cherviltide.Millis
}{
	{"5m", 5 * 60_000},
	{"1h", 60 * 60_000},
	{"6h", 6 * 60 * 60_000},
	{"3d", 3 * 24 * 60 * 60_000},
}

// plotSpan is the index of the window that plots show.
const plotSpan = 2

// Report is the service-level report at one time.
type Report struct {
	Time     cherviltide.Millis
	Revision uint64
	// Since is when the reporting instance started to fill the windows; windows that reach further back are incomplete.
	Since cherviltide.Millis
	// Kinds are in the order of their services and names.
	Kinds []KindReport
}

// KindReport is the part of a report about one kind of traffic.
type KindReport struct {
	Service, Kind string
	// Objective is the share of requests that must be timely, in percent; 0 when the rules no longer have the kind.
	Objective float64
	// Total counts all requests since the start of the processes that served them.
	Total cherviltide.Counts
	// BudgetLeft is the share of the longest window's error budget that is left, in percent; negative when overspent.
	BudgetLeft float64
	Windows    []Window
	// Plot has the timely share over the last 6 hours.
	Plot []Point
}

// Window has the counts of the last stretch of time.
type Window struct {
	Name   string
	Counts cherviltide.Counts
	// TimelyPercent is 100 when there were no requests.
	TimelyPercent float64
	// BurnRate is the share of requests that were not timely, divided by the share that the objective allows.
	// At 1 the budget is used up exactly at the end of the window's length; 0 when there is no objective.
	BurnRate float64
}

// Point is the timely share in one stretch of time.
type Point struct {
	Start         cherviltide.Millis
	Requests      uint64
	TimelyPercent float64
}

// Build returns the report of the kinds in the rules and of those that were counted under older rules.
func (m *Merger) Build(now cherviltide.Millis, rules cherviltide.Rules) Report {
	report := Report{Time: now, Revision: rules.Revision, Since: m.started}
	listed := map[key]bool{}
	for _, k := range rules.Kinds {
		listed[key{k.Service, k.Name}] = true
		report.Kinds = append(report.Kinds, m.kind(now, key{k.Service, k.Name}, k.Objective))
	}
	for k := range m.series {
		if !listed[k] {
			report.Kinds = append(report.Kinds, m.kind(now, k, 0))
		}
	}
	slices.SortFunc(report.Kinds, func(a, b KindReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return report
}

func (m *Merger) kind(now cherviltide.Millis, k key, objective float64) KindReport {
	s, ok := m.series[k]
	if !ok {
		s = &series{}
	}
	r := KindReport{Service: k.service, Kind: k.kind, Objective: objective, Total: s.total}
	for i, x := range spans {
		counts := s.rings[i].sum(now, x.span)
		r.Windows = append(r.Windows, newWindow(x.name, counts, objective))
	}
	r.BudgetLeft = 100 * (1 - r.Windows[len(spans)-1].BurnRate)
	r.Plot = s.rings[plotSpan].points(now, spans[plotSpan].span)
	return r
}

func newWindow(name string, c cherviltide.Counts, objective float64) Window {
	w := Window{Name: name, Counts: c, TimelyPercent: timelyPercent(c)}
	if objective > 0 && objective < 100 {
		w.BurnRate = (100 - w.TimelyPercent) / (100 - objective)
	}
	return w
}

func timelyPercent(c cherviltide.Counts) float64 {
	if c.Total() == 0 {
		return 100
	}
	return 100 * float64(c.Timely) / float64(c.Total())
}
