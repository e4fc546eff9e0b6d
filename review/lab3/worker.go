package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Limits of the small site whose settings the cases use.
const (
	heartbeat = 1500 * time.Millisecond
	maxHold   = 10 * time.Second
	stopTime  = 150 * time.Millisecond
	startup   = 400 * time.Millisecond
)

type running struct {
	task      string
	run       int
	startedAt time.Time
	gpu       int64
	stopping  bool
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in of one worker, as PROTOCOL.md describes it. Its methods lock mu.
type worker struct {
	lab     *lab
	id      string
	address string
	server  *http.Server
	// onStop, if set, is called instead of carrying out a stop; it returns true if the worker has crashed.
	onStop func(task string, run int) bool

	mu sync.Mutex
	// cut is until when the worker is cut off: nothing reaches it, and no answer leaves it.
	cut       time.Time
	kind      string
	rack      string
	gpu       int64
	up        bool
	born      int64
	startedAt time.Time
	life      int
	sequence  int64
	epoch     int64
	leaseMs   int64
	lastEnd   int64
	// used is the GPUs in use.
	used    int64
	runs    map[string]*running
	highest map[string]int
	ends    []ended
	changed chan struct{}
}

func (l *lab) addWorker(id, kind, rack string, gpu int64) *worker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	l.must(err)
	w := &worker{lab: l, id: id, kind: kind, rack: rack, gpu: gpu, address: listener.Addr().String()}
	l.mu.Lock()
	l.workers = append(l.workers, w)
	l.mu.Unlock()
	w.begin(listener)
	go w.heartbeats()
	return w
}

// begin starts an incarnation that listens on the given listener.
func (w *worker) begin(listener net.Listener) {
	w.mu.Lock()
	w.up, w.startedAt, w.born = true, time.Now(), time.Now().UnixMilli()
	w.life++
	w.epoch, w.leaseMs, w.lastEnd, w.sequence = 0, 0, 0, 0
	w.used = 0
	w.runs, w.highest, w.ends, w.changed = map[string]*running{}, map[string]int{}, nil, make(chan struct{})
	w.mu.Unlock()
	w.server = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.lab.record("worker %s begins, kind %s", w.id, w.kind)
	w.report()
}

// crash ends the incarnation at once: connections break, and what ran is gone.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		w.lab.noteEnd(w, r, "crash of its worker")
	}
	w.runs, w.used = map[string]*running{}, 0
	server := w.server
	w.mu.Unlock()
	w.lab.record("worker %s crashes", w.id)
	_ = server.Close()
}

