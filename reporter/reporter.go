// Package reporter computes the service-level report: how many requests of each kind were timely, how much of the error
// budget is left and how fast it burns.
package reporter

import (
	"cmp"
	"slices"

	"cherviltide.example/cherviltide"
)

// windows are the time windows of the burn rates, shortest first. The error budget is computed over the last one.
var windows = []struct {
	name   string
	length cherviltide.Millis
}{
	{"5m", 5 * 60_000},
	{"1h", 60 * 60_000},
	{"6h", 6 * 60 * 60_000},
	{"3d", 3 * 24 * 60 * 60_000},
}

// plotWindow is the index of the window that the plots show.
const plotWindow = 2

// Report is the service-level report at one time.
type Report struct {
	Time     cherviltide.Millis
	Revision uint64
	// Since is when the reporting instance started to count; windows that begin earlier are incomplete.
	Since cherviltide.Millis
	// Kinds are sorted by service and name.
	Kinds []KindReport
}

// KindReport is the part of a report about one kind of traffic.
type KindReport struct {
	Service, Kind string
	// Objective is the share of requests that must be timely, in percent; 0 if the rules no longer have the kind.
	Objective float64
	// Total counts all requests since the start of the processes that served them.
	Total cherviltide.Counts
	// BudgetLeft is the remaining share of the longest window's error budget, in percent; negative if it is overspent.
	BudgetLeft float64
	Windows    []Window
	// Plot has the timely share over the last 6 hours.
	Plot []Point
}

// Window has the counts of a time window that ends now.
type Window struct {
	Name   string
	Counts cherviltide.Counts
	// TimelyPercent is 100 if there were no requests.
	TimelyPercent float64
	// BurnRate is the share of requests that were not timely, divided by the share that the objective allows.
	// At a constant rate of 1 the error budget is used up exactly over the length of the window. It is 0 without an
	// objective.
	BurnRate float64
}

// Point is the timely share in one interval of a plot.
type Point struct {
	Start         cherviltide.Millis
	Requests      uint64
	TimelyPercent float64
}

// Build returns the report on the kinds in the rules and on those that were counted under older rules.
func (m *Merger) Build(now cherviltide.Millis, rules cherviltide.Rules) Report {
	report := Report{Time: now, Revision: rules.Revision, Since: m.started}
	listed := map[kindKey]bool{}
	for _, k := range rules.Kinds {
		listed[kindKey{k.Service, k.Name}] = true
		report.Kinds = append(report.Kinds, m.kindReport(now, kindKey{k.Service, k.Name}, k.Objective))
	}
	for k := range m.series {
		if !listed[k] {
			report.Kinds = append(report.Kinds, m.kindReport(now, k, 0))
		}
	}
	slices.SortFunc(report.Kinds, func(a, b KindReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Kind, b.Kind))
	})
	return report
}

func (m *Merger) kindReport(now cherviltide.Millis, k kindKey, objective float64) KindReport {
	s, ok := m.series[k]
	if !ok {
		s = &kindSeries{}
	}
	r := KindReport{Service: k.service, Kind: k.kind, Objective: objective, Total: s.total}
	for i, w := range windows {
		counts := s.rings[i].sum(now, w.length)
		r.Windows = append(r.Windows, newWindow(w.name, counts, objective))
	}
	r.BudgetLeft = 100 * (1 - r.Windows[len(windows)-1].BurnRate)
	r.Plot = s.rings[plotWindow].points(now, windows[plotWindow].length)
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
