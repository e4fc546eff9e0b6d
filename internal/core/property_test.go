package core

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func sortRefs(refs []TaskRef) {
	sort.Slice(refs, func(a, b int) bool {
		x, y := refs[a], refs[b]
		if x.Job != y.Job {
			return x.Job < y.Job
		}
		if x.Attempt != y.Attempt {
			return x.Attempt < y.Attempt
		}
		return x.Index < y.Index
	})
}

// smallConfig returns a configuration with three racks of two workers of eight accelerators,
// three organisations with guarantees of different sizes and one without a guarantee.
func smallConfig() *Config {
	cfg := &Config{Generation: 1, Classes: []Class{
		{Name: "check", Urgent: true, Weight: 3},
		{Name: "reconcile", Checkpoint: true, Weight: 1},
		{Name: "bill", Weight: 2},
	}}
	for i := range 6 {
		cfg.Workers = append(cfg.Workers, Worker{
			ID: WorkerID(fmt.Sprintf("w%d", i)), Zone: "a", Rack: RackID(fmt.Sprintf("r%d", i/2)),
			CPU: 64, MemoryBytes: 128 << 30, Accelerators: 8, Slots: 8,
		})
	}
	cfg.Organisations = []Organisation{
		{ID: "haneul", Weight: 2, Quota: 40, UrgentQuota: 16, Guarantees: []Guarantee{{Zone: "a", Cells: 2, CellSize: 8}}},
		{ID: "east", Weight: 1, Quota: 32, Guarantees: []Guarantee{{Zone: "a", Cells: 2, CellSize: 4}}},
		{ID: "west", Weight: 1, Guarantees: []Guarantee{{Zone: "a", Cells: 3, CellSize: 2}}},
		{ID: "guest", Weight: 1},
	}
	return cfg
}

func smallOptions() Options {
	return Options{Zone: "a", Policy: PolicyGuaranteed, LeaseTTL: 2 * time.Second, ReserveTTL: time.Second, MaxQueued: 50}
}

var drawJob = rapid.Custom(func(t *rapid.T) Job {
	size := rapid.SampledFrom([]int{0, 1, 1, 2, 4, 8, 16}).Draw(t, "size")
	return Job{
		Org:        rapid.SampledFrom([]OrgID{"haneul", "east", "west", "guest"}).Draw(t, "org"),
		Caller:     rapid.SampledFrom([]CallerID{"x", "y"}).Draw(t, "caller"),
		Class:      rapid.SampledFrom([]ClassName{"check", "reconcile", "bill"}).Draw(t, "class"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Timeout:    time.Duration(rapid.SampledFrom([]int{0, 0, 3}).Draw(t, "timeout")) * time.Second,
		Declared:   time.Duration(rapid.IntRange(0, 20).Draw(t, "declared")) * time.Second,
		Shape:      Shape{Cells: rapid.IntRange(1, 3).Draw(t, "cells"), CellSize: size, CPU: rapid.IntRange(1, 12).Draw(t, "cpu"), MemoryBytes: 1 << 30},
	}
})

// drive applies one random action to the fake.
func (f *fake) drive(t *rapid.T) {
	w := f.workers[rapid.SampledFrom(f.order).Draw(t, "worker")]
	switch rapid.IntRange(0, 17).Draw(t, "action") {
	case 0, 1, 2:
		j := drawJob.Draw(t, "job")
		j.ID = JobID(fmt.Sprintf("j%d", len(f.ids)))
		f.submit(j)
	case 3, 4, 5:
		f.deliver(w, rapid.IntRange(0, 9).Draw(t, "answer") > 0)
	case 6, 7:
		f.drain(false)
	case 8, 9:
		if len(f.answers) > 0 {
			f.answer(rapid.IntRange(0, len(f.answers)-1).Draw(t, "which"), rapid.IntRange(0, 4).Draw(t, "twice") == 0)
		}
	case 10:
		if refs := w.startedRefs(); len(refs) > 0 {
			f.end(w, rapid.SampledFrom(refs).Draw(t, "ref"), rapid.IntRange(0, 4).Draw(t, "ok") > 0)
		}
	case 11:
		if refs := w.refs(false); len(refs) > 0 {
			f.expire(w, rapid.SampledFrom(refs).Draw(t, "ref"))
		}
	case 12:
		f.stall(w)
	case 16:
		f.drop(w)
	case 17:
		f.repeatLate(rapid.IntRange(0, len(f.history)-1).Draw(t, "late"))
	case 13:
		f.changeHealth(t, w)
	case 14:
		if len(f.ids) > 0 {
			f.step(JobCancelled{Job: rapid.SampledFrom(f.ids).Draw(t, "cancel")})
		}
	case 15:
		f.now = f.now.Add(time.Duration(rapid.IntRange(10, 4000).Draw(t, "ms")) * time.Millisecond)
		f.step(Tick{})
	}
}

func (f *fake) changeHealth(t *rapid.T, w *fakeWorker) {
	h := rapid.SampledFrom([]WorkerHealth{WorkerLive, WorkerLive, WorkerLeaving, WorkerUnreachable, WorkerGone}).Draw(t, "health")
	if h == WorkerGone {
		f.loseWorker(w)
		return
	}
	w.health = h
	f.step(WorkerChanged{Worker: w.id, Health: h})
}

// TestRandomEventsKeepEveryInvariant drives the core with random arrivals, failures,
// lease expiries, late and duplicate answers, and cancellations. The invariants of fake.check
// must hold after every step, every job must end once, and a replay must give the same actions.
func TestRandomEventsKeepEveryInvariant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { runRandom(rt, rt, mutationNone) })
}

