package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Resources is an amount of processor (thousandths of a core), memory (MB) and accelerators.
type Resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

type runningTask struct {
	task     string
	run      int
	need     Resources
	started  time.Time
	stopping bool
	step     *Step
}

type endedTask struct {
	n    int64
	task string
	run  int
	how  string
}

// Worker is one worker of the service. Start begins a life of it, Crash ends it.
type Worker struct {
	lab      *Lab
	address  string
	zone     string
	rack     string
	capacity Resources

	mu sync.Mutex
	id string
	// kind is the worker's kind, the first of its labels.
	kind     string
	alive    bool
	draining bool
	// failsStarts makes everything that starts fail at once; the liveness check stays good.
	failsStarts bool
	born        time.Time
	sequence    int64
	epoch       int64
	leaseUntil  int64
	lastEnd     int64
	running     map[string]*runningTask
	closedRun   map[string]int
	ended       []endedTask
	changed     chan struct{}
	server      *http.Server
	life        int
	lastBeat    time.Time
}

// Start begins a new life: the worker listens, runs nothing, and writes its entry at once.
func (w *Worker) Start() {
	w.mu.Lock()
	w.born, w.alive, w.draining, w.sequence = time.Now(), true, false, 0
	w.epoch, w.leaseUntil, w.lastEnd, w.ended = 0, 0, 0, nil
	w.running, w.closedRun, w.changed = map[string]*runningTask{}, map[string]int{}, make(chan struct{})
	w.life++
	life := w.life
	w.server = &http.Server{Handler: w}
	server := w.server
	w.mu.Unlock()
	w.lab.release(w.address)
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		w.lab.cannotRun("worker listener: %v", err)
		return
	}
	go func() { _ = server.Serve(l) }() // ends with Crash
	w.lab.record("worker %s starts, kind %s, born %d", w.id, w.kind, w.born.UnixMilli())
	go w.beat(life)
	go w.keepTime(life)
}

// Crash ends the life of the worker and all that runs on it. Its entry stays until it has been silent
// for three heartbeats.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return
	}
	w.alive = false
	_ = w.server.Close() // connections break
	for _, r := range w.running {
		w.lab.audit.ended(w, r, "lost with its worker")
	}
	w.running = map[string]*runningTask{}
	w.lab.record("worker %s crashes", w.id)
}

// failStarts makes the worker fail all that it starts from now on, or stop to.
func (w *Worker) failStarts(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failsStarts = on
	w.lab.record("worker %s fails all that it starts: %t", w.id, on)
}

// failRunning makes all that runs on the worker fail.
func (w *Worker) failRunning() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.running {
		w.closeLater(r, failTime, "failed")
	}
}

// busy reports whether anything runs on the worker.
func (w *Worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running) > 0
}

