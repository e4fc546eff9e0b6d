// Package audit compares what callers were told with the ledger of what really ran.
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

// Told is all that one caller was told of one job.
type Told struct {
	Job        core.JobID
	Cells      int
	Idempotent bool
	// Nonce is the output that every task of the job returns.
	Nonce string
	// Accepted is true when the caller was told that the job is admitted.
	Accepted bool
	// Ended is true when the caller got a final answer.
	Ended bool
	// Succeeded is true when the final answer was a success.
	Succeeded bool
	// Ran is what a failed answer said of the job's effect.
	Ran errkind.Ran
	// Outputs are the tasks' outputs of a success, in task order.
	Outputs []string
}

// Counts are the six counts of wrong behaviour; all are zero in a sound run.
type Counts struct {
	PartialGangs    int `json:"partial_gangs"`
	GuaranteeMisses int `json:"guarantee_misses"`
	DuplicateRuns   int `json:"duplicate_runs"`
	LostJobs        int `json:"lost_jobs"`
	FalseNotRun     int `json:"false_not_run"`
	WrongAnswers    int `json:"wrong_answers"`
}

// Report is the result of a comparison: the counts, and one line for each finding.
type Report struct {
	Counts
	Findings []string
}

func (r *Report) found(count *int, format string, args ...any) {
	*count++
	r.Findings = append(r.Findings, fmt.Sprintf(format, args...))
}

// Compare checks every job's story against the ledger. A gang may be incomplete for at
// most one lease time. Guarantee misses are not counted here.
func Compare(told []Told, ledger []standin.Entry, lease time.Duration) Report {
	var report Report
	runs := Runs(ledger)
	byJob := map[core.JobID][]*Run{}
	for _, r := range runs {
		byJob[r.Job] = append(byJob[r.Job], r)
		if why := r.partial(lease); why != "" {
			report.found(&report.PartialGangs, "job %s attempt %d: %s", r.Job, r.Attempt, why)
		}
	}
	for _, t := range told {
		compareJob(&report, t, byJob[t.Job])
	}
	return report
}

func compareJob(report *Report, t Told, runs []*Run) {
	starts := 0
	for _, r := range runs {
		if r.Fresh {
			starts++
		}
	}
	if !t.Idempotent && starts > 1 {
		report.found(&report.DuplicateRuns, "job %s is not idempotent and started %d times", t.Job, starts)
	}
	if t.Accepted && !t.Ended {
		report.found(&report.LostJobs, "job %s was accepted and never ended", t.Job)
	}
	if !t.Ended {
		return
	}
	if t.Succeeded {
		compareSuccess(report, t, runs)
		return
	}
	if t.Ran == errkind.RanNo && len(runs) > 0 {
		report.found(&report.FalseNotRun, "job %s was told not run, and started %d times", t.Job, starts)
	}
}

func compareSuccess(report *Report, t Told, runs []*Run) {
	if len(t.Outputs) != t.Cells {
		report.found(&report.WrongAnswers, "job %s has %d outputs for %d cells", t.Job, len(t.Outputs), t.Cells)
		return
	}
	for i, out := range t.Outputs {
		if out != t.Nonce {
			report.found(&report.WrongAnswers, "job %s: output %d is %q, want %q", t.Job, i, out, t.Nonce)
			return
		}
	}
	for _, r := range runs {
		if r.wholeSuccess() {
			return
		}
	}
	report.found(&report.WrongAnswers, "job %s was told a success that the ledger does not hold", t.Job)
}

// Run is one attempt of a job as the ledger shows it.
type Run struct {
	Job     core.JobID
	Attempt int
	Cells   int
	// Fresh is true when a task started without a checkpoint.
	Fresh bool
	Tasks []TaskRun
	// Done holds the tasks that had succeeded before the checkpoint from which this run
	// goes on: the two are one run.
	Done map[int]bool
	// End is the time of the newest ledger entry of all jobs.
	End time.Duration
}