// variants returns configurations that differ in guarantees, quotas and workers.
func variants() []*Config {
	shifted, smaller := smallConfig(), smallConfig()
	shifted.Organisations[0].Guarantees[0].Cells = 1
	shifted.Organisations[2].Guarantees = []Guarantee{{Zone: "a", Cells: 1, CellSize: 16}}
	smaller.Workers = smaller.Workers[:4]
	smaller.Organisations[1].Quota = 12
	return []*Config{smallConfig(), shifted, smaller}
}

// changeConfig applies another configuration with the next generation.
func (f *fake) changeConfig(t *rapid.T) {
	next := *rapid.SampledFrom(variants()).Draw(t, "configuration")
	next.Generation = f.cfg.Generation + 1
	f.cfg = &next
	f.now = f.now.Add(time.Millisecond)
	f.configuredAt = f.now
	f.step(ConfigChanged{Config: f.cfg})
}

// TestConfigurationChangesKeepEveryInvariant changes the configuration between random
// events.
func TestConfigurationChangesKeepEveryInvariant(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFake(rt, smallOptions(), smallConfig(), mutationNone)
		for range rapid.IntRange(1, 4).Draw(rt, "changes") {
			for range rapid.IntRange(5, 40).Draw(rt, "steps") {
				f.drive(rt)
			}
			f.changeConfig(rt)
		}
		f.runToCompletion()
		f.checkAllEnded()
		f.checkReplay()
	})
}

// TestFIFOKeepsEveryInvariant drives PolicyFIFO with the same random events, in a
// configuration without guarantees, which that policy does not enforce.
func TestFIFOKeepsEveryInvariant(t *testing.T) {
	opts := smallOptions()
	opts.Policy = PolicyFIFO
	cfg := smallConfig()
	for i := range cfg.Organisations {
		cfg.Organisations[i].Guarantees = nil
	}
	rapid.Check(t, func(rt *rapid.T) {
		f := newFake(rt, opts, cfg, mutationNone)
		for range rapid.IntRange(5, 100).Draw(rt, "steps") {
			f.drive(rt)
		}
		f.runToCompletion()
		f.checkAllEnded()
		f.checkReplay()
	})
}

func runRandom(rt *rapid.T, report reporter, m mutation) {
	f := newFake(report, smallOptions(), smallConfig(), m)
	for range rapid.IntRange(10, 150).Draw(rt, "steps") {
		f.drive(rt)
	}
	f.runToCompletion()
	f.checkAllEnded()
	f.checkReplay()
}
