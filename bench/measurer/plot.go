package measurer

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"math"
	"strings"

	"github.com/juju/errors"

	"cherviltide.example/cherviltide/bench/replayer"
)

// Size of a plot, in pixels. The margins have the title of a panel, its axes and their units.
const (
	panelWidth   = 560.0
	panelHeight  = 150.0
	marginLeft   = 60.0
	marginTop    = 52.0
	marginBottom = 44.0
	marginRight  = 30.0
	panelSpace   = marginTop + panelHeight + marginBottom
)

// The labels divide the axes into shareTicks intervals, and at most timeTicks.
const (
	shareTicks = 5
	timeTicks  = 10
)

// Colors of the present decision and of the earlier one.
const (
	presentColor = "#0055cc"
	earlierColor = "#cc4400"
)

// Plot has the share within the goal over time of the patterns whose lines it has, with a panel for each.
type Plot struct{ panels []*panel }

type panel struct {
	Title  string
	curves []*curve
}

// curve is the results of one variant, of all kinds.
type curve struct {
	Name    string
	results replayer.Results
}

// tick is a label of an axis at a position.
type tick struct {
	At    float64
	Label string
}

// drawnCurve is a curve with its color, coordinates and place in the legend.
type drawnCurve struct {
	Name, Color, Points string
	LegendX             float64
}

// add adds the results of a line. Lines without results over time are left out.
func (p *Plot) add(l Line) {
	if l.results == nil {
		return
	}
	if n := len(p.panels); n == 0 || p.panels[n-1].Title != l.pattern {
		p.panels = append(p.panels, &panel{Title: l.pattern})
	}
	last := p.panels[len(p.panels)-1]
	if n := len(last.curves); n == 0 || last.curves[n-1].Name != l.Variant {
		last.curves = append(last.curves, &curve{Name: l.Variant, results: replayer.Results{}})
	}
	maps.Copy(last.curves[len(last.curves)-1].results, l.results)
}

func (p *panel) seconds() int {
	n := 0
	for _, c := range p.curves {
		n = max(n, c.results.Seconds())
	}
	return n
}

// tenth rounds a coordinate to a tenth of a pixel.
func tenth(x float64) float64 { return math.Round(x*10) / 10 }

// x returns the x coordinate of a time in seconds.
func (p *panel) x(second float64) float64 {
	return tenth(marginLeft + panelWidth*second/float64(max(p.seconds(), 1)))
}

// bottom returns the share at the bottom of the panel, so that small differences below 100% can be seen.
func (p *panel) bottom() float64 {
	lowest := 1.0
	for _, c := range p.curves {
		for s := range c.results.Seconds() {
			if sum := c.results.Sum(s, s+1); sum.Asked > 0 {
				lowest = min(lowest, sum.TimelyShare())
			}
		}
	}
	for _, b := range []float64{0.95, 0.9, 0.8, 0.5} {
		if b <= lowest {
			return b
		}
	}
	return 0
}

// y returns the y coordinate of a share.
func (p *panel) y(share float64) float64 { return tenth(panelHeight * (1 - share) / (1 - p.bottom())) }

// Curves returns the curves; a point is in the middle of the second of arrival that it stands for.
func (p *panel) Curves() []drawnCurve {
	var drawn []drawnCurve
	for i, c := range p.curves {
		d := drawnCurve{Name: c.Name, Color: []string{presentColor, earlierColor}[i%2], LegendX: tenth(marginLeft + float64(i)*panelWidth/3)}
		var points []string
		for s := range c.results.Seconds() {
			if sum := c.results.Sum(s, s+1); sum.Asked > 0 {
				points = append(points, fmt.Sprintf("%.1f,%.1f", p.x(float64(s)+0.5), p.y(sum.TimelyShare())))
			}
		}
		d.Points = strings.Join(points, " ")
		drawn = append(drawn, d)
	}
	return drawn
}

