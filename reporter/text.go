package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cherviltide.example/cherviltide"
)

// WriteText writes the report as a table with one line per kind.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "Service-level report at %s, revision %d, windows since %s\n", formatTime(r.Time), r.Revision, formatTime(r.Since))
	_, _ = fmt.Fprintln(t, "Service\tKind\tObjective%\tTimely\tLate\tPartial\tRefused\tUnknown\tTimely%(3d)\tBudgetLeft%\tBurn5m\tBurn1h\tBurn6h\tBurn3d")
	for _, k := range r.Kinds {
		cells := []string{k.Service, k.Kind, k.objective()}
		for _, n := range []uint64{k.Total.Timely, k.Total.Late, k.Total.Partial, k.Total.Refused, k.Total.Unknown} {
			cells = append(cells, fmt.Sprint(n))
		}
		cells = append(cells, k.timelyShare(), k.budgetLeft())
		for _, window := range k.Windows {
			cells = append(cells, k.burnRate(window))
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return t.Flush()
}

// noValue is shown in place of a figure that is undefined, such as the burn rate of a window without requests.
const noValue = "-"

func (k KindReport) objective() string {
	if k.Objective == 0 {
		return noValue
	}
	return fmt.Sprintf("%g", k.Objective)
}

func (k KindReport) timelyShare() string {
	longest := k.Windows[len(k.Windows)-1]
	if longest.Counts.Total() == 0 {
		return noValue
	}
	return fmt.Sprintf("%.3f", longest.TimelyPercent)
}

func (k KindReport) budgetLeft() string {
	if k.Objective == 0 || k.Windows[len(k.Windows)-1].Counts.Total() == 0 {
		return noValue
	}
	return fmt.Sprintf("%.1f", k.BudgetLeft)
}

func (k KindReport) burnRate(w Window) string {
	if k.Objective == 0 || w.Counts.Total() == 0 {
		return noValue
	}
	return fmt.Sprintf("%.2f", w.BurnRate)
}

func formatTime(m cherviltide.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}
