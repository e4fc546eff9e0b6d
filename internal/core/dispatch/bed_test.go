package dispatch

import (
	"fmt"
	"testing"
	"time"

	"agatewinch/internal/core/job"
)

// bed drives a Core by hand and collects the calls that it wants to send; there are no workers.
type bed struct {
	t      *testing.T
	core   *Core
	now    time.Duration
	starts []Start
	stops  []Stop
	holds  []Hold
	asks   []Ask
	paces  []Pace
	// upkeeps and reports are the calls of upkeep waves.
	upkeeps []Upkeep
	reports []WaveReport
	notes   []Note
	// ends holds the number of ended runs of each worker.
	ends map[string]int64
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, ends: map[string]int64{}}
	b.core = New(b.clock(), Settings{Lease: 8 * time.Second, MaxLease: 10 * time.Second, HoldWait: 2 * time.Second, UnheardLease: 5 * time.Second, SpreadFactor: 3, StopTime: 200 * time.Millisecond, Beat: 1500 * time.Millisecond})
	return b
}

func (b *bed) clock() Now { return Now{Mono: b.now, UnixMs: b.now.Milliseconds()} }

// fleet returns n workers of the given capacity in racks of six.
func (b *bed) fleet(n int, capacity job.Resources) []WorkerInfo {
	var list []WorkerInfo
	for i := range n {
		list = append(list, WorkerInfo{
			ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("192.0.2.%d:1", i), Service: "service", Rack: fmt.Sprintf("r%d", i/6),
			Labels: []string{"a"}, Capacity: capacity, Born: 1, ClockMs: b.now.Milliseconds() + 1,
		})
	}
	return list
}

// step collects the core's calls and records its batches, until none is left.
func (b *bed) step() {
	for {
		a := b.core.TakeActions(b.clock())
		b.starts = append(b.starts, a.Starts...)
		b.stops = append(b.stops, a.Stops...)
		b.holds = append(b.holds, a.Holds...)
		b.upkeeps = append(b.upkeeps, a.Upkeeps...)
		b.reports = append(b.reports, a.Reports...)
		b.paces = append(b.paces, a.Paces...)
		b.asks = append(b.asks, a.Asks...)
		b.notes = append(b.notes, a.Notes...)
		batch := b.core.TakeBatch()
		if batch == nil {
			return
		}
		b.core.Recorded(b.clock(), batch)
	}
}

// pass advances the time in steps of at most 250 ms, with a tick at each.
func (b *bed) pass(d time.Duration) {
	for end := b.now + d; b.now < end; {
		b.now = min(end, b.now+250*time.Millisecond)
		b.core.Tick(b.clock())
		b.step()
	}
}

// accept accepts all collected starts and returns them.
func (b *bed) accept() []Start {
	started := b.starts
	b.starts = nil
	for _, s := range started {
		b.core.Started(b.clock(), s, Accepted)
	}
	b.step()
	return started
}

// loseStart adds a job of one task and loses the answer to its start.
func (b *bed) loseStart(priority int) Start {
	b.add(single("j", priority, 1, one))
	start := b.starts[0]
	b.starts = nil
	b.core.Started(b.clock(), start, Unanswered)
	b.step()
	return start
}

// end answers the worker's open probe with the end of a run.
func (b *bed) end(s Start, how job.End) {
	b.ends[s.Worker]++
	b.report(s.Worker, Report{Born: s.Born, ClockMs: b.now.Milliseconds() + 1, Ended: []EndedTask{{Number: b.ends[s.Worker], Task: s.Task.String(), Run: s.Run, How: how}}})
}

// report answers the worker's open probe. If r has no list of running tasks, all confirmed runs
// that it does not list as ended are listed as running.
func (b *bed) report(id string, r Report) {
	b.t.Helper()
	for i, h := range b.holds {
		if h.Worker == id {
			b.holds = append(b.holds[:i:i], b.holds[i+1:]...)
			w := b.core.workers[id]
			if r.Running == nil {
				for run := range w.runs {
					if !listedAsEnded(r.Ended, run) && run.seen {
						r.Running = append(r.Running, RunningTask{Task: run.task.id.String(), Run: run.number, Percent: run.percent + 1})
					}
				}
			}
			b.core.Held(b.clock(), h, r)
			b.step()
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
func (b *bed) add(j *job.Job) {
	j.AcceptedMs = b.now.Milliseconds()
	b.core.AddJob(b.clock(), j, nil)
	b.step()
}
