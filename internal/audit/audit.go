// Package audit checks the responses that callers received against the ledger of the tasks that
// actually ran.
package audit

import (
	"fmt"
	"maps"
	"sort"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
	"agatewinch/internal/standin"
)

// CallerView summarises the responses that a caller received about one job.
type CallerView struct {
	Job        core.JobID
	Cells      int
	Idempotent bool
	// Nonce is the output that every task of the job must return.
	Nonce string
	// Accepted is true if a response said that the job was admitted.
	Accepted bool
	// Ended is true if the caller received a final response.
	Ended bool
	// Succeeded is true if the final response was a success.
	Succeeded bool
	// Ran is what a final response that reported a failure said about whether the job ran.
	Ran errkind.Ran
	// Outputs are the outputs of the tasks in task order, if the job succeeded.
	Outputs []string
}

// Counts are the six counts of wrong behaviour. All are zero if the system behaves correctly.
type Counts struct {
	// PartialGangs counts the attempts in which part of a gang ran without the rest.
	PartialGangs int `json:"partial_gangs"`
	// GuaranteeMisses counts the guaranteed urgent jobs that started too late. Package bench
	// counts them; Compare leaves the count at zero.
	GuaranteeMisses int `json:"guarantee_misses"`
	// DuplicateRuns counts the jobs that are not idempotent but started more than once.
	DuplicateRuns int `json:"duplicate_runs"`
	// LostJobs counts the accepted jobs without a final response.
	LostJobs int `json:"lost_jobs"`
	// FalseNotRun counts the jobs that were reported as not run although they started.
	FalseNotRun int `json:"false_not_run"`
	// WrongAnswers counts the jobs reported as succeeded whose outputs are wrong or whose tasks
	// did not all succeed.
	WrongAnswers int `json:"wrong_answers"`
}

// Report is the result of a comparison: the counts, and one line for each finding.
type Report struct {
	Counts
	Findings []string
}

func (r *Report) addFinding(count *int, format string, args ...any) {
	*count++
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// Compare checks the responses about every job against the ledger. Part of a gang may run without
// the rest for at most leaseTTL. Compare does not count guarantee misses.
func Compare(views []CallerView, ledger []standin.Entry, leaseTTL time.Duration) Report {
	var report Report
	runs := Runs(ledger)
	byJob := map[core.JobID][]*Run{}
	for _, r := range runs {
		byJob[r.Job] = append(byJob[r.Job], r)
		if reason := r.incompleteReason(leaseTTL); reason != "" {
			report.addFinding(&report.PartialGangs, "job %s attempt %d: %s", r.Job, r.Attempt, reason)
		}
	}
	for _, v := range views {
		compareJob(&report, v, byJob[v.Job])
	}
	return report
}

func compareJob(report *Report, v CallerView, runs []*Run) {
	starts := 0
	for _, r := range runs {
		if r.Fresh {
			starts++
		}
	}
	if !v.Idempotent && starts > 1 {
		report.addFinding(&report.DuplicateRuns, "job %s is not idempotent and started %d times", v.Job, starts)
	}
	if v.Accepted && !v.Ended {
		report.addFinding(&report.LostJobs, "job %s was accepted and never ended", v.Job)
	}
	if !v.Ended {
		return
	}
	if v.Succeeded {
		compareSuccess(report, v, runs)
		return
	}
	if v.Ran == errkind.RanNo && len(runs) > 0 {
		report.addFinding(&report.FalseNotRun, "job %s was reported as not run, but started %d times", v.Job, starts)
	}
}

func compareSuccess(report *Report, v CallerView, runs []*Run) {
	if len(v.Outputs) != v.Cells {
		report.addFinding(&report.WrongAnswers, "job %s has %d outputs for %d cells", v.Job, len(v.Outputs), v.Cells)
		return
	}
	for i, out := range v.Outputs {
		if out != v.Nonce {
			report.addFinding(&report.WrongAnswers, "job %s: output %d is %q, want %q", v.Job, i, out, v.Nonce)
			return
		}
	}
	for _, r := range runs {
		if r.allSucceeded() {
			return
		}
	}
	report.addFinding(&report.WrongAnswers, "job %s was reported as succeeded, but the ledger has no run in which all tasks succeeded", v.Job)
}

// Run is one attempt of a job by one holder of a zone's leader role, according to the ledger.
type Run struct {
	Job     core.JobID
	Attempt int
	Cells   int
	// Fresh is true if a task started from its beginning and not from a checkpoint.
	Fresh bool
	Tasks []TaskRun
	// SucceededBefore holds the tasks that had succeeded before the checkpoint from which
	// this run resumes. They count as part of this run.
	SucceededBefore map[int]bool
	// End is the time of the last entry of the whole ledger, about any job or worker.
	End time.Duration
}

// TaskRun is one task of a run. Start and Stop count from the start of the stand-in.
type TaskRun struct {
	Index  int
	Worker core.WorkerID
	Cell   core.Cell
	Start  time.Duration
	// StartUnix is the wall-clock time of the start in Unix nanoseconds.
	StartUnix int64
	// Stop is the time at which the task ended or was stopped; zero while it runs.
	Stop time.Duration
	// Ended is true if the task ran to completion or failed, and was not stopped or lost. OK is
	// true if it succeeded.
	Ended bool
	OK    bool
}

// runKey identifies a Run. It includes the holder of a zone's leader role because each holder
// numbers attempts separately, so two holders can use the same number.
type runKey struct {
	job     core.JobID
	attempt int
	holder  platform.Holder
}

// Runs groups the ledger entries by attempt and holder, in the order of their first entries.
func Runs(ledger []standin.Entry) []*Run {
	byKey := map[runKey]*Run{}
	var runs []*Run
	var end time.Duration
	for _, e := range ledger {
		end = max(end, e.At)
		if !e.Kind.Starts() && !e.Kind.Stops() {
			continue
		}
		key := runKey{e.Task.Job, e.Task.Attempt, e.Holder}
		r, ok := byKey[key]
		if !ok {
			r = &Run{Job: key.job, Attempt: key.attempt}
			byKey[key] = r
			runs = append(runs, r)
		}
		r.addEntry(e)
	}
	setSucceededBefore(runs)
	for _, r := range runs {
		r.End = end
		sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Index < r.Tasks[b].Index })
	}
	return runs
}

