package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"agatewinch/internal/core/job"
)

// harness drives a Core without workers: it collects the calls that the core returns, and tests
// answer them.
type harness struct {
	t              *testing.T
	core           *Core
	now            time.Duration
	starts         []Start
	stops          []Stop
	probes         []Probe
	adviceRequests []AdviceRequest
	paces          []Pace
	// upkeeps and reports are the calls for upkeep waves.
	upkeeps []Upkeep
	reports []WaveReport
	notes   []Note
	// losses and interruptions are what the core has reported of interrupted runs.
	losses        []Loss
	interruptions []int
	// waves is the recorded progress of the waves.
	waves map[int64]WaveProgress
	// records holds the newest record of each task.
	records map[string]job.TaskRecord
	// endCounts holds the number of ended runs of each worker.
	endCounts map[string]int64
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, endCounts: map[string]int64{}, records: map[string]job.TaskRecord{}, waves: map[int64]WaveProgress{}}
	h.core = New(h.clock(), Settings{LeaseTTL: 8 * time.Second, MaxLeaseTTL: 10 * time.Second, ProbeWait: 2 * time.Second, FormerRenewalTime: 5 * time.Second, FormerLeaseTime: 7500 * time.Millisecond, SpreadFactor: 3, MaxStopTime: 200 * time.Millisecond, HeartbeatInterval: 1500 * time.Millisecond})
	return h
}

func (h *harness) clock() Now { return Now{Mono: h.now, UnixMs: h.now.Milliseconds()} }

// fleet returns n workers of the given capacity in racks of six.
func (h *harness) fleet(n int, capacity job.Resources) []WorkerInfo {
	var list []WorkerInfo
	for i := range n {
		list = append(list, WorkerInfo{
			ID: fmt.Sprintf("w%d", i), Address: fmt.Sprintf("192.0.2.%d:1", i), Service: "service", Rack: fmt.Sprintf("r%d", i/6),
			Labels: []string{"a"}, Capacity: capacity, Incarnation: 1, ClockMs: h.now.Milliseconds() + 1,
		})
	}
	return list
}

// flush collects the core's calls and records its batches, until none is left.
func (h *harness) flush() {
	for {
		a := h.core.TakeActions(h.clock())
		h.starts = append(h.starts, a.Starts...)
		h.stops = append(h.stops, a.Stops...)
		h.probes = append(h.probes, a.Probes...)
		h.upkeeps = append(h.upkeeps, a.Upkeeps...)
		h.reports = append(h.reports, a.WaveReports...)
		h.paces = append(h.paces, a.Paces...)
		h.adviceRequests = append(h.adviceRequests, a.AdviceRequests...)
		h.notes = append(h.notes, a.Notes...)
		h.losses = append(h.losses, a.Losses...)
		h.interruptions = append(h.interruptions, a.Interruptions...)
		batch := h.core.TakeBatch()
		if batch == nil {
			return
		}
		for _, t := range batch.Tasks {
			h.records[t.ID.String()] = t.Record
		}
		for _, p := range batch.Waves {
			h.waves[p.Wave] = p
		}
		h.core.Recorded(h.clock(), batch)
	}
}

// advance advances the time in steps of at most 250 ms, with a tick after each.
func (h *harness) advance(d time.Duration) {
	for end := h.now + d; h.now < end; {
		h.now = min(end, h.now+250*time.Millisecond)
		h.core.Tick(h.clock())
		h.flush()
	}
}

// accept accepts all collected starts and returns them.
func (h *harness) accept() []Start {
	started := h.starts
	h.starts = nil
	for _, s := range started {
		h.core.StartAnswered(h.clock(), s, Accepted)
	}
	h.flush()
	return started
}

// startUnanswered adds a job with one task and reports its start as unanswered.
func (h *harness) startUnanswered(priority int) Start {
	h.add(single("j", priority, 1, one))
	start := h.starts[0]
	h.starts = nil
	h.core.StartAnswered(h.clock(), start, Unanswered)
	h.flush()
	return start
}

// endRun answers the worker's open probe with the end of a run.
func (h *harness) endRun(s Start, end job.End) {
	h.endCounts[s.Worker]++
	h.answerProbe(s.Worker, WorkerReport{Incarnation: s.Incarnation, ClockMs: h.now.Milliseconds() + 1, Ended: []EndedRun{{Number: h.endCounts[s.Worker], Task: s.Task.String(), Run: s.Run, End: end}}})
}

// answerProbe answers the worker's open probe. If r has no list of running tasks, all confirmed
// runs that it does not list as ended are listed as running.
func (h *harness) answerProbe(id string, r WorkerReport) {
	h.t.Helper()
	for i, p := range h.probes {
		if p.Worker == id {
			h.probes = append(h.probes[:i:i], h.probes[i+1:]...)
			w := h.core.workers[id]
			if r.Running == nil {
				for run := range w.runs {
					if !listedAsEnded(r.Ended, run) && run.confirmed {
						r.Running = append(r.Running, RunInProgress{Task: run.task.id.String(), Run: run.number, Percent: run.percent + 1})
					}
				}
			}
			h.core.ProbeAnswered(h.clock(), p, r)
			h.flush()
			return
		}
	}
	h.t.Fatalf("worker %s has no open probe", id)
}

// failProbe reports an open probe as not accepted.
func (h *harness) failProbe(p Probe, o Outcome) {
	h.probes = slices.DeleteFunc(h.probes, func(q Probe) bool { return q.Worker == p.Worker })
	h.core.ProbeFailed(h.clock(), p, o)
	h.flush()
}

// listedAsEnded reports whether r is among the ended runs.
func listedAsEnded(ended []EndedRun, r *run) bool {
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
func (h *harness) add(j *job.Job) {
	j.AcceptedMs = h.now.Milliseconds()
	h.core.AddJob(h.clock(), j, nil)
	h.flush()
}
