// Package bench drives real gates with a workload made from a seed, and measures what
// the callers and the ledger saw.
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
	// Declared is what the caller claims, Actual how long the job runs.
	Declared   time.Duration
	Actual     time.Duration
	Idempotent bool
	// Small marks a short check; Large marks a caller that asks for far more than others.
	Small bool
	Large bool
	// Flood marks the work that floods in; all else is the other work.
	Flood bool
	// Guaranteed marks work that its organisation's guarantee must start in time.
	Guaranteed bool
	// Urgent marks work of an urgent class.
	Urgent bool
	// CancelAfter is when the caller gives up; zero means never.
	CancelAfter time.Duration
	// NeverRunnable marks a shape that no worker can hold.
	NeverRunnable bool
	// Broken marks a job that fails wherever it runs.
	Broken bool
}

// Workload is a list of arrivals in time order.
type Workload struct {
	Arrivals []Arrival
	// Window is the part of the run in which kept work is counted.
	WindowStart, WindowEnd time.Duration
	// Horizon ends the run; jobs that have not ended by then count as taking until then.
	Horizon time.Duration
	// BadWorkers is how many workers fail everything they start.
	BadWorkers int
}

// Scenario makes a workload from a seed; without flood the flooding work is left out.
type Scenario struct {
	Name string
	Make func(b *builder)
}

// Organisations of the bench: two large ones and two small ones.
var orgs = []string{"haneul", "suva", "tow-club", "lab"}

// builder gathers arrivals; its random source belongs to one scenario and seed.
type builder struct {
	rng *rand.Rand
	w   Workload
	n   int
}

// Build makes the workload of a scenario.
func Build(s Scenario, seed uint64, withFlood bool) Workload {
	b := &builder{rng: rand.New(rand.NewPCG(seed, 0))}
	s.Make(b)
	if !withFlood {
		b.w.Arrivals = withoutFlood(b.w.Arrivals)
	}
	sort.SliceStable(b.w.Arrivals, func(i, j int) bool { return b.w.Arrivals[i].At < b.w.Arrivals[j].At })
	return b.w
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

// poisson calls f at random instants from start to end, rate times a second on average.
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
	b.n++
	a.Request = fmt.Sprintf("%s-%d", a.Class, b.n)
	a.Shape.CPU = max(a.Shape.CPU, 1)
	a.Shape.MemoryBytes = max(a.Shape.MemoryBytes, 1<<28)
	if a.Declared == 0 {
		a.Declared = a.Actual
	}
	b.w.Arrivals = append(b.w.Arrivals, a)
}

func (b *builder) org() string { return orgs[b.rng.IntN(len(orgs))] }

// between returns a random duration between lo and hi.
func (b *builder) between(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(b.rng.Float64()*float64(hi-lo))
}