// Times returns the labels of the time axis.
func (p *panel) Times() []tick {
	var ticks []tick
	step := (p.seconds() + timeTicks - 1) / timeTicks
	for s := 0; s <= p.seconds(); s += max(step, 1) {
		ticks = append(ticks, tick{p.x(float64(s)), fmt.Sprint(s)})
	}
	return ticks
}

// Shares returns the labels of the axis of shares.
func (p *panel) Shares() []tick {
	var ticks []tick
	bottom := p.bottom()
	for i := range shareTicks + 1 {
		share := bottom + (1-bottom)*float64(i)/shareTicks
		ticks = append(ticks, tick{p.y(share), fmt.Sprintf("%.3g", 100*share)})
	}
	return ticks
}

// Top returns the y coordinate of the plotting area of a panel.
func (p *Plot) Top(index int) float64 { return marginTop + panelSpace*float64(index) }

// Panels returns the panels in the order in which they are drawn.
func (p *Plot) Panels() []*panel { return p.panels }

// Edges and sizes of the plotting area, for the template.
var plotSizes = map[string]float64{
	"left": marginLeft, "right": marginLeft + panelWidth, "middle": marginLeft + panelWidth/2, "width": marginLeft + panelWidth + marginRight,
	"bottom": panelHeight, "center": panelHeight / 2, "curveWidth": 1.5,
}

var plotTemplate = template.Must(template.New("plot").Funcs(template.FuncMap{
	"size": func(name string) float64 { return plotSizes[name] },
}).Parse(`<svg xmlns="http://www.w3.org/2000/svg" width="{{size "width"}}" height="{{.Height}}" viewBox="0 0 {{size "width"}} {{.Height}}" role="img" font-family="sans-serif" font-size="11">
<title>Share of requests within their goal over time</title>
<rect width="{{size "width"}}" height="{{.Height}}" fill="#ffffff"/>
{{range $i, $panel := .Panels}}<g transform="translate(0 {{$.Top $i}})">
<text x="{{size "left"}}" y="-32" font-size="13">{{.Title}}</text>
{{range .Shares}}<line x1="{{size "left"}}" x2="{{size "right"}}" y1="{{.At}}" y2="{{.At}}" stroke="#dddddd"/><text x="{{size "left"}}" dx="-6" y="{{.At}}" dy="4" text-anchor="end">{{.Label}}</text>
{{end}}{{range .Times}}<text x="{{.At}}" y="{{size "bottom"}}" dy="15" text-anchor="middle">{{.Label}}</text>
{{end}}<line x1="{{size "left"}}" x2="{{size "left"}}" y1="0" y2="{{size "bottom"}}" stroke="#444444"/>
<line x1="{{size "left"}}" x2="{{size "right"}}" y1="{{size "bottom"}}" y2="{{size "bottom"}}" stroke="#444444"/>
<text x="{{size "middle"}}" y="{{size "bottom"}}" dy="30" text-anchor="middle">time of arrival (s)</text>
<text transform="translate(18 {{size "center"}}) rotate(-90)" text-anchor="middle">within the goal (%)</text>
{{range .Curves}}<polyline points="{{.Points}}" fill="none" stroke="{{.Color}}" stroke-width="{{size "curveWidth"}}"/>
<rect x="{{.LegendX}}" y="-17" width="18" height="3" fill="{{.Color}}"/><text x="{{.LegendX}}" dx="24" y="-12">{{.Name}}</text>
{{end}}</g>
{{end}}</svg>
`))

// Height returns the height of the image.
func (p *Plot) Height() float64 { return panelSpace * float64(len(p.panels)) }

// Write writes the plot as an SVG image.
func (p *Plot) Write(w io.Writer) error {
	if len(p.panels) == 0 {
		return errors.New("the case has no results over time to plot; the case hard-load has them")
	}
	return errors.Annotate(plotTemplate.Execute(w, p), "write plot")
}
