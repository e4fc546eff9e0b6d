package core

import (
	"fmt"
	"reflect"

	"agatewinch/internal/errkind"
)

// jobEnded checks the outcome of a job against what happened on the fake workers.
func (f *fake) jobEnded(a JobEnded) {
	rec := f.jobs[a.Job]
	rec.ended++
	rec.outcome = &a.Outcome
	if rec.ended > 1 {
		f.t.Fatalf("job %s ended twice", a.Job)
	}
	if a.Outcome.Ran == errkind.RanNo {
		rec.reportedNotRun = true
		if rec.started {
			f.t.Fatalf("false not-run: job %s started but was reported as not run: %+v", a.Job, a.Outcome)
		}
	}
	if a.Outcome.Ran == errkind.RanYes && !rec.started {
		f.t.Fatalf("job %s was reported as run but never started: %+v", a.Job, a.Outcome)
	}
	if a.Outcome.State != Succeeded {
		return
	}
	for i, o := range a.Outcome.Outputs {
		if !rec.finished[i] || string(o.Output) != fmt.Sprintf("%s/%d", a.Job, i) {
			f.t.Fatalf("wrong answer: job %s, part %d: unexpected output %q", a.Job, i, o.Output)
		}
	}
	if len(a.Outcome.Outputs) != f.core.taskCount(rec.job.Shape) {
		f.t.Fatalf("wrong answer: job %s has %d outputs", a.Job, len(a.Outcome.Outputs))
	}
}

// checkGangReserved checks that no task starts before the whole gang is reserved.
func (f *fake) checkGangReserved(a Start) {
	j := f.core.jobs[a.Task.Job]
	for _, t := range j.tasks {
		w := f.workers[t.Worker]
		if t.state == taskDone || w.tasks[t.Task] != nil || w.refused[t.Task] {
			continue
		}
		f.t.Fatalf("partial gang: %v starts before %v is reserved", a.Task, t.Task)
	}
}

// check checks the invariants of the core's state after a step.
func (f *fake) check() {
	f.checkExclusiveCells()
	f.checkQuotas()
	f.checkGuarantee()
}

// checkExclusiveCells checks that no accelerator is held by two tasks.
func (f *fake) checkExclusiveCells() {
	for _, w := range f.core.ordered {
		var m uint64
		for _, t := range w.held {
			if m&uint64(t.Cell) != 0 && !f.leaderChanged {
				f.t.Fatalf("two holders: the core holds two tasks for the same accelerator of worker %s", w.def.ID)
			}
			m |= uint64(t.Cell)
		}
	}
}

// checkQuotas checks that no organisation exceeds its quota.
func (f *fake) checkQuotas() {
	used := map[OrgID]int{}
	for _, j := range f.core.jobs {
		if (j.state == Placing || j.state == Running) && j.placedAt >= f.configuredAt {
			used[j.Org] += j.Shape.Accelerators()
		}
	}
	for _, o := range f.core.cfg.Organisations {
		if o.Quota > 0 && used[o.ID] > o.Quota && !f.leaderChanged {
			f.t.Fatalf("organisation %s uses %d of a quota of %d", o.ID, used[o.ID], o.Quota)
		}
	}
}

// checkGuarantee checks that the configured location of every guaranteed cell is free, or held
// by its owner or by jobs that can be preempted. Jobs placed before the last configuration
// change are exempt.
func (f *fake) checkGuarantee() {
	for _, b := range bindConfigured(f.core.cfg, f.core.opts.Zone) {
		for _, p := range b.parts {
			for _, t := range f.core.workers[p.worker].held {
				if uint64(t.Cell)&p.cell != 0 && t.job.Org != b.org && t.job.placedAt >= f.configuredAt && !t.job.Idempotent && !t.job.class.Checkpoint {
					f.t.Fatalf("guarantee: job %s cannot be preempted and holds a cell guaranteed to %s on worker %s", t.job.ID, b.org, p.worker)
				}
			}
		}
	}
}

// checkReplay replays the recorded events on a new core and compares the actions.
func (f *fake) checkReplay() {
	again := New(f.core.opts)
	again.mutation = f.core.mutation
	for i, s := range f.history[f.leaderSince:] {
		if out := again.Step(s.at, s.event); !reflect.DeepEqual(out, s.actions) {
			f.t.Fatalf("replay differs at step %d (%T):\nrecorded actions: %v\nreplayed actions: %v", i, s.event, s.actions, out)
		}
	}
}

// checkAllEnded checks that every job got exactly one outcome.
func (f *fake) checkAllEnded() {
	for id, rec := range f.jobs {
		if rec.ended != 1 {
			f.t.Fatalf("lost job: %s ended %d times", id, rec.ended)
		}
	}
}
