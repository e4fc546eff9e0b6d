package standin

import (
	"fmt"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// throttledSpeed is the speed of a throttled task, as a fraction of full speed.
const throttledSpeed = 0.5

// heldTask is a reservation, a member of a gang that waits for the others, or a running task.
type heldTask struct {
	platform.HeldTask
	worker    *worker
	behaviour Behaviour
	holder    platform.Holder
	timer     *time.Timer
	// begun is set once the task runs. A started member of a gang begins only when all members
	// have started.
	begun bool
	// startKind is the kind of the ledger entry of the start.
	startKind EntryKind
	// remaining is the work left at speedSince, when the current speed was set, as
	// time at full speed. total is the task's whole work.
	remaining  time.Duration
	total      time.Duration
	speed      float64
	speedSince time.Time
	startedAt  time.Time
	usageAt    time.Time
}

// workDone returns the work done up to now, as time at full speed.
func (t *heldTask) workDone(now time.Time) time.Duration {
	worked := time.Duration(float64(now.Sub(t.speedSince)) * t.speed)
	return min(t.total, t.total-t.remaining+worked)
}

// ran returns the time since the task's latest start.
func (t *heldTask) ran(now time.Time) time.Duration { return now.Sub(t.startedAt) }

// checkpoints stores the progress of preempted tasks. It models storage that outlives the
// workers: all of them share it, and it is kept when they restart.
type checkpoints struct {
	mu       sync.Mutex
	progress map[checkpointKey]time.Duration
}

type checkpointKey struct {
	job   core.JobID
	index int
}

func newCheckpoints() *checkpoints { return &checkpoints{progress: map[checkpointKey]time.Duration{}} }

func (c *checkpoints) save(ref core.TaskRef, done time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.progress[checkpointKey{ref.Job, ref.Index}] = done
}

// take removes a task's checkpoint and returns its progress; false means that there was
// none.
func (c *checkpoints) take(ref core.TaskRef) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := checkpointKey{ref.Job, ref.Index}
	done, ok := c.progress[key]
	delete(c.progress, key)
	return done, ok
}

func (w *worker) reserve(h platform.Holder, op platform.Op) platform.OpResult {
	if op.Job == nil || w.tombstones.has(op.Task) {
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
	t := &heldTask{HeldTask: platform.HeldTask{Task: op.Task, Cell: op.Cell, Job: *op.Job}, worker: w, holder: h}
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
	w.drop(t, EntryLeaseExpired)
	w.report(platform.TaskReport{Kind: platform.ReportExpired, Task: t.Task})
}

// start runs a reserved task, or holds it until all members of its gang have started. With Resume it
// continues from the task's checkpoint, if there is one; without Resume the checkpoint is
// discarded.
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
	t.behaviour = parseBehaviour(t.Job.Payload)
	t.total = time.Duration(t.behaviour.RunSeconds * float64(time.Second))
	if t.total == 0 {
		t.total = t.Job.Declared
	}
	t.startKind = EntryStarted
	t.remaining = t.total
	if done, found := w.checkpoints.take(t.Task); op.Resume && found {
		t.startKind = EntryResumed
		t.remaining -= done
	}
	if w.faults.FailAll && w.faults.FailAfter > 0 {
		t.remaining = min(t.remaining, w.faults.FailAfter)
	}
	t.Started = true
	if op.Members <= 1 {
		w.begin(t, time.Now())
	} else if gang := w.rendezvous.join(t, op.Members); gang != nil {
		go beginGang(gang) // takes the locks of all workers of the gang
	}
	return platform.OpResult{OK: true}
}

// begin lets a started task run.
func (w *worker) begin(t *heldTask, now time.Time) {
	t.begun, t.startedAt, t.usageAt = true, now, now
	w.setSpeed(t, now, 1)
	w.ledger.addTask(t.startKind, w.def.ID, t, false, "")
}

// setSpeed sets a task's speed and the timer of its end.
func (w *worker) setSpeed(t *heldTask, now time.Time, speed float64) {
	t.speedSince, t.speed = now, speed
	t.timer = time.AfterFunc(time.Duration(float64(t.remaining)/speed), func() { w.finish(t, now) })
}

// finish ends a task whose work is done. It does nothing if the speed was changed after
// speedSince, because that started a new timer.
func (w *worker) finish(t *heldTask, speedSince time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.tasks[t.Task] != t || t.speedSince != speedSince {
		return
	}
	delete(w.tasks, t.Task)
	w.tombstones.add(t.Task)
	ok := !t.behaviour.Fail && !w.faults.FailAll
	out := t.behaviour.Output
	if out == "" {
		out = fmt.Sprintf("%s ran on %s", t.Task.Job, w.def.ID)
	}
	w.ledger.addTask(EntryEnded, w.def.ID, t, ok, out)
	w.report(platform.TaskReport{Kind: platform.ReportEnded, Task: t.Task, OK: ok, Output: []byte(out), Ran: t.ran(now), Started: true})
}

// drop ends a task or reservation; afterwards the task can never start.
func (w *worker) drop(t *heldTask, kind EntryKind) {
	t.timer.Stop()
	delete(w.tasks, t.Task)
	w.tombstones.add(t.Task)
	if t.begun {
		w.ledger.addTask(kind, w.def.ID, t, false, "")
		return
	}
	w.rendezvous.leave(t)
}

// stop ends a task or reservation. Afterwards the task can never start, even if the worker
// did not know it.
func (w *worker) stop(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	w.tombstones.add(op.Task)
	if !ok {
		return platform.OpResult{OK: true}
	}
	var lost time.Duration
	if t.begun {
		lost = t.workDone(time.Now())
	}
	w.drop(t, EntryStopped)
	return platform.OpResult{OK: true, Lost: lost}
}

// preempt saves a task's progress and ends the task; one that cannot be checkpointed is
// stopped. While the checkpoint is written the worker's lock is released and the task
// continues, but the work done since the beginning of the checkpoint is lost.
func (w *worker) preempt(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	if !ok || !t.Started || t.behaviour.NoCheckpoint {
		return w.stop(op)
	}
	done := t.workDone(time.Now())
	if duration := w.faults.CheckpointTime; duration > 0 {
		w.mu.Unlock()
		time.Sleep(duration)
		w.mu.Lock()
	}
	if w.tasks[op.Task] != t {
		return platform.OpResult{OK: true}
	}
	w.checkpoints.save(t.Task, done)
	lost := t.workDone(time.Now()) - done
	w.drop(t, EntryCheckpointed)
	return platform.OpResult{OK: true, Checkpointed: true, Lost: lost}
}

// throttle slows a running task down for the rest of its run.
func (w *worker) throttle(op platform.Op) platform.OpResult {
	t, ok := w.tasks[op.Task]
	if !ok || !t.begun {
		return platform.OpResult{Reason: core.RefusedUnknown}
	}
	if t.speed == throttledSpeed {
		return platform.OpResult{OK: true}
	}
	now := time.Now()
	t.timer.Stop()
	t.remaining = t.total - t.workDone(now)
	w.setSpeed(t, now, throttledSpeed)
	return platform.OpResult{OK: true}
}
