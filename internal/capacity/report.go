package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/gravitational/trace"
)

// ReadPoints reads measurements in JSON Lines format.
func ReadPoints(r io.Reader) ([]Point, error) {
	var points []Point
	dec := json.NewDecoder(r)
	for dec.More() {
		var p Point
		if err := dec.Decode(&p); err != nil {
			return nil, trace.Wrap(err)
		}
		points = append(points, p)
	}
	return points, nil
}

// Markdown returns three tables: the slopes; the costs at the design size, calculated from the
// slopes and measured, with their budgets; and the measured traffic at the design size by
// counter.
func Markdown(points []Point) string {
	var b strings.Builder
	b.WriteString("### Slopes\n\n| role | cost | factor | base | for each unit | R² | points |\n|---|---|---|---|---|---|---|\n")
	for _, s := range Fit(points) {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %.2f | %d |\n", s.Role, s.Cost, s.Factor, formatCost(s.Cost, s.Intercept), formatCost(s.Cost, s.PerUnit), s.R2, s.N)
	}
	b.WriteString("\n### Budget at the design size\n\n| role | cost | budget | calculated from slopes | measured | verdict (measured) |\n|---|---|---|---|---|---|\n")
	measured := designRates(points)
	for _, e := range EstimateCosts(points, Base(), Design()) {
		m, ok := measured[e.Role]
		text, verdict := "not measured", "not measured"
		if ok {
			value := e.Cost.Value(m)
			text, verdict = formatCost(e.Cost.Name, value), verdictOf(value, e.Cost)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s |\n", e.Role, e.Cost.Name, formatCost(e.Cost.Name, e.Budget), formatCost(e.Cost.Name, e.Value), text, verdict)
	}
	b.WriteString("\n### Traffic by kind at the design size, measured\n\n| role | counter | bytes/s |\n|---|---|---|\n")
	for _, role := range roles(points) {
		for _, kind := range sortedKinds(measured[role].ByKind) {
			fmt.Fprintf(&b, "| %s | %s | %.0f |\n", role, kind, measured[role].ByKind[kind])
		}
	}
	return b.String()
}

// verdictOf compares a measured cost with its budget.
func verdictOf(value float64, c Cost) string {
	if value <= c.Budget {
		return "fits"
	}
	return fmt.Sprintf("over by %.0f%%", 100*(value/c.Budget-1))
}

// designRates returns the rates measured at the design size, by role.
func designRates(points []Point) map[string]Rates {
	byRole := map[string]Rates{}
	for _, p := range points {
		if p.Factor == CheckFactor {
			byRole[p.Role] = p.Rates
		}
	}
	return byRole
}

// sortedKinds returns the counters with a positive rate in alphabetical order.
func sortedKinds(m map[string]float64) []string {
	var names []string
	for name, rate := range m {
		if rate > 0 {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

func formatCost(cost string, v float64) string {
	switch cost {
	case "processor":
		return fmt.Sprintf("%.4f%% of a core", v*100)
	case "memory":
		return fmt.Sprintf("%.3f MB", v/(1<<20))
	default:
		return fmt.Sprintf("%.2f B/s", v)
	}
}
