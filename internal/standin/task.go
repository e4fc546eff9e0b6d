package standin

import (
	"fmt"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// throttledSpeed is the part of its speed at which a throttled task goes on.
const throttledSpeed = 0.5

// heldTask is a reservation or a running task.
type heldTask struct {
	platform.HeldTask
	behaviour Behaviour
	holder    platform.Holder
	timer     *time.Timer
	// need is the work still to do at stretchAt, in time at full speed.
	need      time.Duration
	total     time.Duration
	speed     float64
	stretchAt time.Time
	startedAt time.Time
	usageAt   time.Time
}

// done is the work done up to now, in time at full speed.
func (t *heldTask) done(now time.Time) time.Duration {
	worked := time.Duration(float64(now.Sub(t.stretchAt)) * t.speed)
	return min(t.total, t.total-t.need+worked)
}

// ran is the time since the task's latest start.
func (t *heldTask) ran(now time.Time) time.Duration { return now.Sub(t.startedAt) }

// checkpoints keep the progress of preempted tasks, on storage that outlives workers.
type checkpoints struct {
	mu   sync.Mutex
	done map[checkpointKey]time.Duration
}

type checkpointKey struct {
	job   core.JobID
	index int
}

func newCheckpoints() *checkpoints { return &checkpoints{done: map[checkpointKey]time.Duration{}} }

func (c *checkpoints) save(ref core.TaskRef, done time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[checkpointKey{ref.Job, ref.Index}] = done
}

// take returns a task's progress and whether there is a checkpoint.
func (c *checkpoints) take(ref core.TaskRef) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := checkpointKey{ref.Job, ref.Index}
	done, ok := c.done[key]
	delete(c.done, key)
	return done, ok
}

func (w *worker) reserve(h platform.Holder, op platform.Op) platform.OpResult {
	if op.Job == nil || w.refused.has(op.Task) {
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
	if w.faults.Leaving {
		return platform.OpResult{Reason: core.RefusedLeaving}
	}
	if _, ok := w.tasks[op.Task]; ok {
		return platform.OpResult{OK: true}
	}
	if !w.fits(op) {
		return platform.OpResult{Reason: core.RefusedBusy}
	}
	t := &heldTask{HeldTask: platform.HeldTask{Task: op.Task, Cell: op.Cell, Job: *op.Job}, holder: h}
	t.timer = time.AfterFunc(op.TTL, func() { w.expireReservation(t) })
	w.tasks[op.Task] = t
	return platform.OpResult{OK: true}
}

func (w *worker) fits(op platform.Op) bool {
	cpu, memory := op.Job.Shape.CPU, op.Job.Shape.MemoryBytes
	for _, t := range w.tasks {
		if t.Cell&op.Cell != 0 {
			return false
		}
		cpu += t.Job.Shape.CPU
		memory += t.Job.Shape.MemoryBytes
	}
	return len(w.tasks) < w.def.Slots && cpu <= w.def.CPU && memory <= w.def.MemoryBytes
}

func (w *worker) expireReservation(t *heldTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.tasks[t.Task] != t || t.Started {
		return
	}
	w.drop(t, EntryLapsed)
	w.report(platform.TaskReport{Kind: platform.ReportLapsed, Task: t.Task})
}

// start runs a reserved task; with Resume it goes on from the job's checkpoint.
func (w *worker) start(h platform.Holder, op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	if !ok {
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
	if t.Started {
		return platform.OpResult{OK: true}
	}
	t.timer.Stop()
	t.holder = h
	t.behaviour = behaviour(t.Job.Payload)
	t.total = time.Duration(t.behaviour.RunSeconds * float64(time.Second))
	if t.total == 0 {
		t.total = t.Job.Declared
	}
	kind := EntryStarted
	t.need = t.total
	if done, found := w.checkpoints.take(t.Task); op.Resume && found {
		kind = EntryResumed
		t.need -= done
	}
	if w.faults.FailAll && w.faults.FailAfter > 0 {
		t.need = min(t.need, w.faults.FailAfter)
	}
	now := time.Now()
	t.Started, t.startedAt, t.usageAt = true, now, now
	w.run(t, now, 1)
	w.ledger.task(kind, w.def.ID, t, false, "")
	return platform.OpResult{OK: true}
}

// run sets the timer of a task's end at a speed.
func (w *worker) run(t *heldTask, now time.Time, speed float64) {
	t.stretchAt, t.speed = now, speed
	t.timer = time.AfterFunc(time.Duration(float64(t.need)/speed), func() { w.finish(t, now) })
}

// finish ends a task whose time is up, unless its speed changed since stretch.
func (w *worker) finish(t *heldTask, stretch time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.tasks[t.Task] != t || t.stretchAt != stretch {
		return
	}
	delete(w.tasks, t.Task)
	w.refused.add(t.Task)
	ok := !t.behaviour.Fail && !w.faults.FailAll
	out := t.behaviour.Output
	if out == "" {
		out = fmt.Sprintf("%s ran on %s", t.Task.Job, w.def.ID)
	}
	w.ledger.task(EntryEnded, w.def.ID, t, ok, out)
	w.report(platform.TaskReport{Kind: platform.ReportEnded, Task: t.Task, OK: ok, Output: []byte(out), Ran: t.ran(now), Started: true})
}

// drop ends a task or reservation for good.
func (w *worker) drop(t *heldTask, kind EntryKind) {
	t.timer.Stop()
	delete(w.tasks, t.Task)
	w.refused.add(t.Task)
	if t.Started {
		w.ledger.task(kind, w.def.ID, t, false, "")
	}
}

// stop ends a task or reservation; afterwards it can never start, even when it was
// not known before.
func (w *worker) stop(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	w.refused.add(op.Task)
	if !ok {
		return platform.OpResult{OK: true}
	}
	var lost time.Duration
	if t.Started {
		lost = t.done(time.Now())
	}
	w.drop(t, EntryStopped)
	return platform.OpResult{OK: true, Lost: lost}
}

// preempt keeps a task's progress and ends it. The worker's lock is free while the
// checkpoint is written, and the task goes on; what it does after the checkpoint's
// beginning is lost.
func (w *worker) preempt(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	if !ok || !t.Started || t.behaviour.NoCheckpoint {
		return w.stop(op)
	}
	done := t.done(time.Now())
	if pause := w.faults.CheckpointTime; pause > 0 {
		w.mu.Unlock()
		time.Sleep(pause)
		w.mu.Lock()
	}
	if w.tasks[op.Task] != t {
		return platform.OpResult{OK: true}
	}
	w.checkpoints.save(t.Task, done)
	lost := t.done(time.Now()) - done
	w.drop(t, EntryCheckpointed)
	return platform.OpResult{OK: true, Checkpointed: true, Lost: lost}
}

// throttle slows a running task down until its end.
func (w *worker) throttle(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	if !ok || !t.Started {
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
	if t.speed == throttledSpeed {
		return platform.OpResult{OK: true}
	}
	now := time.Now()
	t.timer.Stop()
	t.need = t.total - t.done(now)
	w.run(t, now, throttledSpeed)
	return platform.OpResult{OK: true}
}
