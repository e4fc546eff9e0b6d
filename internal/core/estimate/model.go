package estimate

import (
	"math"
	"math/bits"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is what tasks have in common that share a distribution of run times.
type Kind struct {
	// Org is the organisation, Queue the queue and Image what the tasks run.
	Org, Queue, Image string
	// Size is the size class of the step, as SizeOf returns it.
	Size int
}

// SizeOf returns the size class of an amount of work, for instance of the accelerators of all tasks of
// a step: sizes within a factor of four share a class.
func SizeOf(amount int64) int { return bits.Len64(uint64(max(0, amount))) / 2 }

// key identifies a distribution. The ratios of tasks that declare no run time are relative to
// nominalRunTime and are kept apart.
type key struct {
	Kind
	undeclared bool
}

// nominalRunTime replaces the declared time of tasks that declare none.
const nominalRunTime = time.Second

// levels returns the keys of the kinds to which tasks of k belong, the finest first.
func (k Kind) levels(undeclared bool) [4]key {
	return [4]key{
		{k, undeclared},
		{Kind{Org: k.Org, Queue: k.Queue, Image: k.Image, Size: anySize}, undeclared},
		{Kind{Queue: k.Queue, Size: anySize}, undeclared},
		{Kind{Size: anySize}, undeclared},
	}
}

// anySize is the size of kinds that include all sizes.
const anySize = -1

// maxDistributions bounds the memory for distributions: further kinds use coarser ones.
const maxDistributions = 1000

// Model is what has been observed of run times and speeds. It is not safe for concurrent use.
type Model struct {
	reportInterval time.Duration
	distributions  map[key]*distribution
	scratch        *hdrhistogram.Histogram
	fleet          *fleet
	// groups holds the progress of the groups that run, by name.
	groups map[string]*group
}

// NewModel returns a model without observations. Workers report the progress of their runs about once in
// reportInterval.
func NewModel(reportInterval time.Duration) *Model {
	return &Model{reportInterval: reportInterval, distributions: map[key]*distribution{}, scratch: hdrhistogram.New(1, maxRecorded, ratioDigits), fleet: newFleet(), groups: map[string]*group{}}
}

// End is the end of a run that is done.
type End struct {
	// Kind is the kind of its task, and Declared the time that its caller declared, multiplied by any
	// slowdown that follows from where it ran, or zero.
	Kind     Kind
	Declared time.Duration
	// Ran is how long it ran. A run that took no time is ignored.
	Ran time.Duration
	// Run, Group and Gang are those of its Progress.
	Run, Group string
	Gang       bool
	// Machines are the machine of the run or, for a gang, those of all its members, each once.
	Machines []string
}

// ObserveEnd adds a run of one task that is done: it ran for the given time on a machine.
func (m *Model) ObserveEnd(now time.Duration, k Kind, machine string, declared, ran time.Duration) {
	m.Observe(now, End{Kind: k, Declared: declared, Ran: ran, Machines: []string{machine}})
}

// Observe adds a run that is done. A gang ends when its slowest member does, as one run.
func (m *Model) Observe(now time.Duration, e End) {
	if e.Gang {
		m.compareMembers(now, e.Group)
		m.ForgetGroup(e.Group)
	}
	if e.Ran <= 0 || len(e.Machines) == 0 {
		return
	}
	declared, undeclared := orNominal(e.Declared)
	ratio := float64(e.Ran) / float64(declared)
	if !e.Gang {
		m.compareEnd(now, e, ratio, undeclared)
	}
	m.observeRatio(e.Kind, undeclared, ratio/m.fleet.slowest(e.Machines))
}

// compareEnd tells the lasting speed of a machine from the time that a run took there: by the other runs
// of its group or, if these are too few, by its kind.
func (m *Model) compareEnd(now time.Duration, e End, ratio float64, undeclared bool) {
	if e.Group != "" {
		g := m.groupNamed(e.Group)
		whole := math.Log2(ratio / complete)
		o := member{run: e.Run, machine: e.Machines[0], whole: whole, recent: whole}
		g.observe(o)
		if r := m.referenceFor(g, o.machine, wholeOf, false); r.known {
			m.observeSpeed(now, o, r)
			return
		}
	}
	if median, spread, known := m.usual(e.Kind, undeclared); known {
		m.fleet.observe(now, e.Machines[0], boundedLog2(ratio/median), spread)
	}
}

// observeRatio adds a ratio of run time to declared time on a machine of usual speed.
func (m *Model) observeRatio(k Kind, undeclared bool, ratio float64) {
	for _, l := range k.levels(undeclared) {
		if d := m.distribution(l); d != nil {
			d.observe(ratio)
		}
	}
}

// distribution returns the distribution of a key, or nil if there would be too many.
func (m *Model) distribution(l key) *distribution {
	d := m.distributions[l]
	if d == nil && len(m.distributions) < maxDistributions {
		d = newDistribution()
		m.distributions[l] = d
	}
	return d
}

func orNominal(declared time.Duration) (d time.Duration, undeclared bool) {
	if declared > 0 {
		return declared, false
	}
	return nominalRunTime, true
}

// RunTime returns the quantile q (0 to 1) of the run time of a task on a machine of usual speed. While
// too little has been observed for that quantile, also of coarser kinds, it is the declared time.
func (m *Model) RunTime(k Kind, declared time.Duration, q float64) time.Duration {
	ratio, ok := m.Ratio(k, declared <= 0, q)
	if !ok {
		return declared
	}
	base, _ := orNominal(declared)
	return time.Duration(float64(base) * ratio)
}

// Ratio returns the quantile q (0 to 1) of the ratio of the run time, on a machine of usual speed, to
// the declared one, for the finest kind of which enough is known. ok is false if there is none.
func (m *Model) Ratio(k Kind, undeclared bool, q float64) (ratio float64, ok bool) {
	for _, l := range k.levels(undeclared) {
		if d := m.distributions[l]; d != nil && d.knows(q) {
			return d.quantile(q, m.scratch), true
		}
	}
	return 1, false
}

const (
	// unknownSpread is the standard deviation of the base-2 logarithm of ratios that is assumed of a
	// kind of which too little is known: declared times are off by half.
	unknownSpread = 1.0
	// minSpread covers the resolution of the sketch and of reported progress.
	minSpread = 0.1
	// oneSigma is the quantile one standard deviation above the mean of a normal distribution.
	oneSigma = 0.8413
)

// usual returns the median ratio of a kind and the standard deviation of the ratios' base-2 logarithm.
// known is false if too little has been observed; the ratio is then one.
func (m *Model) usual(k Kind, undeclared bool) (median, spread float64, known bool) {
	median, known = m.Ratio(k, undeclared, 0.5)
	high, okHigh := m.Ratio(k, undeclared, oneSigma)
	low, okLow := m.Ratio(k, undeclared, 1-oneSigma)
	if !known || !okHigh || !okLow {
		return median, unknownSpread, false
	}
	return median, max(minSpread, math.Log2(high/low)/2), true
}

// RunTimes is the distribution of the run times of tasks with one declared time on a machine of usual
// speed. It is valid until the next observation.
type RunTimes struct {
	curve    []float64
	declared time.Duration
}

// RunTimes returns the distribution for the finest kind of which enough is known. ok is false if there
// is none.
func (m *Model) RunTimes(k Kind, declared time.Duration) (r RunTimes, ok bool) {
	base, undeclared := orNominal(declared)
	for _, l := range k.levels(undeclared) {
		if d := m.distributions[l]; d != nil && d.knows(0.5) {
			return RunTimes{d.ratios(m.scratch), base}, true
		}
	}
	return RunTimes{}, false
}

// Risk returns the probability that a task runs for longer than limit.
func (r RunTimes) Risk(limit time.Duration) float64 {
	return above(r.curve, float64(limit)/float64(r.declared))
}

// Median returns the median run time.
func (r RunTimes) Median() time.Duration {
	return time.Duration(r.curve[curveSteps/2] * float64(r.declared))
}

// Remaining returns the median of the time for which a task still runs that has run for the time so far.
// One that has run for longer than all of its kind needs a tenth of that time more.
func (r RunTimes) Remaining(sofar time.Duration) time.Duration {
	risk := r.Risk(sofar)
	if risk <= 0 {
		return sofar / 10
	}
	ratio := r.curve[int(math.Ceil((1-risk/2)*curveSteps))]
	return max(0, time.Duration(ratio*float64(r.declared))-sofar)
}