// setSucceededBefore sets SucceededBefore of each run that resumes from a checkpoint to the
// tasks that had succeeded by the end of the job's previous run.
func setSucceededBefore(runs []*Run) {
	last := map[core.JobID]*Run{}
	for _, r := range runs {
		if before := last[r.Job]; before != nil && !r.Fresh {
			r.SucceededBefore = before.succeeded()
		}
		last[r.Job] = r
	}
}

func (r *Run) addEntry(e standin.Entry) {
	if e.Cells > 0 {
		r.Cells = e.Cells
	}
	if e.Kind.Stops() {
		r.recordStop(e)
		return
	}
	r.Fresh = r.Fresh || e.Kind == standin.EntryStarted
	r.Tasks = append(r.Tasks, TaskRun{Index: e.Task.Index, Worker: e.Worker, Cell: e.Cell, Start: e.At, StartUnix: e.Unix})
}

func (r *Run) recordStop(e standin.Entry) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Index == e.Task.Index && t.Worker == e.Worker && t.Stop == 0 {
			t.Stop = e.At
			t.Ended = e.Kind == standin.EntryEnded
			t.OK = e.OK
		}
	}
}

// Started returns the time at which the last task of the run started, or false if not all tasks
// started.
func (r *Run) Started() (time.Time, bool) {
	if r.startedCount() < r.Cells {
		return time.Time{}, false
	}
	var last int64
	for _, t := range r.Tasks {
		last = max(last, t.StartUnix)
	}
	return time.Unix(0, last), true
}

// startedCount returns the number of tasks that started, including those that succeeded before
// a checkpoint.
func (r *Run) startedCount() int {
	seen := maps.Clone(r.SucceededBefore)
	if seen == nil {
		seen = map[int]bool{}
	}
	for _, t := range r.Tasks {
		seen[t.Index] = true
	}
	return len(seen)
}

// succeeded returns the tasks that succeeded, including those before a checkpoint.
func (r *Run) succeeded() map[int]bool {
	ok := maps.Clone(r.SucceededBefore)
	if ok == nil {
		ok = map[int]bool{}
	}
	for _, t := range r.Tasks {
		if t.OK {
			ok[t.Index] = true
		}
	}
	return ok
}

func (r *Run) allSucceeded() bool { return len(r.succeeded()) >= r.Cells }

// incompleteReason describes how a part of the run's gang ran without the rest for longer than
// leaseTTL, or succeeded although the rest never started. It returns the empty string if neither
// happened.
func (r *Run) incompleteReason(leaseTTL time.Duration) string {
	if r.startedCount() < r.Cells {
		for _, t := range r.Tasks {
			if t.OK || t.stopOr(r.End)-t.Start > leaseTTL {
				return fmt.Sprintf("task %d ran although only %d of %d tasks started", t.Index, r.startedCount(), r.Cells)
			}
		}
		return ""
	}
	for _, lost := range r.Tasks {
		if lost.Stop == 0 || lost.Ended {
			continue
		}
		for _, other := range r.Tasks {
			if other.stopOr(r.End)-lost.Stop > leaseTTL {
				return fmt.Sprintf("task %d ran for more than the lease TTL after task %d was lost", other.Index, lost.Index)
			}
		}
	}
	return ""
}

// stopOr returns the time at which the task stopped, or end if it still runs.
func (t TaskRun) stopOr(end time.Duration) time.Duration {
	if t.Stop == 0 {
		return end
	}
	return t.Stop
}
