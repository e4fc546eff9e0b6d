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
type scheduledEvent struct {
	at    Instant
	seq   int
	event Event
}

type scheduledEventHeap []scheduledEvent

func (h scheduledEventHeap) Len() int { return len(h) }
func (h scheduledEventHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || h[a].at == h[b].at && h[a].seq < h[b].seq
}
func (h scheduledEventHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *scheduledEventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *scheduledEventHeap) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}

// flood replays one day of arrivals against a core, in virtual time.
type arrivalReplay struct {
	core                 *Core
	now                  Instant
	scheduled            scheduledEventHeap
	seq                  int
	runTimes             map[JobID]time.Duration
	remainingRun         map[JobID]time.Duration
	startedAt            map[TaskRef]Instant
	arrived              map[JobID]Instant
	startWaits           map[JobID]time.Duration
	completions          map[JobID]time.Duration
	jobs                 map[JobID]Job
	fragmentationSeconds float64
	sampledSeconds       float64
}

func newArrivalReplay(policy Policy, cfg *Config) *arrivalReplay {
	f := &arrivalReplay{core: New(Options{Zone: "a", Policy: policy, MaxQueued: 1 << 20}), runTimes: map[JobID]time.Duration{}, remainingRun: map[JobID]time.Duration{},
		startedAt: map[TaskRef]Instant{}, arrived: map[JobID]Instant{}, startWaits: map[JobID]time.Duration{}, completions: map[JobID]time.Duration{}, jobs: map[JobID]Job{}}
	f.step(ConfigChanged{Config: cfg})
	for _, w := range cfg.Workers {
		f.step(TasksFound{Worker: w.ID})
		f.step(WorkerChanged{Worker: w.ID, Health: WorkerLive})
	}
	return f
}

func (f *arrivalReplay) after(d time.Duration, ev Event) {
	f.seq++
	heap.Push(&f.scheduled, scheduledEvent{f.now.Add(d), f.seq, ev})
}

func (f *arrivalReplay) arrive(at time.Duration, j Job, run time.Duration) {
	f.runTimes[j.ID], f.remainingRun[j.ID], f.jobs[j.ID] = run, run, j
	f.arrived[j.ID] = Instant(at)
	f.seq++
	heap.Push(&f.scheduled, scheduledEvent{Instant(at), f.seq, JobSubmitted{Job: j}})
}

func (f *arrivalReplay) step(ev Event) {
	for _, action := range f.core.Step(f.now, ev) {
		switch a := action.(type) {
		case RecordPlacement:
			f.after(callTime, PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: true})
		case Reserve:
			f.after(callTime, ReserveDone{Task: a.Placement.Task, Worker: a.Placement.Worker})
		case Start:
			f.start(a)
		case Release:
			f.after(callTime, StopDone{Task: a.Task, Worker: a.Worker})
		case Stop:
			f.remainingRun[a.Task.Job] = f.runTimes[a.Task.Job]
			f.after(callTime, StopDone{Task: a.Task, Worker: a.Worker})
		case Preempt:
			f.remainingRun[a.Task.Job] = max(f.remainingRun[a.Task.Job]-f.now.Sub(f.startedAt[a.Task]), 0)
			f.after(200*time.Millisecond, StopDone{Task: a.Task, Worker: a.Worker, Checkpointed: true})
		case JobStarted:
			if _, ok := f.startWaits[a.Job]; !ok {
				f.startWaits[a.Job] = f.now.Sub(f.arrived[a.Job])
			}
		case JobEnded:
			f.completions[a.Job] = f.now.Sub(f.arrived[a.Job])
		}
	}
}

func (f *arrivalReplay) start(a Start) {
	f.startedAt[a.Task] = f.now
	f.after(callTime, StartDone{Task: a.Task, Worker: a.Worker})
	f.after(2*callTime+f.remainingRun[a.Task.Job], TaskEnded{Task: a.Task, Worker: a.Worker, OK: true, Ran: f.remainingRun[a.Task.Job]})
}

// play runs until end and sums up fragmentation: 1 − largest gang that fits / free.
func (f *arrivalReplay) play(end time.Duration) {
	for len(f.scheduled) > 0 && f.scheduled[0].at <= Instant(end) {
		d := heap.Pop(&f.scheduled).(scheduledEvent)
		f.sampleFragmentation(d.at.Sub(f.now))
		f.now = d.at
		f.step(d.event)
	}
}

