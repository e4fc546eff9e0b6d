package core

import (
	"testing"

	"pgregory.net/rapid"
)

// restart replaces the core by a new holder's. Calls of the old holder that are on
// their way take effect or are fenced off; reports that it has not taken are kept.
func (f *fake) restart(rt *rapid.T) {
	f.newHolder = true
	f.keepReports()
	for _, id := range f.order {
		w := f.workers[id]
		for i := rapid.IntRange(0, len(w.calls)).Draw(rt, "applied"); i > 0; i-- {
			f.carryOut(w, w.calls[0].action)
			w.calls = w.calls[1:]
		}
		w.calls = nil
		w.health = WorkerUnreachable
	}
	f.core = New(f.core.opts)
	f.since = len(f.history)
	f.step(ConfigChanged{Config: f.cfg})
	for _, id := range f.ids {
		if f.jobs[id].ended == 0 {
			f.step(JobRestored{Job: f.jobs[id].job, Placed: f.placed[id]})
		}
	}
}

func (f *fake) keepReports() {
	var kept []Event
	for _, ev := range f.answers {
		switch ev.(type) {
		case TaskEnded, TaskLapsed:
			kept = append(kept, ev)
		}
	}
	f.answers = kept
}

// list tells the core what the worker holds, then that it is live.
func (f *fake) list(w *fakeWorker) {
	found := TasksFound{Worker: w.id}
	for _, ref := range w.refs(false) {
		t := w.tasks[ref]
		found.Tasks = append(found.Tasks, FoundTask{Task: ref, Cell: t.cell, Started: t.started, Job: t.job})
	}
	w.health = WorkerLive
	f.step(found)
	f.step(WorkerChanged{Worker: w.id, Health: WorkerLive})
}

// TestNewHolderNeverRunsAJobTwice replaces the holder at a random moment, with calls
// on their way, and lets the workers answer the new one in any order.
func TestNewHolderNeverRunsAJobTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFake(rt, smallOptions(), smallConfig(), mutationNone)
		for range rapid.IntRange(1, 3).Draw(rt, "holders") {
			for range rapid.IntRange(5, 60).Draw(rt, "steps") {
				f.drive(rt)
			}
			f.restart(rt)
			for range rapid.IntRange(0, 30).Draw(rt, "later") {
				if w := f.workers[rapid.SampledFrom(f.order).Draw(rt, "listed")]; w.health == WorkerUnreachable {
					f.list(w)
				}
				f.drive(rt)
			}
		}
		for _, id := range f.order {
			f.list(f.workers[id])
		}
		f.heal()
		f.checkAllEnded()
		f.checkReplay()
	})
}
