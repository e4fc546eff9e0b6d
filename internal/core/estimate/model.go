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
	distributions map[key]*distribution
	scratch       *hdrhistogram.Histogram
	fleet         *fleet
}

// NewModel returns a model without observations.
func NewModel() *Model {
	return &Model{distributions: map[key]*distribution{}, scratch: hdrhistogram.New(1, maxRecorded, ratioDigits), fleet: newFleet()}
}

// ObserveEnd adds a run of one task that is done: it ran for the given time on a machine. declared is
// the time that its caller declared, multiplied by any slowdown that follows from where it ran, or zero.
func (m *Model) ObserveEnd(now time.Duration, k Kind, machine string, declared, ran time.Duration) {
	m.ObserveGangEnd(now, k, []string{machine}, declared, ran)
}

// ObserveGangEnd adds a run of a gang that is done. Its members run as fast as the slowest of their
// machines, each of which is named once. A run that took no time is ignored.
func (m *Model) ObserveGangEnd(now time.Duration, k Kind, machines []string, declared, ran time.Duration) {
	if ran <= 0 || len(machines) == 0 {
		return
	}
	declared, undeclared := orNominal(declared)
	usual, spread := m.usual(k, undeclared)
	ratio := float64(ran) / float64(declared)
	slowest := m.fleet.slowest(machines)
	m.fleet.observeEnd(now, machines, boundedLog2(ratio/usual), spread)
	for _, l := range k.levels(undeclared) {
		if d := m.distribution(l); d != nil {
			d.observe(ratio / slowest)
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
func (m *Model) usual(k Kind, undeclared bool) (median, spread float64) {
	median, ok := m.Ratio(k, undeclared, 0.5)
	if !ok {
		return median, unknownSpread
	}
	high, okHigh := m.Ratio(k, undeclared, oneSigma)
	low, okLow := m.Ratio(k, undeclared, 1-oneSigma)
	if !okHigh || !okLow {
		return median, unknownSpread
	}
	return median, max(minSpread, math.Log2(high/low)/2)
}
