package bench

import (
	"bufio"
	"bytes"
	"encoding/json"
	"html/template"
	"io"
	"slices"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// ReadLines reads result lines in JSON Lines format.
func ReadLines(r io.Reader) ([]Line, error) {
	var lines []Line
	dec := json.NewDecoder(bufio.NewReader(r))
	for dec.More() {
		var l Line
		if err := dec.Decode(&l); err != nil {
			return nil, trace.Wrap(err)
		}
		lines = append(lines, l)
	}
	return lines, nil
}

// measure is a figure of a Line that is tabulated and plotted.
type measure struct {
	Name  string
	Value func(Line) float64
}

var measures = []measure{
	{"completion, 95th percentile (s)", func(l Line) float64 { return l.CompletionP95 }},
	{"completion of small checks, 95th percentile (s)", func(l Line) float64 { return l.SmallCompletionP95 }},
	{"start of urgent work, 99th percentile (s)", func(l Line) float64 { return l.UrgentStartP99 }},
	{"start of guaranteed work, 99th percentile (s)", func(l Line) float64 { return l.GuaranteedStartP99 }},
	{"fragmentation", func(l Line) float64 { return l.Fragmentation }},
	{"kept work ratio", func(l Line) float64 { return l.KeptWorkRatio }},
	{"slowdown of small callers", func(l Line) float64 { return l.SmallCallerSlowdown }},
	{"slowdown of large callers", func(l Line) float64 { return l.LargeCallerSlowdown }},
	{"utilisation", func(l Line) float64 { return l.Utilisation }},
}

// group holds the lines of one size and scenario.
type group struct {
	Size, Scenario string
	Lines          []Line
}

func groups(lines []Line) []group {
	var all []group
	for _, l := range lines {
		i := slices.IndexFunc(all, func(g group) bool { return g.Size == l.Size && g.Scenario == l.Scenario })
		if i < 0 {
			i = len(all)
			all = append(all, group{Size: l.Size, Scenario: l.Scenario})
		}
		all[i].Lines = append(all[i].Lines, l)
	}
	return all
}

func policies(lines []Line) []string {
	var names []string
	for _, l := range lines {
		if !slices.Contains(names, l.Policy) {
			names = append(names, l.Policy)
		}
	}
	return names
}

// Median returns the median over seeds of one figure for a policy.
func Median(lines []Line, policy string, value func(Line) float64) float64 {
	var values []float64
	for _, l := range lines {
		if l.Policy == policy {
			values = append(values, value(l))
		}
	}
	return quantile(values, 0.5)
}

// draw returns an SVG bar chart of one measure with a bar for each group and policy.
func draw(m measure, all []group, names []string) (template.HTML, error) {
	const width, height, bar = 14 * vg.Centimeter, 7 * vg.Centimeter, vg.Length(10)
	p := plot.New()
	p.Title.Text = m.Name
	p.Legend.Top = true
	var labels []string
	for _, g := range all {
		labels = append(labels, g.Size+"\n"+g.Scenario)
	}
	for i, name := range names {
		var values plotter.Values
		for _, g := range all {
			values = append(values, Median(g.Lines, name, m.Value))
		}
		bars, err := plotter.NewBarChart(values, bar)
		if err != nil {
			return "", trace.Wrap(err)
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = bar * vg.Length(i)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.NominalX(labels...)
	return svg(p, width, height)
}

func svg(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	w, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", trace.Wrap(err)
	}
	var buf bytes.Buffer
	if _, err := w.WriteTo(&buf); err != nil {
		return "", trace.Wrap(err)
	}
	// The markup needs no escaping: the plot library generates it from the program's own figures.
	return template.HTML(buf.String()), nil
}

// row holds the medians of one policy in a group, and in Wrong the sum over all seeds of the
// counts of wrong behaviour.
type row struct {
	Size, Scenario, Policy string
	Seeds                  int
	Values                 []float64
	Wrong                  int
}

func rows(all []group, names []string) []row {
	var out []row
	for _, g := range all {
		for _, name := range names {
			r := row{Size: g.Size, Scenario: g.Scenario, Policy: name}
			for _, m := range measures {
				r.Values = append(r.Values, Median(g.Lines, name, m.Value))
			}
			for _, l := range g.Lines {
				if l.Policy != name {
					continue
				}
				r.Seeds++
				c := l.Counts
				r.Wrong += c.PartialGangs + c.GuaranteeMisses + c.DuplicateRuns + c.LostJobs + c.FalseNotRun + c.WrongAnswers
			}
			out = append(out, r)
		}
	}
	return out
}

var reportPage = template.Must(template.New("report").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>agatewinch bench</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:3px 8px;text-align:right}</style>
</head><body><h1>agatewinch bench</h1><p>Medians over seeds, policies side by side in one run.</p>
<table><tr><th>size</th><th>scenario</th><th>policy</th><th>seeds</th>{{range .Measures}}<th>{{.Name}}</th>{{end}}<th>wrong behaviour, all seeds</th></tr>
{{range .Rows}}<tr><td>{{.Size}}</td><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{.Seeds}}</td>{{range .Values}}<td>{{printf "%.2f" .}}</td>{{end}}<td>{{.Wrong}}</td></tr>
{{end}}</table>{{range .Plots}}<p>{{.}}</p>{{end}}</body></html>
`))

// WriteReport writes an HTML page with a table and a plot for each measure.
func WriteReport(w io.Writer, lines []Line) error {
	all, names := groups(lines), policies(lines)
	data := struct {
		Measures []measure
		Rows     []row
		Plots    []template.HTML
	}{Measures: measures, Rows: rows(all, names)}
	for _, m := range measures {
		chart, err := draw(m, all, names)
		if err != nil {
			return trace.Wrap(err)
		}
		data.Plots = append(data.Plots, chart)
	}
	return trace.Wrap(reportPage.Execute(w, data))
}