// beat writes the worker's entry at each heartbeat while the life lasts. After three silent intervals the
// entry is removed.
func (w *Worker) beat(life int) {
	for {
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			return
		}
		id, alive := w.id, w.alive
		if !alive {
			silent := time.Since(w.lastBeat)
			w.mu.Unlock()
			if silent >= 3*heartbeat {
				w.lab.store.Put("keyed.servers", id, nil)
				w.lab.record("entry of worker %s expires", id)
				return
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		if time.Since(w.lastBeat) >= heartbeat || w.sequence == 0 {
			w.lastBeat = time.Now()
			w.sequence++
			state := "ready"
			if w.draining {
				state = "draining"
			}
			entry := map[string]any{
				"service": serviceName, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": state, "cold_remaining_ms": 0,
				"sequence": w.sequence, "born": w.born.UnixMilli(), "clock_ms": w.clock(), "capacity": w.capacity, "labels": []string{w.kind, w.rack},
			}
			value, _ := json.Marshal(entry) // strings and numbers always encode
			w.mu.Unlock()
			w.lab.store.Put("keyed.servers", id, value)
			continue
		}
		w.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
	}
}

// clock is the worker's steady clock in milliseconds. w.mu must be held.
func (w *Worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// keepTime ends runs that are done and, when the lease expires, all runs.
func (w *Worker) keepTime(life int) {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.life != life || !w.alive {
			w.mu.Unlock()
			return
		}
		for _, r := range w.running {
			switch {
			case w.clock() >= w.leaseUntil:
				w.end(r, "lapsed")
			case !r.stopping && !r.step.LongRunning && time.Since(r.started) >= r.step.duration:
				w.end(r, "done")
			}
		}
		w.mu.Unlock()
	}
}

// end lists the end of a run. w.mu must be held.
func (w *Worker) end(r *runningTask, how string) {
	if w.running[r.task] != r {
		return
	}
	delete(w.running, r.task)
	w.closedRun[r.task] = max(w.closedRun[r.task], r.run)
	w.lastEnd++
	w.ended = append(w.ended, endedTask{w.lastEnd, r.task, r.run, how})
	w.lab.audit.ended(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Epoch      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// ServeHTTP answers orders and looks.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		rw.WriteHeader(http.StatusOK) // the liveness check
		return
	}
	var o orderBody
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	if !w.alive {
		panic(http.ErrAbortHandler)
	}
	if o.Epoch < w.epoch {
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return
	}
	w.epoch = o.Epoch
	switch r.URL.Path {
	case "/v1/run-start":
		reason := w.start(o)
		if reason != "" {
			answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
			return
		}
	case "/v1/run-stop":
		w.stop(o)
	case "/v1/pace":
	case "/v1/hold":
		w.hold(rw, r, o)
		return
	default:
		answer(rw, http.StatusNotFound, map[string]any{})
		return
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock()})
}

// countStep returns how many other tasks of a task's step run on w. w.mu must be held.
func (w *Worker) countStep(task string) int {
	n := 0
	for name := range w.running {
		if name != task && strings.HasPrefix(name, task[:strings.LastIndex(task, ".")+1]) {
			n++
		}
	}
	return n
}

func (w *Worker) extend(deadline int64) {
	w.leaseUntil = max(w.leaseUntil, min(deadline, w.clock()+maxHold.Milliseconds()))
}

func (w *Worker) start(o orderBody) string {
	if o.DeadlineMs <= w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	if r := w.running[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= w.closedRun[o.Task] || w.running[o.Task] != nil {
		return "old"
	}
	step := w.lab.audit.started(w, o)
	if step == nil {
		return "old"
	}
	r := &runningTask{task: o.Task, run: o.Run, need: step.need(), started: time.Now(), step: step}
	w.running[o.Task] = r
	if w.failsStarts {
		w.closeLater(r, failTime, "failed")
	}
	return ""
}

// closeLater ends a run after a delay.
func (w *Worker) closeLater(r *runningTask, after time.Duration, how string) {
	life := w.life
	time.AfterFunc(after, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life && w.alive {
			w.end(r, how)
		}
	})
}

func (w *Worker) stop(o orderBody) {
	w.closedRun[o.Task] = max(w.closedRun[o.Task], o.Run)
	if r := w.running[o.Task]; r != nil && r.run <= o.Run && !r.stopping {
		r.stopping = true
		w.lab.audit.endsByOrder(w, r)
		w.closeLater(r, stopTime, "stopped")
	}
}

// hold answers a look. w.mu is held, and released while it waits for an end.
func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o orderBody) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	for len(w.ended) > 0 && w.ended[0].n <= o.LastSeen {
		w.ended = w.ended[1:]
	}
	life := w.life
	timeout := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := true; waiting && len(w.ended) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if w.life != life || !w.alive {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.running {
		percent := 100
		if !t.step.LongRunning {
			percent = int(min(99, 100*time.Since(t.started)/t.step.duration))
		} else if time.Since(t.started) < startupTime {
			percent = 0
		}
		running = append(running, []any{t.task, t.run, "", percent, 1})
	}
	for _, e := range w.ended {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"born": w.born.UnixMilli(), "clock_ms": w.clock(), "running": running, "finished": ended})
}

// jobOf returns the job ID in a task's name.
func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }
