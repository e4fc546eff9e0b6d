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

// scheduledEvent is an event that reaches the core at a later time.
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

// simulation runs a core against generated arrivals, in virtual time. Workers answer calls
// after callTime, preemptions after the time of a checkpoint.
type simulation struct {
	core      *Core
	now       Instant
	scheduled scheduledEventHeap
	seq       int
	runTimes  map[JobID]time.Duration
	// remainingRun is what a job still has to run after its last checkpoint or stop.
	remainingRun map[JobID]time.Duration
	startedAt    map[TaskRef]Instant
	arrived      map[JobID]Instant
	// startWaits and completions are the times from a job's arrival to its first start and end.
	startWaits  map[JobID]time.Duration
	completions map[JobID]time.Duration
	jobs        map[JobID]Job
	// fragmentationSeconds is the fragmentation integrated over sampledSeconds, the time during
	// which accelerators were free.
	fragmentationSeconds float64
	sampledSeconds       float64
}

func newSimulation(policy Policy, cfg *Config) *simulation {
	s := &simulation{core: New(Options{Zone: "a", Policy: policy, MaxQueued: 1 << 20}), runTimes: map[JobID]time.Duration{}, remainingRun: map[JobID]time.Duration{},
		startedAt: map[TaskRef]Instant{}, arrived: map[JobID]Instant{}, startWaits: map[JobID]time.Duration{}, completions: map[JobID]time.Duration{}, jobs: map[JobID]Job{}}
	s.step(ConfigChanged{Config: cfg})
	for _, w := range cfg.Workers {
		s.step(TasksFound{Worker: w.ID})
		s.step(WorkerChanged{Worker: w.ID, Health: WorkerLive})
	}
	return s
}

func (s *simulation) after(d time.Duration, ev Event) {
	s.seq++
	heap.Push(&s.scheduled, scheduledEvent{s.now.Add(d), s.seq, ev})
}

func (s *simulation) arrive(at time.Duration, j Job, run time.Duration) {
	s.runTimes[j.ID], s.remainingRun[j.ID], s.jobs[j.ID] = run, run, j
	s.arrived[j.ID] = Instant(at)
	s.seq++
	heap.Push(&s.scheduled, scheduledEvent{Instant(at), s.seq, JobSubmitted{Job: j}})
}

func (s *simulation) step(ev Event) {
	for _, action := range s.core.Step(s.now, ev) {
		switch a := action.(type) {
		case RecordPlacement:
			s.after(callTime, PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: true})
		case Reserve:
			s.after(callTime, ReserveDone{Task: a.Placement.Task, Worker: a.Placement.Worker})
		case Start:
			s.start(a)
		case Release:
			s.after(callTime, StopDone{Task: a.Task, Worker: a.Worker})
		case Stop:
			s.remainingRun[a.Task.Job] = s.runTimes[a.Task.Job]
			s.after(callTime, StopDone{Task: a.Task, Worker: a.Worker})
		case Preempt:
			s.remainingRun[a.Task.Job] = max(s.remainingRun[a.Task.Job]-s.now.Sub(s.startedAt[a.Task]), 0)
			s.after(200*time.Millisecond, StopDone{Task: a.Task, Worker: a.Worker, Checkpointed: true})
		case JobStarted:
			if _, ok := s.startWaits[a.Job]; !ok {
				s.startWaits[a.Job] = s.now.Sub(s.arrived[a.Job])
			}
		case JobEnded:
			s.completions[a.Job] = s.now.Sub(s.arrived[a.Job])
		}
	}
}

func (s *simulation) start(a Start) {
	s.startedAt[a.Task] = s.now
	s.after(callTime, StartDone{Task: a.Task, Worker: a.Worker})
	s.after(2*callTime+s.remainingRun[a.Task.Job], TaskEnded{Task: a.Task, Worker: a.Worker, OK: true, Ran: s.remainingRun[a.Task.Job]})
}

// play runs until end and integrates fragmentation over time: the fraction of the free
// accelerators that are not on wholly free workers.
func (s *simulation) play(end time.Duration) {
	for len(s.scheduled) > 0 && s.scheduled[0].at <= Instant(end) {
		d := heap.Pop(&s.scheduled).(scheduledEvent)
		s.sampleFragmentation(d.at.Sub(s.now))
		s.now = d.at
		s.step(d.event)
	}
}

func (s *simulation) sampleFragmentation(d time.Duration) {
	free, whole := 0, 0
	for _, w := range s.core.ordered {
		left := w.all() &^ w.used
		free += cell.Count(left)
		if left == w.all() {
			whole += w.width()
		}
	}
	if free > 0 {
		s.fragmentationSeconds += (1 - float64(whole)/float64(free)) * d.Seconds()
		s.sampledSeconds += d.Seconds()
	}
}

// quantileSeconds returns quantile q of times over the jobs for which matches returns true. A
// job without an entry in times counts with the time since its arrival.
func (s *simulation) quantileSeconds(q float64, times map[JobID]time.Duration, matches func(Job) bool) float64 {
	var all []time.Duration
	for id, j := range s.jobs {
		if !matches(j) {
			continue
		}
		d, ok := times[id]
		if !ok {
			d = s.now.Sub(s.arrived[id])
		}
		all = append(all, d)
	}
	sort.Slice(all, func(a, b int) bool { return all[a] < all[b] })
	if len(all) == 0 {
		return 0
	}
	return all[int(float64(len(all)-1)*q)].Seconds()
}

