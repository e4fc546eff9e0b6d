package core

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"agatewinch/internal/core/cell"
)

// callTime is the time from a call to a worker until its answer reaches the core.
const callTime = 5 * time.Millisecond

// due is an event that reaches the core at a time to come.
type due struct {
	at    Instant
	seq   int
	event Event
}

type dueHeap []due

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h dueHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *dueHeap) Push(x any)   { *h = append(*h, x.(due)) }
func (h *dueHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}

// flood replays one day of arrivals against a core, in virtual time.
type flood struct {
	core    *Core
	now     Instant
	dues    dueHeap
	seq     int
	run     map[JobID]time.Duration
	left    map[JobID]time.Duration
	begun   map[TaskRef]Instant
	arrived map[JobID]Instant
	waits   map[JobID]time.Duration
	done    map[JobID]time.Duration
	class   map[JobID]Job
	frag    float64
	fragFor float64
}

func newFlood(policy Policy, cfg *Config) *flood {
	f := &flood{core: New(Options{Zone: "a", Policy: policy, MaxQueued: 1 << 20}), run: map[JobID]time.Duration{}, left: map[JobID]time.Duration{},
		begun: map[TaskRef]Instant{}, arrived: map[JobID]Instant{}, waits: map[JobID]time.Duration{}, done: map[JobID]time.Duration{}, class: map[JobID]Job{}}
	f.step(ConfigChanged{Config: cfg})
	for _, w := range cfg.Workers {
		f.step(TasksFound{Worker: w.ID})
		f.step(WorkerChanged{Worker: w.ID, Health: WorkerLive})
	}
	return f
}

func (f *flood) later(d time.Duration, ev Event) {
	f.seq++
	heap.Push(&f.dues, due{f.now.Add(d), f.seq, ev})
}

func (f *flood) arrive(at time.Duration, j Job, run time.Duration) {
	f.run[j.ID], f.left[j.ID], f.class[j.ID] = run, run, j
	f.arrived[j.ID] = Instant(at)
	f.seq++
	heap.Push(&f.dues, due{Instant(at), f.seq, JobSubmitted{Job: j}})
}

func (f *flood) step(ev Event) {
	for _, action := range f.core.Step(f.now, ev) {
		switch a := action.(type) {
		case RecordPlacement:
			f.later(callTime, PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: true})
		case Reserve:
			f.later(callTime, ReserveDone{Task: a.Placement.Task, Worker: a.Placement.Worker})
		case Start:
			f.start(a)
		case Release:
			f.later(callTime, StopDone{Task: a.Task, Worker: a.Worker})
		case Stop:
			f.left[a.Task.Job] = f.run[a.Task.Job]
			f.later(callTime, StopDone{Task: a.Task, Worker: a.Worker})
		case Preempt:
			f.left[a.Task.Job] = max(f.left[a.Task.Job]-f.now.Sub(f.begun[a.Task]), 0)
			f.later(200*time.Millisecond, StopDone{Task: a.Task, Worker: a.Worker, Checkpointed: true})
		case JobStarted:
			if _, ok := f.waits[a.Job]; !ok {
				f.waits[a.Job] = f.now.Sub(f.arrived[a.Job])
			}
		case JobEnded:
			f.done[a.Job] = f.now.Sub(f.arrived[a.Job])
		}
	}
}

func (f *flood) start(a Start) {
	f.begun[a.Task] = f.now
	f.later(callTime, StartDone{Task: a.Task, Worker: a.Worker})
	f.later(2*callTime+f.left[a.Task.Job], TaskEnded{Task: a.Task, Worker: a.Worker, OK: true, Ran: f.left[a.Task.Job]})
}

// play runs until end and sums up fragmentation: 1 − largest gang that fits / free.
func (f *flood) play(end time.Duration) {
	for len(f.dues) > 0 && f.dues[0].at <= Instant(end) {
		d := heap.Pop(&f.dues).(due)
		f.sample(d.at.Sub(f.now))
		f.now = d.at
		f.step(d.event)
	}
}

func (f *flood) sample(d time.Duration) {
	free, whole := 0, 0
	for _, w := range f.core.ordered {
		left := w.all() &^ w.used
		free += cell.Count(left)
		if left == w.all() {
			whole += w.width()
		}
	}
	if free > 0 {
		f.frag += (1 - float64(whole)/float64(free)) * d.Seconds()
		f.fragFor += d.Seconds()
	}
}

func (f *flood) quantile(q float64, of map[JobID]time.Duration, want func(Job) bool) float64 {
	var all []time.Duration
	for id, j := range f.class {
		if !want(j) {
			continue
		}
		d, ok := of[id]
		if !ok {
			d = f.now.Sub(f.arrived[id])
		}
		all = append(all, d)
	}
	sort.Slice(all, func(a, b int) bool { return all[a] < all[b] })
	if len(all) == 0 {
		return 0
	}
	return all[int(float64(len(all)-1)*q)].Seconds()
}