func (f *arrivalReplay) sampleFragmentation(d time.Duration) {
	free, whole := 0, 0
	for _, w := range f.core.ordered {
		left := w.all() &^ w.used
		free += cell.Count(left)
		if left == w.all() {
			whole += w.width()
		}
	}
	if free > 0 {
		f.fragmentationSeconds += (1 - float64(whole)/float64(free)) * d.Seconds()
		f.sampledSeconds += d.Seconds()
	}
}

func (f *arrivalReplay) quantileSeconds(q float64, of map[JobID]time.Duration, want func(Job) bool) float64 {
	var all []time.Duration
	for id, j := range f.jobs {
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
func replayConfig() *Config {
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
var arrivalPatterns = []struct {
	name   string
	arrive func(f *arrivalReplay, r *rand.Rand) time.Duration
}{
	{"rush", urgentBurst}, {"survey", singleOrgBurst}, {"callers", largeAndSmallCallers}, {"quiet", lightLoad},
}

// base is a load of long gangs and smaller jobs of all organisations, of about the
// given share of the fleet.
func baseLoad(f *arrivalReplay, r *rand.Rand, share float64) {
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

func urgentBurst(f *arrivalReplay, r *rand.Rand) time.Duration {
	baseLoad(f, r, 0.9)
	for i := range 12000 {
		at := 120 + 120*r.Float64()
		j := testJob(JobID(fmt.Sprintf("check%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "check", 1, 1)
		j.Caller = CallerID(fmt.Sprintf("c%d", r.Intn(50)))
		j.Declared = time.Second
		f.arrive(time.Duration(at*1e9), j, time.Duration((0.5+r.Float64())*1e9))
	}
	return 900 * time.Second
}

func singleOrgBurst(f *arrivalReplay, r *rand.Rand) time.Duration {
	baseLoad(f, r, 0.7)
	for i := range 4000 {
		j := testJob(JobID(fmt.Sprintf("survey%d", i)), "o3", "summary", 1, 1)
		j.Declared = 30 * time.Second
		f.arrive(time.Duration((120+60*r.Float64())*1e9), j, 30*time.Second)
	}
	return 900 * time.Second
}

// quiet is a load that leaves cells free, with small jobs among the large.
func lightLoad(f *arrivalReplay, r *rand.Rand) time.Duration {
	baseLoad(f, r, 0.5)
	for i := range 3000 {
		j := testJob(JobID(fmt.Sprintf("s%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "summary", 1, 1+i%2)
		j.Declared = 20 * time.Second
		f.arrive(time.Duration(600e9*r.Float64()), j, time.Duration((5+30*r.Float64())*1e9))
	}
	return 600 * time.Second
}

func largeAndSmallCallers(f *arrivalReplay, r *rand.Rand) time.Duration {
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
const replaySeeds = 3

// BenchmarkFlood reports what the two policies make of the same arrivals, as medians
// over the seeds.
func BenchmarkFlood(b *testing.B) {
	for _, s := range arrivalPatterns {
		for _, policy := range []Policy{PolicyFIFO, PolicyGuaranteed} {
			b.Run(s.name+"/"+string(policy), func(b *testing.B) {
				got := map[string][]float64{}
				for seed := range int64(replaySeeds) {
					f := newArrivalReplay(policy, replayConfig())
					f.play(s.arrive(f, rand.New(rand.NewSource(seed+1))))
					for name, v := range f.measures() {
						got[name] = append(got[name], v)
					}
				}
				for name, values := range got {
					sort.Float64s(values)
					b.ReportMetric(values[replaySeeds/2], name)
				}
			})
		}
	}
}

func (f *arrivalReplay) measures() map[string]float64 {
	small := func(j Job) bool { return j.Class == "check" }
	other := func(j Job) bool { return j.Class == "reconcile" && j.Org != "o3" }
	kept := 0.0
	for id, j := range f.jobs {
		if _, ok := f.completions[id]; ok && other(j) {
			kept++
		}
	}
	return map[string]float64{
		"check-p95-s":         f.quantileSeconds(0.95, f.completions, small),
		"check-start-p99-s":   f.quantileSeconds(0.99, f.startWaits, small),
		"other-p95-s":         f.quantileSeconds(0.95, f.completions, other),
		"other-p50-s":         f.quantileSeconds(0.5, f.completions, other),
		"other-done":          kept,
		"small-caller-wait-s": f.quantileSeconds(0.5, f.startWaits, func(j Job) bool { return j.Caller != "large" && j.Caller != "c" }),
		"large-caller-wait-s": f.quantileSeconds(0.5, f.startWaits, func(j Job) bool { return j.Caller == "large" }),
		"fragmentation":       f.fragmentationSeconds / max(f.sampledSeconds, 1),
	}
}
