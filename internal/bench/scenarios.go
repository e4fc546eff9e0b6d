package bench

import (
	"fmt"
	"math"
	"time"

	"agatewinch/internal/core"
)

// The classes in the bench's configuration.
const (
	classCheck     = "check"
	classTesting   = "testing"
	classReconcile = "reconcile"
	classSummary   = "summary"
	classSurvey    = "survey"
)

// Scenarios returns the four scenarios, for a fleet of 48 workers with 8 accelerators.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "haneul", Make: makeHaneul},
		{Name: "vatuwaqa", Make: makeVatuwaqa},
		{Name: "reclaim", Make: makeReclaim},
		{Name: "liars", Make: makeLiars},
	}
}

// addSteadyLoad adds a mix of gangs and jobs of medium size that needs about the given share of
// the fleet's accelerators.
func (b *builder) addSteadyLoad(share float64, start, end time.Duration) {
	const fleetAccelerators = 384.0
	gang := func(at time.Duration) {
		cells := 1 + b.rng.IntN(4)
		b.add(Arrival{At: at, Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classReconcile, Actual: b.between(2*time.Second, 5*time.Second),
			Shape: core.Shape{Cells: cells, CellSize: 8, CPU: 4}, Idempotent: true})
	}
	summary := func(at time.Duration) {
		size := []int{1, 2, 4}[b.rng.IntN(3)]
		b.add(Arrival{At: at, Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classSummary, Actual: b.between(time.Second, 4*time.Second),
			Shape: core.Shape{Cells: 1, CellSize: size, CPU: 2}})
	}
	// The mean work of a job in accelerator-seconds: cells × cell size × run time of a gang, and
	// cell size × run time of a summary.
	const meanGangWork, meanSummaryWork = 2.5 * 8 * 3.5, 7.0 / 3 * 2.5
	b.poisson(share*0.7*fleetAccelerators/meanGangWork, start, end, gang)
	b.poisson(share*0.3*fleetAccelerators/meanSummaryWork, start, end, summary)
}

func (b *builder) randomSmallCaller() string { return fmt.Sprintf("small-%d", b.rng.IntN(8)) }

// makeHaneul combines a steady load, a few large callers among many small ones, and a flood of
// short checks.
func makeHaneul(b *builder) {
	const end = 20 * time.Second
	b.addSteadyLoad(0.55, 0, end)
	b.poisson(6, 0, end, func(at time.Duration) {
		b.add(Arrival{At: at, Org: "haneul", Caller: fmt.Sprintf("large-%d", b.rng.IntN(2)), Large: true, Class: classSummary,
			Actual: b.between(2*time.Second, 4*time.Second), Shape: core.Shape{Cells: 2, CellSize: 4, CPU: 2}, Idempotent: true})
	})
	b.poisson(140, 6*time.Second, 14*time.Second, func(at time.Duration) {
		b.add(Arrival{At: at, Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classCheck, Actual: b.between(500*time.Millisecond, 1500*time.Millisecond),
			Shape: core.Shape{Cells: 1, CellSize: 1}, Idempotent: true, Small: true, Urgent: true, Flood: true})
	})
	b.workload.WindowStart, b.workload.WindowEnd, b.workload.Horizon = 6*time.Second, 16*time.Second, 60*time.Second
}

// makeVatuwaqa combines urgent tests with a flood of the least urgent work: jobs of the class
// with the lowest weight.
func makeVatuwaqa(b *builder) {
	const end = 20 * time.Second
	b.addSteadyLoad(0.3, 0, end)
	b.poisson(30, 0, end, func(at time.Duration) {
		b.add(Arrival{At: at, Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classTesting, Actual: b.between(500*time.Millisecond, 1500*time.Millisecond),
			Shape: core.Shape{Cells: 1, CellSize: 2}, Idempotent: true, Small: true, Urgent: true})
	})
	b.poisson(40, 5*time.Second, 13*time.Second, func(at time.Duration) {
		b.add(Arrival{At: at, Org: orgs[b.rng.IntN(2)], Caller: "survey", Class: classSurvey, Actual: b.between(2*time.Second, 4*time.Second),
			Shape: core.Shape{Cells: 1, CellSize: 4, CPU: 2}, Idempotent: true, Flood: true})
	})
	b.workload.WindowStart, b.workload.WindowEnd, b.workload.Horizon = 5*time.Second, 18*time.Second, 60*time.Second
}

// makeReclaim lets one organisation borrow the whole fleet before the others submit the work
// that they are guaranteed.
func makeReclaim(b *builder) {
	for i := range 64 {
		b.add(Arrival{At: time.Duration(i) * 40 * time.Millisecond, Org: "haneul", Caller: "large-0", Large: true, Class: classSurvey,
			Actual: 14 * time.Second, Shape: core.Shape{Cells: 1, CellSize: 8, CPU: 4}, Idempotent: i%2 == 0, Flood: true})
	}
	for _, org := range orgs[1:] {
		for i := range guaranteedCells(org) * zoneCount {
			at := 6*time.Second + time.Duration(i)*100*time.Millisecond
			b.add(Arrival{At: at, Org: org, Caller: b.randomSmallCaller(), Class: classTesting, Actual: 3 * time.Second, Urgent: true, Guaranteed: true,
				Shape: core.Shape{Cells: 1, CellSize: 8, CPU: 4}, Idempotent: true})
		}
	}
	b.workload.WindowStart, b.workload.WindowEnd, b.workload.Horizon = 6*time.Second, 16*time.Second, 60*time.Second
}

// makeLiars combines declared run times that are far from the actual ones, jobs that always
// fail, shapes that fit nowhere, bursts of cancellations and workers that fail every task.
func makeLiars(b *builder) {
	const end = 16 * time.Second
	b.addSteadyLoad(0.5, 0, end)
	for i := range b.workload.Arrivals {
		a := &b.workload.Arrivals[i]
		a.Declared = time.Duration(float64(a.Actual) * math.Exp2(b.rng.NormFloat64()*2))
		a.AlwaysFails = b.rng.IntN(20) == 0
	}
	b.poisson(20, 0, end, func(at time.Duration) {
		b.add(Arrival{At: at, Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classCheck, Actual: 500 * time.Millisecond, Declared: 10 * time.Second,
			Shape: core.Shape{Cells: 1, CellSize: 1}, Idempotent: true, Small: true, Urgent: true})
	})
	b.poisson(2, 0, end, func(at time.Duration) {
		b.add(Arrival{At: at, Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classReconcile, Actual: time.Second,
			Shape: core.Shape{Cells: 400, CellSize: 8}, Idempotent: true, NeverRunnable: true})
	})
	for _, burst := range []time.Duration{5 * time.Second, 10 * time.Second} {
		for range 60 {
			b.add(Arrival{At: burst - b.between(0, time.Second), Org: b.randomOrg(), Caller: b.randomSmallCaller(), Class: classSurvey, Actual: 8 * time.Second,
				Shape: core.Shape{Cells: 1, CellSize: 4}, Idempotent: true, CancelAfter: 1500 * time.Millisecond, Flood: true})
		}
	}
	b.workload.FailingWorkers = 2
	b.workload.WindowStart, b.workload.WindowEnd, b.workload.Horizon = 0, end, 60*time.Second
}
