package core

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// fleet is a core at the size of a large zone with its running tasks.
type benchZone struct {
	core    *Core
	now     Instant
	pending []Event
	running []TaskEnded
	next    int
	steps   []time.Duration
}

const (
	benchWorkers      = 460
	benchAccelerators = 760
	benchOrgs         = 59
	benchRunning      = 2200
)

// fleetConfig spreads 760 accelerators over 460 workers: 95 workers have eight.
func benchZoneConfig() *Config {
	cfg := &Config{Generation: 1, Classes: []Class{
		{Name: "check", Urgent: true, Weight: 2}, {Name: "survey", Checkpoint: true, Weight: 1}, {Name: "summary", Weight: 1},
	}}
	for i := range benchWorkers {
		w := Worker{
			ID: WorkerID(fmt.Sprintf("w%03d", i)), Zone: "a", Rack: RackID(fmt.Sprintf("r%02d", i/6)),
			CPU: 64, MemoryBytes: 128 << 30, Slots: 8,
		}
		if i < benchAccelerators/8 {
			w.Accelerators = 8
		}
		cfg.Workers = append(cfg.Workers, w)
	}
	for i := range benchOrgs {
		cfg.Organisations = append(cfg.Organisations, Organisation{
			ID: OrgID(fmt.Sprintf("org%02d", i)), Weight: 1 + i%3,
			Guarantees: []Guarantee{{Zone: "a", Cells: 1, CellSize: 1 << (i % 4)}},
		})
	}
	return cfg
}

func newBenchZone(waiting int) *benchZone {
	f := &benchZone{core: New(Options{Zone: "a", Policy: PolicyGuaranteed, MaxQueued: 1 << 30})}
	cfg := benchZoneConfig()
	f.step(ConfigChanged{Config: cfg})
	for _, w := range cfg.Workers {
		f.step(TasksFound{Worker: w.ID})
		f.step(WorkerChanged{Worker: w.ID, Health: WorkerLive})
	}
	for len(f.running) < benchRunning {
		before := len(f.running)
		f.arrive()
		f.settle()
		if len(f.running) == before && f.core.queue.waiting > waiting {
			break
		}
	}
	for f.core.queue.waiting < waiting {
		f.arrive()
		f.settle()
	}
	f.steps = f.steps[:0]
	return f
}

func (f *benchZone) step(ev Event) {
	f.now = f.now.Add(time.Millisecond)
	began := time.Now()
	out := f.core.Step(f.now, ev)
	f.steps = append(f.steps, time.Since(began))
	for _, action := range out {
		switch a := action.(type) {
		case RecordPlacement:
			f.pending = append(f.pending, PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: true})
		case Reserve:
			f.pending = append(f.pending, ReserveDone{Task: a.Placement.Task, Worker: a.Placement.Worker})
		case Start:
			f.pending = append(f.pending, StartDone{Task: a.Task, Worker: a.Worker})
			f.running = append(f.running, TaskEnded{Task: a.Task, Worker: a.Worker, OK: true, Ran: time.Second})
		case Release:
			f.pending = append(f.pending, StopDone{Task: a.Task, Worker: a.Worker})
		case Stop:
			f.pending = append(f.pending, StopDone{Task: a.Task, Worker: a.Worker})
		case Preempt:
			f.pending = append(f.pending, StopDone{Task: a.Task, Worker: a.Worker, Checkpointed: true})
		}
	}
}

func (f *benchZone) settle() {
	for len(f.pending) > 0 {
		ev := f.pending[0]
		f.pending = f.pending[1:]
		f.step(ev)
	}
}

// arrive submits the next job of a fixed mix: mostly small tasks without
// accelerators, some with one to eight, a few gangs.
func (f *benchZone) arrive() {
	i := f.next
	f.next++
	j := Job{
		ID: JobID(fmt.Sprintf("j%d", i)), Org: OrgID(fmt.Sprintf("org%02d", i*7%benchOrgs)),
		Caller: CallerID(fmt.Sprintf("c%d", i%40)), Class: "check", Idempotent: true, Declared: time.Minute,
		Shape: Shape{Cells: 1, CPU: 10, MemoryBytes: 8 << 30},
	}
	switch i % 10 {
	case 7:
		j.Class, j.Shape.CellSize = "survey", 1<<(i/10%4)
	case 8:
		j.Class, j.Shape.CellSize, j.Idempotent = "summary", 1, false
	case 9:
		j.Class, j.Shape.CellSize, j.Shape.Cells = "survey", 4, 2
	}
	f.step(JobSubmitted{Job: j})
}

// BenchmarkStep ends a running task and submits a job each round, and reports the
// median and the 99th percentile of all steps.
func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			f := newBenchZone(waiting)
			b.ResetTimer()
			for range b.N {
				f.round()
			}
			b.StopTimer()
			f.report(b)
		})
	}
}

func (f *benchZone) round() {
	i := f.next * 31 % len(f.running)
	ended := f.running[i]
	f.running = append(f.running[:i], f.running[i+1:]...)
	f.step(ended)
	f.settle()
	f.arrive()
	f.settle()
}

func (f *benchZone) report(b *testing.B) {
	sort.Slice(f.steps, func(x, y int) bool { return f.steps[x] < f.steps[y] })
	n := len(f.steps)
	b.ReportMetric(float64(f.steps[n/2].Nanoseconds())/1e3, "p50-us/step")
	b.ReportMetric(float64(f.steps[n*99/100].Nanoseconds())/1e3, "p99-us/step")
	b.ReportMetric(float64(f.core.queue.waiting), "waiting")
	b.ReportMetric(float64(len(f.core.tasks)), "tasks")
}

// BenchmarkCancelWave cancels about 100,000 waiting jobs and reports the time for each.
func BenchmarkCancelWave(b *testing.B) {
	const wave = 100000
	for range b.N {
		b.StopTimer()
		f := newBenchZone(wave)
		var ids []JobID
		for id, j := range f.core.jobs {
			if j.state == Queued {
				ids = append(ids, id)
			}
		}
		f.steps = f.steps[:0]
		b.StartTimer()
		for _, id := range ids {
			f.step(JobCancelled{Job: id})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*wave)/1e3, "us/cancel")
}
