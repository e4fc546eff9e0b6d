// Package bench submits workloads, generated from a seed, to real gates, and computes figures
// from the callers' results and the ledger.
package bench

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"agatewinch/internal/core"
)

// Arrival is one job of a workload.
type Arrival struct {
	// At is the time from the workload's start to the submission.
	At      time.Duration
	Request string
	Org     string
	Caller  string
	Class   string
	Shape   core.Shape
	// Declared is the run time that the caller declares, Actual the real one.
	Declared   time.Duration
	Actual     time.Duration
	Idempotent bool
	// Small marks a short check. Large marks a job of a caller that demands far more than
	// others.
	Small bool
	Large bool
	// Flood marks the jobs of the scenario's flood of work; Build can leave them out.
	Flood bool
	// Guaranteed marks work within its organisation's guarantee, which must start in time.
	Guaranteed bool
	// Urgent marks work of an urgent class.
	Urgent bool
	// CancelAfter is the time after which the caller cancels the job; zero means never.
	CancelAfter time.Duration
	// NeverRunnable marks a job whose shape the fleet can never hold.
	NeverRunnable bool
	// AlwaysFails marks a job that fails on every worker.
	AlwaysFails bool
}

// Workload is a list of arrivals in time order.
type Workload struct {
	Arrivals []Arrival
	// WindowStart and WindowEnd bound the part of the run in which kept work is counted.
	WindowStart, WindowEnd time.Duration
	// Horizon ends the run. Jobs that have not succeeded by then count as completed then.
	Horizon time.Duration
	// FailingWorkers is the number of workers that fail every task.
	FailingWorkers int
}

// Scenario is a named generator of workloads.
type Scenario struct {
	Name string
	Make func(b *builder)
}

// orgs are the organisations of the bench: two large ones, then two small ones.
var orgs = []string{"haneul", "suva", "tow-club", "lab"}

// builder collects the arrivals of one workload. It has a random source of its own, so that
// a seed always gives the same workload.
type builder struct {
	rng      *rand.Rand
	workload Workload
	count    int
}

// Build generates the workload of a scenario from a seed, without its flood if withFlood is
// false.
func Build(s Scenario, seed uint64, withFlood bool) Workload {
	b := &builder{rng: rand.New(rand.NewPCG(seed, 0))}
	s.Make(b)
	if !withFlood {
		b.workload.Arrivals = withoutFlood(b.workload.Arrivals)
	}
	sort.SliceStable(b.workload.Arrivals, func(i, j int) bool { return b.workload.Arrivals[i].At < b.workload.Arrivals[j].At })
	return b.workload
}

func withoutFlood(all []Arrival) []Arrival {
	var kept []Arrival
	for _, a := range all {
		if !a.Flood {
			kept = append(kept, a)
		}
	}
	return kept
}

// poisson calls f for the times of a Poisson process from start to end with the given rate per
// second.
func (b *builder) poisson(rate float64, start, end time.Duration, f func(at time.Duration)) {
	at := start
	for {
		at += time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= end {
			return
		}
		f(at)
	}
}

func (b *builder) add(a Arrival) {
	b.count++
	a.Request = fmt.Sprintf("%s-%d", a.Class, b.count)
	a.Shape.CPU = max(a.Shape.CPU, 1)
	a.Shape.MemoryBytes = max(a.Shape.MemoryBytes, 1<<28)
	if a.Declared == 0 {
		a.Declared = a.Actual
	}
	b.workload.Arrivals = append(b.workload.Arrivals, a)
}

func (b *builder) randomOrg() string { return orgs[b.rng.IntN(len(orgs))] }

// between returns a uniformly distributed random duration from lo to hi.
func (b *builder) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(b.rng.Float64()*float64(hi-lo))
}
