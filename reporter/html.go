package reporter

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"cherviltide.example/cherviltide"
)

// Size of a plot, in pixels.
const (
	plotWidth  = 420.0
	plotHeight = 90.0
)

// plot is the SVG of one kind.
type plot struct {
	Width, Height float64
	// Line has the timely share as x,y pairs; stretches without requests are left out.
	Line string
	// Bound is the height of the objective's line; it is not drawn when NoObjective is true.
	Bound       float64
	NoObjective bool
	// Lowest is the share at the bottom, in percent; the top is 100.
	Lowest float64
	// Dots mark stretches with requests, so that a single one is visible.
	Dots []dot
}

type dot struct {
	X, Y  float64
	Title string
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"stamp": stamp, "plot": newPlot,
	"objective": KindReport.objective, "share": KindReport.share, "budget": KindReport.budget, "burn": KindReport.burn,
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level report</title>
<style>
body{font:14px/1.4 sans-serif;margin:2em;color:#222}table{border-collapse:collapse}
th,td{border:1px solid #bbb;padding:.2em .6em;text-align:right}th:first-child,td:first-child{text-align:left}
svg{background:#f6f6f6;display:block;margin:.5em 0}.overspent{color:#a00;font-weight:bold}
</style></head><body>
<h1>Service-level report</h1>
<p>{{stamp .Time}}, revision {{.Revision}}. Windows are filled since {{stamp .Since}}.</p>
{{range $k := .Kinds}}<h2>{{.Service}} / {{.Kind}}</h2>
<p>Objective {{objective .}} % timely; timely over 3 days {{share .}} %;
<span{{if lt .BudgetLeft 0.0}} class="overspent"{{end}}>error budget left {{budget .}} %</span>.</p>
<table><tr><th>Window</th><th>Timely</th><th>Late</th><th>Partial</th><th>Refused</th><th>Unknown</th><th>Burn rate</th></tr>
{{range .Windows}}<tr><td>{{.Name}}</td>{{with .Counts}}<td>{{.Timely}}</td><td>{{.Late}}</td><td>{{.Partial}}</td><td>{{.Refused}}</td><td>{{.Unknown}}</td>{{end}}<td>{{burn $k .}}</td></tr>
{{end}}<tr><td>Since start</td>{{with .Total}}<td>{{.Timely}}</td><td>{{.Late}}</td><td>{{.Partial}}</td><td>{{.Refused}}</td><td>{{.Unknown}}</td>{{end}}<td>-</td></tr></table>
{{with plot .}}<svg width="{{.Width}}" height="{{.Height}}" viewBox="0 0 {{.Width}} {{.Height}}" role="img">
<title>Timely share of the last 6 hours, from {{printf "%.3g" .Lowest}} % at the bottom to 100 % at the top</title>
{{if not .NoObjective}}<line x1="0" x2="{{.Width}}" y1="{{.Bound}}" y2="{{.Bound}}" stroke="#a00" stroke-dasharray="4 3"/>{{end}}
<polyline points="{{.Line}}" fill="none" stroke="#06c" stroke-width="1.5"/>
{{range .Dots}}<circle cx="{{.X}}" cy="{{.Y}}" r="2.5" fill="#06c"><title>{{.Title}}</title></circle>{{end}}
</svg>{{end}}
{{else}}<p>No kinds of traffic.</p>{{end}}</body></html>
`))

// WriteHTML prints the report as one page that needs no other file.
func (r Report) WriteHTML(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return &Error{cherviltide.Fault{Op: "reporter.WriteHTML", Kind: cherviltide.KindInternal, Err: err}}
	}
	return nil
}

// Error is a failure to write a report.
type Error struct{ cherviltide.Fault }

func newPlot(k KindReport) plot {
	p := plot{Width: plotWidth, Height: plotHeight, NoObjective: k.Objective == 0, Lowest: 100}
	if k.Objective > 0 {
		p.Lowest = k.Objective
	}
	for _, x := range k.Plot {
		p.Lowest = min(p.Lowest, x.TimelyPercent)
	}
	p.Lowest = math.Max(0, 100-1.2*(100-p.Lowest))
	var line []string
	for i, x := range k.Plot {
		if x.Requests == 0 {
			continue
		}
		d := dot{X: round(float64(i) / float64(slots-1) * plotWidth), Y: p.height(x.TimelyPercent)}
		d.Title = fmt.Sprintf("%s: %d requests, %.3f %% timely", stamp(x.Start), x.Requests, x.TimelyPercent)
		p.Dots = append(p.Dots, d)
		line = append(line, fmt.Sprintf("%g,%g", d.X, d.Y))
	}
	p.Line = strings.Join(line, " ")
	p.Bound = p.height(k.Objective)
	return p
}

// height returns the distance of a share from the top, in pixels.
func (p plot) height(percent float64) float64 {
	if p.Lowest >= 100 {
		return 0
	}
	return round((100 - percent) / (100 - p.Lowest) * plotHeight)
}

func round(x float64) float64 {
	return math.Round(x*10) / 10
}