// TaskRun is one task's part of a run.
type TaskRun struct {
	Index     int
	Worker    core.WorkerID
	Cell      core.Cell
	Start     time.Duration
	StartUnix int64
	// Stop is when the task ended or was stopped; zero while it runs.
	Stop time.Duration
	// Ended is true when the task ran to its end, and OK when it succeeded.
	Ended bool
	OK    bool
}

// runKey tells apart the placements of a job. Attempts are counted by each holder of a
// zone's active role, so that two holders may use the same number.
type runKey struct {
	job     core.JobID
	attempt int
	holder  platform.Holder
}

// Runs gathers the ledger's entries by attempt, oldest first.
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
		r.add(e)
	}
	joinResumed(runs)
	for _, r := range runs {
		r.End = end
		sort.Slice(r.Tasks, func(a, b int) bool { return r.Tasks[a].Index < r.Tasks[b].Index })
	}
	return runs
}

// joinResumed gives each run that goes on from a checkpoint the tasks that its job's run
// before it had completed.
func joinResumed(runs []*Run) {
	last := map[core.JobID]*Run{}
	for _, r := range runs {
		if before := last[r.Job]; before != nil && !r.Fresh {
			r.Done = before.succeeded()
		}
		last[r.Job] = r
	}
}

func (r *Run) add(e standin.Entry) {
	if e.Cells > 0 {
		r.Cells = e.Cells
	}
	if e.Kind.Stops() {
		r.close(e)
		return
	}
	r.Fresh = r.Fresh || e.Kind == standin.EntryStarted
	r.Tasks = append(r.Tasks, TaskRun{Index: e.Task.Index, Worker: e.Worker, Cell: e.Cell, Start: e.At, StartUnix: e.Unix})
}

func (r *Run) close(e standin.Entry) {
	for i := range r.Tasks {
		t := &r.Tasks[i]
		if t.Index == e.Task.Index && t.Worker == e.Worker && t.Stop == 0 {
			t.Stop = e.At
			t.Ended = e.Kind == standin.EntryEnded
			t.OK = e.OK
		}
	}
}

// Started returns when the last task of a whole run started; false when some never did.
func (r *Run) Started() (time.Time, bool) {
	if r.distinct() < r.Cells {
		return time.Time{}, false
	}
	var last int64
	for _, t := range r.Tasks {
		last = max(last, t.StartUnix)
	}
	return time.Unix(0, last), true
}

// distinct counts the tasks that started, those before a checkpoint included.
func (r *Run) distinct() int {
	seen := maps.Clone(r.Done)
	if seen == nil {
		seen = map[int]bool{}
	}
	for _, t := range r.Tasks {
		seen[t.Index] = true
	}
	return len(seen)
}

// succeeded returns the tasks that succeeded, those before a checkpoint included.
func (r *Run) succeeded() map[int]bool {
	ok := maps.Clone(r.Done)
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

func (r *Run) wholeSuccess() bool { return len(r.succeeded()) >= r.Cells }

// partial says how the run was incomplete for longer than a lease; empty when it was not.
func (r *Run) partial(lease time.Duration) string {
	if r.distinct() < r.Cells {
		for _, t := range r.Tasks {
			if t.OK || t.stop(r.End)-t.Start > lease {
				return fmt.Sprintf("task %d ran although only %d of %d tasks started", t.Index, r.distinct(), r.Cells)
			}
		}
		return ""
	}
	for _, lost := range r.Tasks {
		if lost.Stop == 0 || lost.Ended {
			continue
		}
		for _, other := range r.Tasks {
			if other.stop(r.End)-lost.Stop > lease {
				return fmt.Sprintf("task %d ran on more than a lease after task %d was lost", other.Index, lost.Index)
			}
		}
	}
	return ""
}

func (t TaskRun) stop(end time.Duration) time.Duration {
	if t.Stop == 0 {
		return end
	}
	return t.Stop
}