// restart begins another incarnation under the same id and address.
func (w *worker) restart(kind string) {
	for range 200 {
		listener, err := net.Listen("tcp", w.address)
		if err == nil {
			w.mu.Lock()
			w.kind = kind
			w.mu.Unlock()
			w.begin(listener)
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	w.lab.cannotRun("worker %s cannot listen again", w.id)
}

// leave ends the worker for good and removes its entry.
func (w *worker) leave() {
	w.crash()
	w.lab.store.put("keyed.servers", w.id, nil)
	w.lab.mu.Lock()
	defer w.lab.mu.Unlock()
	for i, o := range w.lab.workers {
		if o == w {
			w.lab.workers = append(w.lab.workers[:i:i], w.lab.workers[i+1:]...)
			return
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.startedAt).Milliseconds() + 1 }

// report writes the worker's entry.
func (w *worker) report() {
	w.mu.Lock()
	w.sequence++
	up := w.up && !w.isCut()
	entry := map[string]any{
		"service": service, "address": w.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": w.sequence, "born": w.born, "clock_ms": w.clock(), "labels": []string{w.kind, w.rack},
		"capacity": map[string]int64{"cpu": 64000, "mem_mb": 131072, "gpu": w.gpu},
	}
	w.mu.Unlock()
	if up {
		w.lab.store.put("keyed.servers", w.id, entry)
	}
}

// awaitReport returns just after the worker has written its entry.
func (w *worker) awaitReport() {
	w.mu.Lock()
	before := w.sequence
	w.mu.Unlock()
	for now := before; now == before; time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		now = w.sequence
		w.mu.Unlock()
	}
	time.Sleep(20 * time.Millisecond)
}

func (w *worker) heartbeats() {
	for {
		time.Sleep(heartbeat)
		w.report()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Epoch      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Ticket     string `json:"ticket"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		answer(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.mu.Lock()
	cut := w.isCut()
	w.mu.Unlock()
	if cut {
		w.silence(r)
		panic(http.ErrAbortHandler)
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	if r.URL.Path == "/v1/run-stop" && w.onStop != nil && w.onStop(o.Task, o.Run) {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	refuse := func(reason string) {
		answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born, "reason": reason})
	}
	if o.Epoch < w.epoch {
		refuse("fence")
		return
	}
	w.epoch = o.Epoch
	switch r.URL.Path {
	case "/v1/run-start":
		if reason := w.start(o); reason != "" {
			refuse(reason)
			return
		}
	case "/v1/run-stop":
		w.stop(o)
	case "/v1/pace":
	case "/v1/hold":
		w.hold(rw, r, o)
		return
	default:
		http.NotFound(rw, r)
		return
	}
	if w.isCut() {
		w.mu.Unlock()
		w.silence(r)
		w.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born})
}

func (w *worker) isCut() bool { return time.Now().Before(w.cut) }

// silence leaves a call without an answer until its caller has given up.
func (w *worker) silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-time.After(6 * time.Second):
	}
}

func (w *worker) extend(untilMs int64) {
	untilMs = min(untilMs, w.clock()+maxHold.Milliseconds())
	if untilMs <= w.leaseMs {
		return
	}
	w.leaseMs = untilMs
	life := w.life
	time.AfterFunc(time.Duration(untilMs-w.clock()+1)*time.Millisecond, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.life == life {
			w.expire()
		}
	})
}

func (w *worker) expire() {
	if w.up && w.clock() >= w.leaseMs {
		for _, r := range w.runs {
			w.end(r, "lapsed")
		}
	}
}

func (w *worker) end(r *running, how string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	w.used -= r.gpu
	w.highest[r.task] = max(w.highest[r.task], r.run)
	w.lastEnd++
	w.ends = append(w.ends, ended{w.lastEnd, r.task, r.run, how})
	w.lab.noteEnd(w, r, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) start(o order) string {
	if o.DeadlineMs <= w.clock() {
		return "late"
	}
	w.extend(o.DeadlineMs)
	if r := w.runs[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if w.runs[o.Task] != nil || o.Run <= w.highest[o.Task] {
		return "old"
	}
	if check := w.lab.checkTicket; check != nil && !check(w, o) {
		return "ticket"
	}
	r := &running{task: o.Task, run: o.Run, startedAt: time.Now(), gpu: w.lab.gpuOf(o.Task)}
	w.used += r.gpu
	w.runs[o.Task] = r
	w.lab.noteStart(w, r, o)
	if d, ok := w.lab.durationOf(o.Task); ok {
		life := w.life
		time.AfterFunc(d, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.expire()
			if w.up && w.life == life && !r.stopping {
				w.end(r, "done")
			}
		})
	}
	return ""
}

func (w *worker) stop(o order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	r := w.runs[o.Task]
	if r == nil || r.run > o.Run || r.stopping {
		return
	}
	r.stopping = true
	w.lab.record("worker %s is told to stop %s run %d", w.id, o.Task, o.Run)
	life := w.life
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.up && w.life == life {
			w.end(r, "stopped")
		}
	})
}

// hold answers with both lists; w.mu is held.
func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > o.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ends = kept
	life := w.life
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := true; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	if !w.up || w.life != life || w.isCut() {
		panic(http.ErrAbortHandler)
	}
	list, finished := [][]any{}, [][]any{}
	for _, run := range w.runs {
		percent := 0
		if d, ok := w.lab.durationOf(run.task); ok {
			percent = int(100 * time.Since(run.startedAt) / d)
		} else if time.Since(run.startedAt) >= startup {
			percent = 100
		}
		list = append(list, []any{run.task, run.run, "", min(percent, 100), 0})
	}
	for _, e := range w.ends {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born, "running": list, "finished": finished})
}

// stepOf returns the step's name of a task: all but the last part.
func stepOf(task string) string { return task[:strings.LastIndex(task, ".")] }

func (w *worker) String() string { return fmt.Sprintf("%s (kind %s)", w.id, w.kind) }
