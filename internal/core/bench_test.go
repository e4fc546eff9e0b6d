package core

import (
	"fmt"
	"sort"
	"testing"
	"time"
)

// benchZone is a core with the workers and running tasks of a large zone.
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

// benchZoneConfig returns a configuration with 460 workers and 760 accelerators: 95 workers
// have eight each.
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
	z := &benchZone{core: New(Options{Zone: "a", Policy: PolicyGuaranteed, MaxQueued: 1 << 30})}
	cfg := benchZoneConfig()
	z.step(ConfigChanged{Config: cfg})
	for _, w := range cfg.Workers {
		z.step(TasksFound{Worker: w.ID})
		z.step(WorkerChanged{Worker: w.ID, Health: WorkerLive})
	}
	for len(z.running) < benchRunning {
		before := len(z.running)
		z.arrive()
		z.settle()
		if len(z.running) == before && z.core.queue.waiting > waiting {
			break
		}
	}
	for z.core.queue.waiting < waiting {
		z.arrive()
		z.settle()
	}
	z.steps = z.steps[:0]
	return z
}

func (z *benchZone) step(ev Event) {
	z.now = z.now.Add(time.Millisecond)
	began := time.Now()
	out := z.core.Step(z.now, ev)
	z.steps = append(z.steps, time.Since(began))
	for _, action := range out {
		switch a := action.(type) {
		case RecordPlacement:
			z.pending = append(z.pending, PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: true})
		case Reserve:
			z.pending = append(z.pending, ReserveDone{Task: a.Placement.Task, Worker: a.Placement.Worker})
		case Start:
			z.pending = append(z.pending, StartDone{Task: a.Task, Worker: a.Worker})
			z.running = append(z.running, TaskEnded{Task: a.Task, Worker: a.Worker, OK: true, Ran: time.Second})
		case Release:
			z.pending = append(z.pending, StopDone{Task: a.Task, Worker: a.Worker})
		case Stop:
			z.pending = append(z.pending, StopDone{Task: a.Task, Worker: a.Worker})
		case Preempt:
			z.pending = append(z.pending, StopDone{Task: a.Task, Worker: a.Worker, Checkpointed: true})
		}
	}
}

func (z *benchZone) settle() {
	for len(z.pending) > 0 {
		ev := z.pending[0]
		z.pending = z.pending[1:]
		z.step(ev)
	}
}

// arrive submits the next job of a fixed mix: mostly small tasks without
// accelerators, some with one to eight, a few gangs.
func (z *benchZone) arrive() {
	i := z.next
	z.next++
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
	z.step(JobSubmitted{Job: j})
}

// BenchmarkStep ends a running task and submits a job in each round, and reports the
// median and the 99th percentile of all steps.
func BenchmarkStep(b *testing.B) {
	for _, waiting := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			z := newBenchZone(waiting)
			b.ResetTimer()
			for range b.N {
				z.round()
			}
			b.StopTimer()
			z.report(b)
		})
	}
}

func (z *benchZone) round() {
	i := z.next * 31 % len(z.running)
	ended := z.running[i]
	z.running = append(z.running[:i], z.running[i+1:]...)
	z.step(ended)
	z.settle()
	z.arrive()
	z.settle()
}

func (z *benchZone) report(b *testing.B) {
	sort.Slice(z.steps, func(x, y int) bool { return z.steps[x] < z.steps[y] })
	n := len(z.steps)
	b.ReportMetric(float64(z.steps[n/2].Nanoseconds())/1e3, "p50-us/step")
	b.ReportMetric(float64(z.steps[n*99/100].Nanoseconds())/1e3, "p99-us/step")
	b.ReportMetric(float64(z.core.queue.waiting), "waiting")
	b.ReportMetric(float64(len(z.core.tasks)), "tasks")
}

// BenchmarkCancelWave cancels about 100,000 waiting jobs and reports the time for each.
func BenchmarkCancelWave(b *testing.B) {
	const wave = 100000
	for range b.N {
		b.StopTimer()
		z := newBenchZone(wave)
		var ids []JobID
		for id, j := range z.core.jobs {
			if j.state == Queued {
				ids = append(ids, id)
			}
		}
		z.steps = z.steps[:0]
		b.StartTimer()
		for _, id := range ids {
			z.step(JobCancelled{Job: id})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*wave)/1e3, "us/cancel")
}
