package core

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "agatewinch/test/rapidseed"
)

// reclaimDeadline is the longest that an owner may wait for its guaranteed cells.
const reclaimDeadline = 2900 * time.Millisecond

// reclaimAllGuaranteed makes all workers usable and cancels the jobs of these owners. It then
// submits jobs for all their guaranteed cells at once, with the processor cores and memory that go
// with them, and returns the jobs that have not started within reclaimDeadline.
func (f *fake) reclaimAllGuaranteed(owners []Organisation, job Job) []JobID {
	f.recoverWorkers()
	f.cancelAll(owners)
	var submitted []JobID
	for _, o := range owners {
		for _, g := range o.Guarantees {
			for i := range g.Cells {
				j := job
				j.Org, j.ID = o.ID, JobID(fmt.Sprintf("drill-%s-%d-%d", o.ID, g.CellSize, i))
				j.Shape = Shape{Cells: 1, CellSize: g.CellSize, CPU: 8 * min(g.CellSize, 8), MemoryBytes: int64(min(g.CellSize, 8)) * 16 << 30}
				submitted = append(submitted, j.ID)
				f.submit(j)
			}
		}
	}
	const round = 100 * time.Millisecond
	for waited := time.Duration(0); waited < reclaimDeadline; waited += round {
		f.drain(false)
		f.now = f.now.Add(round)
		f.step(Tick{})
	}
	var late []JobID
	for _, id := range submitted {
		if !f.jobs[id].started {
			late = append(late, id)
		}
	}
	return late
}

// recoverWorkers makes every worker live, answers all calls and lets quarantines end.
func (f *fake) recoverWorkers() {
	f.reviveAll()
	for range 40 {
		f.drain(false)
		f.now = f.now.Add(minQuarantine)
		f.step(Tick{})
	}
}

func (f *fake) cancelAll(orgs []Organisation) {
	for _, id := range f.ids {
		for _, o := range orgs {
			if f.jobs[id].job.Org == o.ID {
				f.step(JobCancelled{Job: id})
			}
		}
	}
	f.drain(false)
}

// TestOwnersReclaimTheirCellsTogether drives the core with random events, then lets a random set
// of owners use all their guaranteed cells at the same time: every job must start in time.
func TestOwnersReclaimTheirCellsTogether(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { runReclaimAll(rt, rt, mutationNone) })
}

func runReclaimAll(rt *rapid.T, report reporter, m mutation) {
	f := newFake(report, smallOptions(), rapid.SampledFrom(variants()).Draw(rt, "configuration"), m)
	for range rapid.IntRange(10, 120).Draw(rt, "steps") {
		f.drive(rt)
	}
	var owners []Organisation
	for _, o := range f.cfg.Organisations {
		if len(o.Guarantees) > 0 && rapid.Bool().Draw(rt, "reclaims") {
			owners = append(owners, o)
		}
	}
	class := rapid.SampledFrom([]ClassName{"check", "reconcile", "bill"}).Draw(rt, "owner class")
	late := f.reclaimAllGuaranteed(owners, Job{Class: class, Caller: "owner", Idempotent: rapid.Bool().Draw(rt, "owner idempotent")})
	for _, id := range late {
		ex, _ := f.core.Explain(id)
		report.Fatalf("guarantee missed: %s did not start within %v: %+v", id, reclaimDeadline, ex)
	}
	f.runToCompletion()
	f.checkAllEnded()
}
