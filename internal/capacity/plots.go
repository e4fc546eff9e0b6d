package capacity

import (
	"bytes"
	"html/template"
	"io"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

var plotsPage = template.Must(template.New("plots").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>agatewinch capacity</title></head>
<body><h1>agatewinch capacity</h1>{{range .}}<p>{{.}}</p>{{end}}</body></html>
`))

// WritePlots writes an HTML page with a plot for each factor and cost. Each plot shows the points
// of all roles and the fitted lines.
func WritePlots(w io.Writer, points []Point) error {
	var plots []template.HTML
	for _, factor := range []Factor{Workers, Running, Waiting, Orgs, Changes, EntryHosts} {
		for _, cost := range Costs() {
			markup, err := drawCost(points, factor, cost)
			if err != nil {
				return trace.Wrap(err)
			}
			plots = append(plots, markup)
		}
	}
	return trace.Wrap(plotsPage.Execute(w, plots))
}

func drawCost(points []Point, factor Factor, cost Cost) (template.HTML, error) {
	const width, height = 12 * vg.Centimeter, 7 * vg.Centimeter
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = string(factor), cost.Name+" ("+cost.Unit+")"
	for i, role := range roles(points) {
		xs, ys := series(points, role, factor, cost)
		var xys plotter.XYs
		for j := range xs {
			xys = append(xys, plotter.XY{X: xs[j], Y: ys[j]})
		}
		scatter, err := plotter.NewScatter(xys)
		if err != nil { // a value is not finite
			continue
		}
		scatter.Color = plotutil.Color(i)
		p.Add(scatter)
		p.Legend.Add(role, scatter)
		if s, ok := fitOne(points, role, factor, cost); ok {
			line := plotter.NewFunction(func(x float64) float64 { return s.Intercept + s.PerUnit*x })
			line.Color = plotutil.Color(i)
			p.Add(line)
		}
	}
	out, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", trace.Wrap(err)
	}
	var buf bytes.Buffer
	if _, err := out.WriteTo(&buf); err != nil {
		return "", trace.Wrap(err)
	}
	// The markup needs no escaping: the plot library generates it from the program's own figures.
	return template.HTML(buf.String()), nil
}
