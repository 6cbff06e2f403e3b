package reporter

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"cherviltide.example/cherviltide"
)

// WriteText prints the report as a table with one line for each kind.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "Service-level report at %s, revision %d, windows since %s\n", stamp(r.Time), r.Revision, stamp(r.Since))
	_, _ = fmt.Fprintln(t, "Service\tKind\tObjective%\tTimely\tLate\tPartial\tRefused\tUnknown\tTimely%(3d)\tBudgetLeft%\tBurn5m\tBurn1h\tBurn6h\tBurn3d")
	for _, k := range r.Kinds {
		cells := []string{k.Service, k.Kind, k.objective()}
		for _, n := range []uint64{k.Total.Timely, k.Total.Late, k.Total.Partial, k.Total.Refused, k.Total.Unknown} {
			cells = append(cells, fmt.Sprint(n))
		}
		cells = append(cells, k.share(), k.budget())
		for _, x := range k.Windows {
			cells = append(cells, k.burn(x))
		}
		_, _ = fmt.Fprintln(t, strings.Join(cells, "\t"))
	}
	return t.Flush()
}

// none stands where a figure has no basis, such as the burn rate of a window without requests.
const none = "-"

func (k KindReport) objective() string {
	if k.Objective == 0 {
		return none
	}
	return fmt.Sprintf("%g", k.Objective)
}

func (k KindReport) share() string {
	longest := k.Windows[len(k.Windows)-1]
	if longest.Counts.Total() == 0 {
		return none
	}
	return fmt.Sprintf("%.3f", longest.TimelyPercent)
}

func (k KindReport) budget() string {
	if k.Objective == 0 || k.Windows[len(k.Windows)-1].Counts.Total() == 0 {
		return none
	}
	return fmt.Sprintf("%.1f", k.BudgetLeft)
}

func (k KindReport) burn(w Window) string {
	if k.Objective == 0 || w.Counts.Total() == 0 {
		return none
	}
	return fmt.Sprintf("%.2f", w.BurnRate)
}

func stamp(m cherviltide.Millis) string {
	return time.UnixMilli(int64(m)).UTC().Format(time.RFC3339)
}
