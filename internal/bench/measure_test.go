package bench

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/audit"
	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

func TestQuantileTakesTheNearestRank(t *testing.T) {
	values := []float64{5, 1, 4, 2, 3}
	assert.Equal(t, quantile(values, 0.5), 3.0)
	assert.Equal(t, quantile(values, 0.99), 5.0)
	assert.Equal(t, quantile(nil, 0.5), 0.0)
}

func TestSameSeedBuildsTheSameWorkload(t *testing.T) {
	for _, s := range Scenarios() {
		assert.DeepEqual(t, Build(s, 7, true), Build(s, 7, true))
		assert.Assert(t, len(Build(s, 7, false).Arrivals) < len(Build(s, 7, true).Arrivals))
	}
}

// TestFragmentationCountsOnlyWholeWorkers keeps one accelerator of one worker in use for the
// whole time: 7 of the 383 free accelerators are on a worker that is not entirely free.
func TestFragmentationCountsOnlyWholeWorkers(t *testing.T) {
	task := core.TaskRef{Job: "a:b", Attempt: 1}
	ledger := []standin.Entry{
		{Kind: standin.EntryStarted, At: 0, Task: task, Worker: "zone-1-w01", Cell: 1, Cells: 1},
		{Kind: standin.EntryEnded, At: 2 * time.Second, Task: task, Worker: "zone-1-w01", OK: true},
	}
	results := []Result{{Arrival: Arrival{At: 2 * time.Second}}}
	frag, used := fragmentation(audit.Runs(ledger), results)
	assert.Assert(t, frag > 0.018 && frag < 0.0184, "fragmentation is %v", frag)
	assert.Equal(t, used, 1.0/384)
}

func TestGuaranteeMissIsCountedWhenTheStartIsLate(t *testing.T) {
	submitted := time.Unix(100, 0)
	a := Arrival{Urgent: true, Guaranteed: true, Actual: time.Second, Shape: core.Shape{Cells: 1, CellSize: 8}}
	late := Result{Arrival: a, Submitted: submitted, CallerView: audit.CallerView{Job: "late", Cells: 1}}
	early := Result{Arrival: a, Submitted: submitted, CallerView: audit.CallerView{Job: "early", Cells: 1}}
	ledger := []standin.Entry{
		{Kind: standin.EntryStarted, Unix: submitted.Add(urgentTarget).UnixNano(), Task: core.TaskRef{Job: "early"}, Worker: "zone-1-w01", Cells: 1},
		{Kind: standin.EntryStarted, Unix: submitted.Add(urgentTarget + time.Millisecond).UnixNano(), Task: core.TaskRef{Job: "late"}, Worker: "zone-1-w01", Cells: 1},
	}
	line := Measure(Workload{Horizon: time.Minute}, []Result{early, late}, nil, ledger, time.Second)
	assert.Equal(t, line.GuaranteeMisses, 1)
}
