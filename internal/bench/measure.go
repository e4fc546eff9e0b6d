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

// urgentTarget is the time within which guaranteed urgent work starts.
const urgentTarget = 2900 * time.Millisecond

// Line is the result of one scenario with one policy and seed. Durations are seconds.
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

// Measure works out a line from the callers' results and the ledger. base is the result
// of the same workload without its flood; it may be empty.
func Measure(w Workload, results, base []Result, ledger []standin.Entry, lease time.Duration) Line {
	told := make([]audit.Told, len(results))
	for i, r := range results {
		told[i] = r.Told
	}
	report := audit.Compare(told, ledger, lease)
	runs := audit.Runs(ledger)
	starts := firstStarts(runs)
	line := Line{Jobs: len(results), Counts: report.Counts, Findings: report.Findings[:min(len(report.Findings), 20)]}
	line.completion(results, w)
	line.starts(results, starts, w)
	line.SmallCallerSlowdown = slowdown(results, w, func(a Arrival) bool { return !a.Large })
	line.LargeCallerSlowdown = slowdown(results, w, func(a Arrival) bool { return a.Large })
	line.Fragmentation, line.Utilisation = fragmentation(runs, results)
	line.KeptWorkRatio = keptRatio(w, results, base)
	return line
}

// firstStarts maps each job to the time when all its tasks first ran.
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

// counted leaves out jobs that are meant not to finish.
func counted(a Arrival) bool { return !a.NeverRunnable && a.CancelAfter == 0 && !a.Broken }

// completionOf is a job's completion time; one without success counts to the horizon.
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
		if !counted(r.Arrival) {
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
		if !r.Urgent || !counted(r.Arrival) {
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

// quantile returns the q-quantile by the nearest rank; zero without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	sort.Float64s(sorted)
	rank := int(math.Ceil(q*float64(len(sorted)))) - 1
	return sorted[max(rank, 0)]
}

// slowdown is the mean of completion time over run time for the jobs that pick selects.
func slowdown(results []Result, w Workload, pick func(Arrival) bool) float64 {
	sum, n := 0.0, 0
	for _, r := range results {
		if !counted(r.Arrival) || r.Flood || !pick(r.Arrival) {
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

// keptRatio is the other work finished in the window, with the flood over without it.
func keptRatio(w Workload, with, without []Result) float64 {
	base := finishedWork(w, without)
	if base == 0 {
		return 0
	}
	return finishedWork(w, with) / base
}

// finishedWork sums accelerator-seconds of other jobs that succeeded in the window.
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
