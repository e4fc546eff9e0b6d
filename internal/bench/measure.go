package bench

import (
	"math"
	"slices"
	"sort"
	"time"

	"agatewinch/internal/audit"
	"agatewinch/internal/core"
	"agatewinch/internal/standin"
)

// urgentTarget is the time within which guaranteed urgent work must start.
const urgentTarget = 2900 * time.Millisecond

// Line is the result of one scenario with one policy and seed. Durations are in seconds.
type Line struct {
	Policy              string  `json:"policy"`
	Scenario            string  `json:"scenario"`
	Size                string  `json:"size"`
	Seed                uint64  `json:"seed"`
	Jobs                int     `json:"jobs"`
	Succeeded           int     `json:"succeeded"`
	CompletionP50       float64 `json:"completion_p50_s"`
	CompletionP95       float64 `json:"completion_p95_s"`
	CompletionP99       float64 `json:"completion_p99_s"`
	SmallCompletionP95  float64 `json:"small_completion_p95_s"`
	UrgentStartP99      float64 `json:"urgent_start_p99_s"`
	GuaranteedStartP99  float64 `json:"guaranteed_start_p99_s"`
	Fragmentation       float64 `json:"fragmentation"`
	KeptWorkRatio       float64 `json:"kept_work_ratio"`
	SmallCallerSlowdown float64 `json:"small_caller_slowdown"`
	LargeCallerSlowdown float64 `json:"large_caller_slowdown"`
	Utilisation         float64 `json:"utilisation"`
	audit.Counts
	Findings []string `json:"findings,omitempty"`
}

// Measure computes the figures of one scenario from the callers' results and the ledger. base
// holds the results of the same workload without its flood and may be empty.
func Measure(w Workload, results, base []Result, ledger []standin.Entry, leaseTTL time.Duration) Line {
	views := make([]audit.CallerView, len(results))
	for i, r := range results {
		views[i] = r.CallerView
	}
	report := audit.Compare(views, ledger, leaseTTL)
	runs := audit.Runs(ledger)
	starts := firstStarts(runs)
	line := Line{Jobs: len(results), Counts: report.Counts, Findings: report.Findings[:min(len(report.Findings), 20)]}
	line.completion(results, w)
	line.starts(results, starts, w)
	line.SmallCallerSlowdown = slowdown(results, w, func(a Arrival) bool { return !a.Large })
	line.LargeCallerSlowdown = slowdown(results, w, func(a Arrival) bool { return a.Large })
	line.Fragmentation, line.Utilisation = fragmentation(runs, results)
	line.KeptWorkRatio = keptWorkRatio(w, results, base)
	return line
}

// firstStarts maps each job to the earliest time at which a run had started all its tasks.
func firstStarts(runs []*audit.Run) map[core.JobID]time.Time {
	starts := map[core.JobID]time.Time{}
	for _, r := range runs {
		if at, ok := r.Started(); ok {
			if old, seen := starts[r.Job]; !seen || at.Before(old) {
				starts[r.Job] = at
			}
		}
	}
	return starts
}

// isMeasured reports whether a job counts for completion, start and slowdown figures. Jobs
// that are not meant to finish do not.
func isMeasured(a Arrival) bool { return !a.NeverRunnable && a.CancelAfter == 0 && !a.AlwaysFails }

// completionOf returns the completion time of a job in seconds. A job that did not succeed
// counts as completed at the horizon.
func completionOf(r Result, w Workload) float64 {
	if !r.Succeeded {
		return (w.Horizon - r.At).Seconds()
	}
	return r.Finished.Sub(r.Submitted).Seconds()
}

func (l *Line) completion(results []Result, w Workload) {
	var all, small []float64
	for _, r := range results {
		if r.Succeeded {
			l.Succeeded++
		}
		if !isMeasured(r.Arrival) {
			continue
		}
		all = append(all, completionOf(r, w))
		if r.Small {
			small = append(small, completionOf(r, w))
		}
	}
	l.CompletionP50, l.CompletionP95, l.CompletionP99 = quantile(all, 0.5), quantile(all, 0.95), quantile(all, 0.99)
	l.SmallCompletionP95 = quantile(small, 0.95)
}

func (l *Line) starts(results []Result, starts map[core.JobID]time.Time, w Workload) {
	var urgent, guaranteed []float64
	for _, r := range results {
		if !r.Urgent || !isMeasured(r.Arrival) {
			continue
		}
		wait := (w.Horizon - r.At).Seconds()
		if at, ok := starts[r.Job]; ok {
			wait = at.Sub(r.Submitted).Seconds()
		}
		urgent = append(urgent, wait)
		if !r.Guaranteed {
			continue
		}
		guaranteed = append(guaranteed, wait)
		if wait > urgentTarget.Seconds() {
			l.GuaranteeMisses++
		}
	}
	l.UrgentStartP99 = quantile(urgent, 0.99)
	l.GuaranteedStartP99 = quantile(guaranteed, 0.99)
}

// quantile returns the q-quantile by the nearest-rank method, or zero if there are no values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	sort.Float64s(sorted)
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// slowdown returns the mean ratio of completion time to run time over the measured jobs for
// which include returns true, without the flood.
func slowdown(results []Result, w Workload, include func(Arrival) bool) float64 {
	sum, n := 0.0, 0
	for _, r := range results {
		if !isMeasured(r.Arrival) || r.Flood || !include(r.Arrival) {
			continue
		}
		sum += completionOf(r, w) / r.Actual.Seconds()
		n++
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// keptWorkRatio returns the work outside the flood that finished in the window, divided by the
// work that finished in the window when the workload ran without the flood. It returns zero if no
// work finished then.
func keptWorkRatio(w Workload, with, without []Result) float64 {
	base := finishedWork(w, without)
	if base == 0 {
		return 0
	}
	return finishedWork(w, with) / base
}

// finishedWork returns the accelerator-seconds of the jobs outside the flood that succeeded in
// the window.
func finishedWork(w Workload, results []Result) float64 {
	sum := 0.0
	for _, r := range results {
		end := r.At + r.Finished.Sub(r.Submitted)
		if r.Succeeded && !r.Flood && end >= w.WindowStart && end < w.WindowEnd {
			sum += float64(r.Shape.Accelerators()) * r.Actual.Seconds()
		}
	}
	return sum
}
