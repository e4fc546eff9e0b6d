package dispatch

import (
	"fmt"
	"testing"
	"time"

	"agatewinch/internal/core/job"
)

// harness drives a Core by hand and collects the calls that it wants to send; there are no workers.
type harness struct {
	t              *testing.T
	core           *Core
	now            time.Duration
	starts         []Start
	stops          []Stop
	probes         []Probe
	adviceRequests []AdviceRequest
	paces          []Pace
	// upkeeps and reports are the calls of upkeep waves.
	upkeeps []Upkeep
	reports []WaveReport
	notes   []Note
	// ends holds the number of ended runs of each worker.
	ends map[string]int64
}

func newHarness(t *testing.T) *harness {
	b := &harness{t: t, ends: map[string]int64{}}
	b.core = New(b.clock(), Settings{Lease: 8 * time.Second, MaxLease: 10 * time.Second, ProbeWait: 2 * time.Second, FormerRenewalTime: 5 * time.Second, SpreadFactor: 3, StopTime: 200 * time.Millisecond, HeartbeatInterval: 1500 * time.Millisecond})
	return b
}

func (b *harness) clock() Now { return Now{Mono: b.now, UnixMs: b.now.Milliseconds()} }

// fleet returns n workers of the given capacity in racks of six.
func (b *harness) fleet(n int, capacity job.Resources) []WorkerInfo {
	var list []WorkerInfo
	for i := range n {
		list = append(list, WorkerInfo{
			ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("192.0.2.%d:1", i), Service: "service", Rack: fmt.Sprintf("r%d", i/6),
			Labels: []string{"a"}, Capacity: capacity, Incarnation: 1, ClockMs: b.now.Milliseconds() + 1,
		})
	}
	return list
}

// flush collects the core's calls and records its batches, until none is left.
func (b *harness) flush() {
	for {
		a := b.core.TakeActions(b.clock())
		b.starts = append(b.starts, a.Starts...)
		b.stops = append(b.stops, a.Stops...)
		b.probes = append(b.probes, a.Probes...)
		b.upkeeps = append(b.upkeeps, a.Upkeeps...)
		b.reports = append(b.reports, a.WaveReports...)
		b.paces = append(b.paces, a.Paces...)
		b.adviceRequests = append(b.adviceRequests, a.AdviceRequests...)
		b.notes = append(b.notes, a.Notes...)
		batch := b.core.TakeBatch()
		if batch == nil {
			return
		}
		b.core.Recorded(b.clock(), batch)
	}
}

// advance advances the time in steps of at most 250 ms, with a tick at each.
func (b *harness) advance(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+250*time.Millisecond)
		b.core.Tick(b.clock())
		b.flush()
	}
}

// accept accepts all collected starts and returns them.
func (b *harness) accept() []Start {
	started := b.starts
	b.starts = nil
	for _, s := range started {
		b.core.Started(b.clock(), s, Accepted)
	}
	b.flush()
	return started
}

// startUnanswered adds a job of one task and loses the answer to its start.
func (b *harness) startUnanswered(priority int) Start {
	b.add(single("j", priority, 1, one))
	start := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), start, Unanswered)
	b.flush()
	return start
}

// endRun answers the worker's open probe with the end of a run.
func (b *harness) endRun(s Start, end job.End) {
	b.ends[s.Worker]++
	b.answerProbe(s.Worker, WorkerReport{Incarnation: s.Incarnation, ClockMs: b.now.Milliseconds() + 1, Ended: []EndedTask{{Number: b.ends[s.Worker], Task: s.Task.String(), Run: s.Run, How: end}}})
}

// answerProbe answers the worker's open probe. If r has no list of running tasks, all confirmed
// runs that it does not list as ended are listed as running.
func (b *harness) answerProbe(id string, r WorkerReport) {
	b.t.Helper()
	for i, h := range b.probes {
		if h.Worker == id {
			b.probes = append(b.probes[:i:i], b.probes[i+1:]...)
			w := b.core.workers[id]
			if r.Running == nil {
				for run := range w.runs {
					if !listedAsEnded(r.Ended, run) && run.confirmed {
						r.Running = append(r.Running, RunningTask{Task: run.task.id.String(), Run: run.number, Percent: run.percent + 1})
					}
				}
			}
			b.core.ProbeAnswered(b.clock(), h, r)
			b.flush()
			return
		}
	}
	b.t.Fatalf("worker %s has no open probe", id)
}

// listedAsEnded reports whether r is among the ended runs.
func listedAsEnded(ended []EndedTask, r *run) bool {
	for _, e := range ended {
		if e.Task == r.task.id.String() && e.Run == r.number {
			return true
		}
	}
	return false
}

// single returns a job with one step.
func single(id string, priority, count int, need job.Resources) *job.Job {
	return &job.Job{ID: id, Org: "org", Service: "service", Priority: priority, Attempts: 3, Stretch: 3, Objective: time.Second,
		Steps: []job.Step{{Count: count, Need: need, Estimate: 5 * time.Second}}}
}

// gang returns a job with one step that is a gang.
func gang(id string, priority, count int, need job.Resources) *job.Job {
	j := single(id, priority, count, need)
	j.Steps[0].Gang = true
	return j
}

// add adds a job that is accepted now.
func (b *harness) add(j *job.Job) {
	j.AcceptedMs = b.now.Milliseconds()
	b.core.AddJob(b.clock(), j, nil)
	b.flush()
}