// simulationConfig returns a configuration with 48 workers of eight accelerators, six to a rack,
// and four organisations.
func simulationConfig() *Config {
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

// arrivalPatterns lists functions that schedule arrivals over some minutes and return the time
// at which to stop.
var arrivalPatterns = []struct {
	name   string
	arrive func(s *simulation, r *rand.Rand) time.Duration
}{
	{"rush", urgentBurst}, {"survey", singleOrgBurst}, {"callers", largeAndSmallCallers}, {"quiet", lightLoad},
}

// baseLoad schedules long gangs and smaller jobs of all organisations that use about the
// given share of the zone.
func baseLoad(s *simulation, r *rand.Rand, share float64) {
	// The zone has 384 accelerators; a job takes about eight of them for about 60 seconds.
	rate := share * 384 / (60 * 8)
	for at, i := 0.0, 0; at < 600; i++ {
		at += r.ExpFloat64() / rate
		size := []int{8, 4, 8, 2, 16, 8}[i%6]
		j := testJob(JobID(fmt.Sprintf("base%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "reconcile", 1, min(size, 8))
		j.Shape.Cells = max(size/8, 1)
		j.Declared = time.Duration(20+r.Intn(80)) * time.Second
		s.arrive(time.Duration(at*1e9), j, time.Duration(float64(j.Declared)*(0.5+r.Float64())))
	}
}

// urgentBurst adds 12,000 urgent jobs of one accelerator within two minutes to a high load.
func urgentBurst(s *simulation, r *rand.Rand) time.Duration {
	baseLoad(s, r, 0.9)
	for i := range 12000 {
		at := 120 + 120*r.Float64()
		j := testJob(JobID(fmt.Sprintf("check%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "check", 1, 1)
		j.Caller = CallerID(fmt.Sprintf("c%d", r.Intn(50)))
		j.Declared = time.Second
		s.arrive(time.Duration(at*1e9), j, time.Duration((0.5+r.Float64())*1e9))
	}
	return 900 * time.Second
}

// singleOrgBurst adds 4,000 jobs of one organisation within a minute to a medium load.
func singleOrgBurst(s *simulation, r *rand.Rand) time.Duration {
	baseLoad(s, r, 0.7)
	for i := range 4000 {
		j := testJob(JobID(fmt.Sprintf("survey%d", i)), "o3", "summary", 1, 1)
		j.Declared = 30 * time.Second
		s.arrive(time.Duration((120+60*r.Float64())*1e9), j, 30*time.Second)
	}
	return 900 * time.Second
}

// lightLoad schedules small jobs among the large ones and leaves cells free.
func lightLoad(s *simulation, r *rand.Rand) time.Duration {
	baseLoad(s, r, 0.5)
	for i := range 3000 {
		j := testJob(JobID(fmt.Sprintf("s%d", i)), OrgID(fmt.Sprintf("o%d", i%4)), "summary", 1, 1+i%2)
		j.Declared = 20 * time.Second
		s.arrive(time.Duration(600e9*r.Float64()), j, time.Duration((5+30*r.Float64())*1e9))
	}
	return 600 * time.Second
}

// largeAndSmallCallers has one organisation whose jobs come from one caller, except for one
// in 21 from several small callers.
func largeAndSmallCallers(s *simulation, r *rand.Rand) time.Duration {
	for i := range 6000 {
		j := testJob(JobID(fmt.Sprintf("j%d", i)), "o0", "summary", 1, 1)
		j.Caller = "large"
		if i%21 == 0 {
			j.Caller = CallerID(fmt.Sprintf("small%d", i%10))
		}
		j.Declared = 20 * time.Second
		s.arrive(time.Duration(r.Float64()*300e9), j, 20*time.Second)
	}
	return 600 * time.Second
}

// simulationSeeds is the number of seeds of which BenchmarkFlood reports the medians.
const simulationSeeds = 3

// BenchmarkFlood compares the two policies on the same arrivals and reports medians over the
// seeds.
func BenchmarkFlood(b *testing.B) {
	for _, pattern := range arrivalPatterns {
		for _, policy := range []Policy{PolicyFIFO, PolicyGuaranteed} {
			b.Run(pattern.name+"/"+string(policy), func(b *testing.B) {
				got := map[string][]float64{}
				for seed := range int64(simulationSeeds) {
					s := newSimulation(policy, simulationConfig())
					s.play(pattern.arrive(s, rand.New(rand.NewSource(seed+1))))
					for name, v := range s.measures() {
						got[name] = append(got[name], v)
					}
				}
				for name, values := range got {
					sort.Float64s(values)
					b.ReportMetric(values[simulationSeeds/2], name)
				}
			})
		}
	}
}

func (s *simulation) measures() map[string]float64 {
	isCheck := func(j Job) bool { return j.Class == "check" }
	isOther := func(j Job) bool { return j.Class == "reconcile" && j.Org != "o3" }
	completed := 0.0
	for id, j := range s.jobs {
		if _, ok := s.completions[id]; ok && isOther(j) {
			completed++
		}
	}
	return map[string]float64{
		"check-p95-s":         s.quantileSeconds(0.95, s.completions, isCheck),
		"check-start-p99-s":   s.quantileSeconds(0.99, s.startWaits, isCheck),
		"other-p95-s":         s.quantileSeconds(0.95, s.completions, isOther),
		"other-p50-s":         s.quantileSeconds(0.5, s.completions, isOther),
		"other-done":          completed,
		"small-caller-wait-s": s.quantileSeconds(0.5, s.startWaits, func(j Job) bool { return j.Caller != "large" && j.Caller != "c" }),
		"large-caller-wait-s": s.quantileSeconds(0.5, s.startWaits, func(j Job) bool { return j.Caller == "large" }),
		"fragmentation":       s.fragmentationSeconds / max(s.sampledSeconds, 1),
	}
}
