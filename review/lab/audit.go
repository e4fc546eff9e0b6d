package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Step is a step of a job as a client sends it.
type Step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimatedMs  int64  `json:"estimated_ms,omitempty"`
	Requirements string `json:"requirements,omitempty"`
	LongRunning  bool   `json:"long_running,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`

	duration time.Duration
}

func (s *Step) need() Resources { return Resources{s.CPU, s.MemMB, s.GPU} }

// Job is a job as a client sends it.
type Job struct {
	ID    string `json:"-"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
}

// taskState is what the workers have seen of one task.
type taskState struct {
	step    *Step
	running int
	// idleSince is when the last run ended or, before the first one, when the job was acknowledged.
	idleSince time.Time
	// startedAt is when the last run began; byOrder is set if it was ended by an order of the system, and not by the
	// job's cancelling.
	startedAt time.Time
	byOrder   bool
	done      bool
}

// Audit checks what workers and clients see against the rules.
type Audit struct {
	lab *Lab

	mu     sync.Mutex
	jobs   map[string]*Job
	tasks  map[string]*taskState
	broken []string
}

func newAudit(lab *Lab) *Audit {
	return &Audit{lab: lab, jobs: map[string]*Job{}, tasks: map[string]*taskState{}}
}

// sent notes a job that a client is about to send.
func (a *Audit) sent(j *Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs[j.ID] = j
}

// accepted notes that a job was acknowledged.
func (a *Audit) accepted(j *Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for s := range j.Steps {
		for i := range j.Steps[s].Count {
			name := fmt.Sprintf("%s.0.%d.%d", j.ID, s, i)
			if a.tasks[name] == nil {
				a.tasks[name] = &taskState{step: &j.Steps[s], idleSince: time.Now()}
			}
		}
	}
}

// breaks records a broken rule. a.mu must be held.
func (a *Audit) breaks(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	a.broken = append(a.broken, text)
	a.lab.record("BROKEN %s", text)
}

// Breaks records a broken rule.
func (a *Audit) Breaks(rule, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.breaks(rule, format, args...)
}

// Broken returns the broken rules.
func (a *Audit) Broken() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.broken...)
}

// started checks a start on w, whose mutex is held. It returns the step, or nil if nobody sent the job.
func (a *Audit) started(w *Worker, o orderBody) *Step {
	a.mu.Lock()
	defer a.mu.Unlock()
	j := a.jobs[jobOf(o.Task)]
	parts := strings.Split(o.Task, ".")
	if j == nil || len(parts) != 4 || o.Spec != j.Spec {
		a.breaks("UNASKED", "worker %s is told to start %s, which no client sent", w.id, o.Task)
		return nil
	}
	s, err := strconv.Atoi(parts[2])
	if err != nil || s >= len(j.Steps) {
		a.breaks("UNASKED", "worker %s is told to start %s, which no client sent", w.id, o.Task)
		return nil
	}
	step := &j.Steps[s]
	a.lab.record("start %s run %d on %s (kind %s, life %d), epoch %d", o.Task, o.Run, w.id, w.kind, w.life, o.Epoch)
	if step.Requirements != "" && step.Requirements != w.kind && step.Requirements != w.rack {
		a.breaks("ROUTE", "%s requires the label %s and is started on worker %s, whose labels are %s and %s", o.Task, step.Requirements, w.id, w.kind, w.rack)
	}
	used := step.need()
	for _, r := range w.running {
		used = Resources{used.CPU + r.need.CPU, used.MemMB + r.need.MemMB, used.GPU + r.need.GPU}
	}
	if used.CPU > w.capacity.CPU || used.MemMB > w.capacity.MemMB || used.GPU > w.capacity.GPU {
		a.breaks("LIMIT", "%s brings worker %s over its capacity", o.Task, w.id)
	}
	t := a.tasks[o.Task]
	if t == nil { // started before its job was acknowledged
		t = &taskState{step: step, idleSince: time.Now()}
		a.tasks[o.Task] = t
	}
	if t.running > 0 {
		a.breaks("TWICE", "%s run %d starts on worker %s while another run goes on", o.Task, o.Run, w.id)
	}
	t.running++
	t.startedAt, t.byOrder = time.Now(), false
	if n := w.countStep(o.Task); step.AntiAffinity > 0 && n >= step.AntiAffinity {
		a.breaks("ROUTE", "%s is started on worker %s beside %d tasks of its step", o.Task, w.id, n)
	}
	return step
}

// ended notes the end of a run.
func (a *Audit) ended(w *Worker, r *runningTask, how string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lab.record("end %s run %d on %s: %s", r.task, r.run, w.id, how)
	if t := a.tasks[r.task]; t != nil {
		t.running--
		t.idleSince = time.Now()
		t.done = t.done || how == "done"
	}
}

// idleFor returns the names of the tasks that have had nothing running for at least d, and are not done.
func (a *Audit) idleFor(d time.Duration) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []string
	for name, t := range a.tasks {
		if t.running == 0 && !t.done && time.Since(t.idleSince) >= d {
			out = append(out, name)
		}
	}
	return out
}

// runningTasks returns the number of tasks that run.
func (a *Audit) runningTasks() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, t := range a.tasks {
		if t.running > 0 {
			n++
		}
	}
	return n
}

// atWork reports whether a task that lasts has finished its startup.
func (t *taskState) atWork() bool { return t.running > 0 && time.Since(t.startedAt) >= startupTime }

// away reports whether a task counts as away for AVAIL.
func (t *taskState) away() bool {
	if t.atWork() {
		return false
	}
	return t.byOrder || t.running == 0 && time.Since(t.idleSince) >= notice
}

// endsByOrder checks an order that ends a run on w, a sound worker: a stop or an upkeep.
func (a *Audit) endsByOrder(w *Worker, r *runningTask) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.tasks[r.task]
	a.lab.record("%s run %d on %s is ended by an order", r.task, r.run, w.id)
	if r.step.MayMiss > 0 && t.atWork() {
		step := r.task[:strings.LastIndex(r.task, ".")+1]
		away := []string{}
		for name, o := range a.tasks {
			if o != t && strings.HasPrefix(name, step) && o.away() {
				away = append(away, name)
			}
		}
		if len(away) >= r.step.MayMiss {
			a.breaks("AVAIL", "%s is at work on worker %s and is ended while %v are away, with may_miss %d", r.task, w.id, away, r.step.MayMiss)
		}
	}
	t.byOrder = true
}
