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

// plot has the coordinates for the SVG plot of one kind.
type plot struct {
	Width, Height float64
	// Line has the timely share as x,y pairs; intervals without requests are omitted.
	Line string
	// ObjectiveY is the y coordinate of the objective; its line is not drawn if NoObjective is true.
	ObjectiveY  float64
	NoObjective bool
	// MinPercent is the share at the bottom of the plot, in percent; the top is 100.
	MinPercent float64
	// Dots mark the intervals with requests. Without them a single interval would be invisible, because it makes no line.
	Dots []dot
}

type dot struct {
	X, Y  float64
	Title string
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"stamp": formatTime, "plot": newPlot,
	"objective": KindReport.objective, "share": KindReport.timelyShare, "budget": KindReport.budgetLeft, "burn": KindReport.burnRate,
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
<title>Timely share of the last 6 hours, from {{printf "%.3g" .MinPercent}} % at the bottom to 100 % at the top</title>
{{if not .NoObjective}}<line x1="0" x2="{{.Width}}" y1="{{.ObjectiveY}}" y2="{{.ObjectiveY}}" stroke="#a00" stroke-dasharray="4 3"/>{{end}}
<polyline points="{{.Line}}" fill="none" stroke="#06c" stroke-width="1.5"/>
{{range .Dots}}<circle cx="{{.X}}" cy="{{.Y}}" r="2.5" fill="#06c"><title>{{.Title}}</title></circle>{{end}}
</svg>{{end}}
{{else}}<p>No kinds of traffic.</p>{{end}}</body></html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	if err := page.Execute(w, r); err != nil {
		return &Error{cherviltide.Fault{Op: "reporter.WriteHTML", Kind: cherviltide.KindInternal, Err: err}}
	}
	return nil
}

// Error is an error while a report is written.
type Error struct{ cherviltide.Fault }

func newPlot(k KindReport) plot {
	p := plot{Width: plotWidth, Height: plotHeight, NoObjective: k.Objective == 0, MinPercent: 100}
	if k.Objective > 0 {
		p.MinPercent = k.Objective
	}
	for _, point := range k.Plot {
		p.MinPercent = min(p.MinPercent, point.TimelyPercent)
	}
	p.MinPercent = math.Max(0, 100-1.2*(100-p.MinPercent))
	var line []string
	for i, point := range k.Plot {
		if point.Requests == 0 {
			continue
		}
		d := dot{X: round(float64(i) / float64(ringSize-1) * plotWidth), Y: p.y(point.TimelyPercent)}
		d.Title = fmt.Sprintf("%s: %d requests, %.3f %% timely", formatTime(point.Start), point.Requests, point.TimelyPercent)
		p.Dots = append(p.Dots, d)
		line = append(line, fmt.Sprintf("%g,%g", d.X, d.Y))
	}
	p.Line = strings.Join(line, " ")
	p.ObjectiveY = p.y(k.Objective)
	return p
}

// y returns the y coordinate of a share, in pixels from the top.
func (p plot) y(percent float64) float64 {
	if p.MinPercent >= 100 {
		return 0
	}
	return round((100 - percent) / (100 - p.MinPercent) * plotHeight)
}

// round rounds to one decimal place.
func round(x float64) float64 {
	return math.Round(x*10) / 10
}
