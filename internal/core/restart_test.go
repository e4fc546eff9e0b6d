package core

import (
	"testing"

	"pgregory.net/rapid"
)

// restart replaces the core by that of a new leader. Each call of the former leader that is
// in transit takes effect or is discarded by fencing; reports not yet delivered are kept.
func (f *fake) restart(rt *rapid.T) {
	f.leaderChanged = true
	f.keepReports()
	for _, id := range f.order {
		w := f.workers[id]
		for i := rapid.IntRange(0, len(w.calls)).Draw(rt, "applied"); i > 0; i-- {
			f.execute(w, w.calls[0].action)
			w.calls = w.calls[1:]
		}
		w.calls = nil
		w.health = WorkerUnreachable
	}
	f.core = New(f.core.opts)
	f.leaderSince = len(f.history)
	f.step(ConfigChanged{Config: f.cfg})
	for _, id := range f.ids {
		if f.jobs[id].ended == 0 {
			f.step(JobRestored{Job: f.jobs[id].job, Placed: f.loggedPlacements[id]})
		}
	}
}

// keepReports keeps the workers' reports on ended and expired tasks, and drops answers to calls.
func (f *fake) keepReports() {
	var kept []Event
	for _, ev := range f.answers {
		switch ev.(type) {
		case TaskEnded, TaskExpired:
			kept = append(kept, ev)
		}
	}
	f.answers = kept
}

// reportTasks reports the tasks of the worker to the core, then that it is live.
func (f *fake) reportTasks(w *fakeWorker) {
	found := TasksFound{Worker: w.id}
	for _, ref := range w.refs(false) {
		t := w.tasks[ref]
		found.Tasks = append(found.Tasks, FoundTask{Task: ref, Cell: t.cell, Started: t.started, Job: t.job})
	}
	w.health = WorkerLive
	f.step(found)
	f.step(WorkerChanged{Worker: w.id, Health: WorkerLive})
}

// TestNewLeaderNeverRunsAJobTwice replaces the leader at a random moment, with calls in
// transit, and lets the workers list their tasks to the new one in any order. No part of a job that
// is not idempotent may start twice without a checkpoint, and every job must end exactly once.
func TestNewLeaderNeverRunsAJobTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFake(rt, smallOptions(), smallConfig(), mutationNone)
		for range rapid.IntRange(1, 3).Draw(rt, "leaders") {
			for range rapid.IntRange(5, 60).Draw(rt, "steps") {
				f.drive(rt)
			}
			f.restart(rt)
			for range rapid.IntRange(0, 30).Draw(rt, "later") {
				if w := f.workers[rapid.SampledFrom(f.order).Draw(rt, "listed")]; w.health == WorkerUnreachable {
					f.reportTasks(w)
				}
				f.drive(rt)
			}
		}
		for _, id := range f.order {
			f.reportTasks(f.workers[id])
		}
		f.runToCompletion()
		f.checkAllEnded()
		f.checkReplay()
	})
}