// floodConfig is 48 workers of eight accelerators, six to a rack, and four organisations.
func floodConfig() *Config {
	cfg := smallConfig()
	cfg.Workers = nil
	for i := range 48 {
		cfg.Workers = append(cfg.Workers, Worker{ID: WorkerID(fmt.Sprintf("w%02d", i)), Zone: "a", Rack: RackID(fmt.Sprintf("r%d", i/6)),
			CPU: 64, MemoryBytes: 128 << 30, Accelerators: 8, Slots: 8})
	}
	cfg.Organisations = nil
	for i, cells := range []int{12, 8, 4, 2} {
		cfg.Organisations = append(cfg.Organisations, Organisation{ID: OrgID(fmt.Sprintf("o%d", i)), Weight: 1,
			UrgentQuota: 16 * (4 - i), Guarantees: []Guarantee{{Zone: "a", Cells: cells, CellSize: 8}}})
	}
	return cfg
}

// floods are arrivals over some minutes; each returns the time to stop.
var floods = []struct {
	name   string
	arrive func(f *flood, r *rand.Rand) time.Duration
}{
	{"rush", rush}, {"survey", survey}, {"callers", callers}, {"quiet", quiet},
}

// base is a load of long gangs and smaller jobs of all organisations, of about the
// given share of the fleet.
func base(f *flood, r *rand.Rand, share float64) {
	rate := share * 384 / (60 * 8)
	for at, i := 0.0, 0; at < 600; i++ {
		at += r.ExpFloat64() / rate
		size := []int{8, 4, 8, 2, 16, 8}[i%6]
		j := testJob(JobID(fmt.Sprintf("base%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "reconcile", 1, min(size, 8))
		j.Shape.Cells = max(size/8, 1)
		j.Declared = time.Duration(20+r.Intn(80)) * time.Second
		f.arrive(time.Duration(at*1e9), j, time.Duration(float64(j.Declared)*(0.5+r.Float64())))
	}
}

func rush(f *flood, r *rand.Rand) time.Duration {
	base(f, r, 0.9)
	for i := range 12000 {
		at := 120 + 120*r.Float64()
		j := testJob(JobID(fmt.Sprintf("check%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "check", 1, 1)
		j.Caller = CallerID(fmt.Sprintf("c%d", r.Intn(50)))
		j.Declared = time.Second
		f.arrive(time.Duration(at*1e9), j, time.Duration((0.5+r.Float64())*1e9))
	}
	return 900 * time.Second
}

func survey(f *flood, r *rand.Rand) time.Duration {
	base(f, r, 0.7)
	for i := range 4000 {
		j := testJob(JobID(fmt.Sprintf("survey%d", i)), "o3", "summary", 1, 1)
		j.Declared = 30 * time.Second
		f.arrive(time.Duration((120+60*r.Float64())*1e9), j, 30*time.Second)
	}
	return 900 * time.Second
}

// quiet is a load that leaves cells free, with small jobs among the large.
func quiet(f *flood, r *rand.Rand) time.Duration {
	base(f, r, 0.5)
	for i := range 3000 {
		j := testJob(JobID(fmt.Sprintf("s%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "summary", 1, 1+i%2)
		j.Declared = 20 * time.Second
		f.arrive(time.Duration(600e9*r.Float64()), j, time.Duration((5+30*r.Float64())*1e9))
	}
	return 600 * time.Second
}

func callers(f *flood, r *rand.Rand) time.Duration {
	for i := range 6000 {
		j := testJob(JobID(fmt.Sprintf("j%d", i)), "o0", "summary", 1, 1)
		j.Caller = "large"
		if i%21 == 0 {
			j.Caller = CallerID(fmt.Sprintf("small%d", i%10))
		}
		j.Declared = 20 * time.Second
		f.arrive(time.Duration(r.Float64()*300e9), j, 20*time.Second)
	}
	return 600 * time.Second
}

// floodSeeds is the number of seeds of which BenchmarkFlood reports the medians.
const floodSeeds = 3

// BenchmarkFlood reports what the two policies make of the same arrivals, as medians
// over the seeds.
func BenchmarkFlood(b *testing.B) {
	for _, s := range floods {
		for _, policy := range []Policy{PolicyFIFO, PolicyGuaranteed} {
			b.Run(s.name+"/"+string(policy), func(b *testing.B) {
				got := map[string][]float64{}
				for seed := range int64(floodSeeds) {
					f := newFlood(policy, floodConfig())
					f.play(s.arrive(f, rand.New(rand.NewSource(seed+1))))
					for name, v := range f.measures() {
						got[name] = append(got[name], v)
					}
				}
				for name, values := range got {
					sort.Float64s(values)
					b.ReportMetric(values[floodSeeds/2], name)
				}
			})
		}
	}
}

func (f *flood) measures() map[string]float64 {
	small := func(j Job) bool { return j.Class == "check" }
	other := func(j Job) bool { return j.Class == "reconcile" && j.Org != "o3" }
	kept := 0.0
	for id, j := range f.class {
		if _, ok := f.done[id]; ok && other(j) {
			kept++
		}
	}
	return map[string]float64{
		"check-p95-s":         f.quantile(0.95, f.done, small),
		"check-start-p99-s":   f.quantile(0.99, f.waits, small),
		"other-p95-s":         f.quantile(0.95, f.done, other),
		"other-p50-s":         f.quantile(0.5, f.done, other),
		"other-done":          kept,
		"small-caller-wait-s": f.quantile(0.5, f.waits, func(j Job) bool { return j.Caller != "large" && j.Caller != "c" }),
		"large-caller-wait-s": f.quantile(0.5, f.waits, func(j Job) bool { return j.Caller == "large" }),
		"fragmentation":       f.frag / max(f.fragFor, 1),
	}
}
