package capacity

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Factor names a size of the system on which the cost of a role depends.
type Factor string

// The factors. Each series of measurements varies one of them.
const (
	// Workers is the number of workers of the measured zone.
	Workers Factor = "workers"
	// Running and Waiting are the numbers of running and of waiting jobs.
	Running Factor = "running"
	Waiting Factor = "waiting"
	// Orgs is the number of organisations.
	Orgs Factor = "organisations"
	// Changes is the number of configuration changes per second.
	Changes Factor = "changes_per_s"
	// EntryHosts is the number of entry hosts in all zones.
	EntryHosts Factor = "entry_hosts"
)

// Point is one measurement of the cost of one role at given sizes of all factors.
type Point struct {
	// Factor is the factor that the series varies.
	Factor Factor             `json:"factor"`
	Sizes  map[Factor]float64 `json:"sizes"`
	Role   string             `json:"role"`
	Rates  Rates              `json:"rates"`
}

// Cost is one of the three figures that have a budget.
type Cost struct {
	Name   string
	Unit   string
	Budget float64
	Value  func(Rates) float64
}

// The budgets of each process for its control work: a share of a core, bytes of memory, and
// bytes per second.
const (
	cpuBudget    = 0.04
	memoryBudget = 128 << 20
	bytesBudget  = 5000
)

// Costs returns the figures that have a budget.
func Costs() []Cost {
	return []Cost{
		{"processor", "share of a core", cpuBudget, func(r Rates) float64 { return r.CPU }},
		{"memory", "bytes", memoryBudget, func(r Rates) float64 { return r.Resident }},
		{"traffic", "bytes/s", bytesBudget, func(r Rates) float64 { return r.BytesPerSecond }},
	}
}

// Slope is the least-squares line through one series of measurements.
type Slope struct {
	Role      string
	Factor    Factor
	Cost      string
	Intercept float64
	PerUnit   float64
	// R2 is the share of the variance that the line explains.
	R2 float64
	// N is the number of points.
	N int
}

// Fit returns the slope for every combination of role, factor and cost that was measured at two
// sizes or more.
func Fit(points []Point) []Slope {
	var slopes []Slope
	for _, role := range roles(points) {
		for _, factor := range []Factor{Workers, Running, Waiting, Orgs, Changes, EntryHosts} {
			for _, cost := range Costs() {
				if s, ok := fitOne(points, role, factor, cost); ok {
					slopes = append(slopes, s)
				}
			}
		}
	}
	return slopes
}

func roles(points []Point) []string {
	var names []string
	seen := map[string]bool{}
	for _, p := range points {
		if !seen[p.Role] {
			seen[p.Role] = true
			names = append(names, p.Role)
		}
	}
	return names
}

// series returns the sizes and costs of the points of a role that vary factor.
func series(points []Point, role string, factor Factor, cost Cost) (xs, ys []float64) {
	for _, p := range points {
		if p.Role == role && p.Factor == factor {
			xs = append(xs, p.Sizes[factor])
			ys = append(ys, cost.Value(p.Rates))
		}
	}
	return xs, ys
}

func fitOne(points []Point, role string, factor Factor, cost Cost) (Slope, bool) {
	xs, ys := series(points, role, factor, cost)
	if len(xs) < 2 || stat.Variance(xs, nil) == 0 {
		return Slope{}, false
	}
	alpha, beta := stat.LinearRegression(xs, ys, nil, false)
	r2 := stat.RSquared(xs, ys, nil, alpha, beta)
	// R² is undefined if all costs are equal; the line then fits exactly.
	if math.IsNaN(r2) {
		r2 = 1
	}
	return Slope{Role: role, Factor: factor, Cost: cost.Name, Intercept: alpha, PerUnit: beta, R2: r2, N: len(xs)}, true
}

// Estimate is the cost of a role at given sizes, calculated from a base and the slopes.
type Estimate struct {
	Role   string
	Cost   Cost
	Value  float64
	Budget float64
	// Parts holds the cost that each factor adds to the base.
	Parts map[Factor]float64
}

// Fits reports whether the estimate is within its budget.
func (e Estimate) Fits() bool { return e.Value <= e.Budget }

// EstimateCosts estimates the costs of every role at the given sizes. It starts from the mean of
// the points that were measured at the base sizes, and adds for each factor its slope times the
// difference from its base size. A negative slope, which only noise causes, counts as zero. The
// estimate is NaN if a role was not measured at the base sizes.
func EstimateCosts(points []Point, base, sizes map[Factor]float64) []Estimate {
	slopes := Fit(points)
	var all []Estimate
	for _, role := range roles(points) {
		for _, cost := range Costs() {
			e := Estimate{Role: role, Cost: cost, Budget: cost.Budget, Parts: map[Factor]float64{}}
			e.Value = baseCost(points, role, base, cost)
			for _, s := range slopes {
				if s.Role != role || s.Cost != cost.Name {
					continue
				}
				part := max(s.PerUnit, 0) * (sizes[s.Factor] - base[s.Factor])
				e.Parts[s.Factor] = part
				e.Value += part
			}
			all = append(all, e)
		}
	}
	return all
}

func baseCost(points []Point, role string, base map[Factor]float64, cost Cost) float64 {
	var values []float64
	for _, p := range points {
		if p.Role == role && sameSizes(p.Sizes, base) {
			values = append(values, cost.Value(p.Rates))
		}
	}
	if len(values) == 0 {
		return math.NaN()
	}
	return stat.Mean(values, nil)
}

func sameSizes(a, b map[Factor]float64) bool {
	for f, x := range b {
		if a[f] != x {
			return false
		}
	}
	return true
}
