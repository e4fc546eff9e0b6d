package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// fleet is the set of workers. One lock covers all of them, since the members of a gang depend on
// each other.
type fleet struct {
	mu      sync.Mutex
	world   *world
	workers []*worker
	gangs   map[string]*gangRun
	// starts and ends are what the workers did, in order.
	starts []startEvent
	ends   []endEvent
	// failAfter, if set, returns after how much work a run fails, or a negative duration.
	failAfter func(w *worker, e *execution) time.Duration
}

type startEvent struct {
	at     time.Time
	task   string
	run    int
	worker string
}

type endEvent struct {
	at     time.Time
	task   string
	run    int
	worker string
	how    string
	// notedAt is when last_seen reached the end; zero before. lapsed is set if the worker's lease
	// lapsed between the two: the end then never counts as taken note of.
	notedAt time.Time
	lapsed  bool
}

// worker is a stand-in of a worker as PROTOCOL.md describes it. It does not guard its capacity.
type worker struct {
	fleet   *fleet
	id      string
	address string
	zone    string
	labels  []string
	gpu     int
	// draining and gone are set while the worker leaves, and when it has left.
	draining, gone bool
	born           time.Time
	// cut is closed when the worker's links to the hosts work again; nil while they work.
	cut      chan struct{}
	epoch    int64
	leaseMs  int64
	lastEnd  int64
	running  map[string]*execution
	closed   map[string]int
	finished []int // indexes into fleet.ends
	numbers  map[int]int64
	changed  chan struct{}
}

type execution struct {
	worker *worker
	job    *jobSpec
	task   string
	step   int
	index  int
	run    int
	since  time.Time
	// work is how long the task works, and workSince when it began; zero while a gang is incomplete.
	work      time.Duration
	workSince time.Time
	stopping  bool
	ended     bool
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[int]*execution
	began   bool
	over    bool
}

const (
	maxHold     = 10 * time.Second
	stopTime    = 200 * time.Millisecond
	gangTimeout = 3 * time.Second
	heartbeat   = 1500 * time.Millisecond
	// drainTime is drain_ms.
	drainTime = 2 * time.Second
	// startupTime is how long a task that lasts needs until it is at work.
	startupTime = 300 * time.Millisecond
)

func (f *fleet) add(id, address, zone string, gpu int, labels ...string) *worker {
	w := &worker{fleet: f, id: id, address: address, zone: zone, labels: labels, gpu: gpu, born: time.Now(), running: map[string]*execution{}, closed: map[string]int{}, numbers: map[int]int64{}, changed: make(chan struct{})}
	f.workers = append(f.workers, w)
	return w
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() + 1 }

// entry returns what the worker writes about itself.
func (w *worker) entry(sequence int) []byte {
	fields := map[string]any{
		"service": serviceName, "address": w.address, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": sequence,
		"born": w.born.UnixMilli(), "clock_ms": w.clock(), "capacity": map[string]int{"cpu": 32000, "mem_mb": 65536, "gpu": w.gpu}, "labels": w.labels,
	}
	if w.draining {
		fields["state"], fields["remaining_ms"] = "draining", drainTime.Milliseconds()
	}
	data, err := json.Marshal(fields)
	if err != nil {
		panic(err)
	}
	return data
}

// leave empties the worker and takes it away: it reports that it drains, serves for drainTime and a
// little longer, and leaves.
func (w *worker) leave() {
	f := w.fleet
	f.mu.Lock()
	w.draining = true
	entry := w.entry(0)
	f.mu.Unlock()
	f.world.store.put("keyed.servers", w.id, entry)
	time.Sleep(drainTime + 300*time.Millisecond)
	f.mu.Lock()
	w.gone = true
	for _, task := range sortedKeys(w.running) {
		w.end(w.running[task], "lost with the worker")
	}
	f.mu.Unlock()
	f.world.store.put("keyed.servers", w.id, nil)
}

// setCut cuts the worker off from the hosts, silently, or ends the cut.
func (w *worker) setCut(on bool) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if on && w.cut == nil {
		w.cut = make(chan struct{})
	} else if !on && w.cut != nil {
		close(w.cut)
		w.cut = nil
	}
}

// passLink waits while the worker is cut off. It reports false if the caller has given up.
func (w *worker) passLink(r *http.Request) bool {
	for {
		w.fleet.mu.Lock()
		cut := w.cut
		w.fleet.mu.Unlock()
		if cut == nil {
			return r.Context().Err() == nil
		}
		select {
		case <-cut:
		case <-r.Context().Done():
			return false
		}
	}
}

type orderBody struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline_ms"`
	Epoch      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Checkpoint string `json:"last_checkpoint"`
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !w.passLink(r) {
		return
	}
	var o orderBody
	if json.Unmarshal(body, &o) != nil {
		answerJSON(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	w.fleet.mu.Lock()
	gone := w.gone
	w.fleet.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler) // nothing answers any more
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != w.id {
		answerJSON(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock()})
		return
	}
	w.fleet.mu.Lock()
	w.fleet.step()
	var status int
	var answer map[string]any
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/v1/run-start":
		status, answer = w.start(o)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/run-stop":
		status, answer = w.stop(o)
	case r.Method == http.MethodPost && r.URL.Path == "/v1/hold":
		w.fleet.mu.Unlock()
		w.hold(rw, r, o)
		return
	default:
		status, answer = http.StatusNotFound, map[string]any{}
	}
	answer["clock_ms"] = w.clock()
	w.fleet.mu.Unlock()
	if !w.passLink(r) {
		return
	}
	answerJSON(rw, status, answer)
}

func refusal(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

// extend extends the lease, to at most maxHold from now.
func (w *worker) extend(deadlineMs int64) {
	w.leaseMs = max(w.leaseMs, min(deadlineMs, w.clock()+maxHold.Milliseconds()))
}

func (w *worker) start(o orderBody) (int, map[string]any) {
	if o.Epoch < w.epoch {
		return refusal("fence")
	}
	w.epoch = o.Epoch
	if o.DeadlineMs <= w.clock() {
		return refusal("late")
	}
	w.extend(o.DeadlineMs)
	e := w.running[o.Task]
	switch {
	case e != nil && e.run == o.Run:
		return http.StatusOK, map[string]any{}
	case e != nil || o.Run <= w.closed[o.Task]:
		return refusal("old")
	}
	parts := strings.Split(o.Task, ".")
	if len(parts) != 4 {
		return http.StatusBadRequest, map[string]any{}
	}
	step, _ := strconv.Atoi(parts[2])
	index, _ := strconv.Atoi(parts[3])
	f := w.fleet
	j := f.world.jobOf(parts[0])
	f.starts = append(f.starts, startEvent{time.Now(), o.Task, o.Run, w.id})
	f.world.logf("worker %s starts %s run %d", w.id, o.Task, o.Run)
	if j == nil || j.Spec != o.Spec {
		f.world.violation("UNASKED", "worker %s is told to start %s, which no client sent", w.id, o.Task)
		return http.StatusOK, map[string]any{}
	}
	e = &execution{worker: w, job: j, task: o.Task, step: step, index: index, run: o.Run, since: time.Now(), work: j.work}
	w.running[o.Task] = e
	if !j.Steps[step].Gang {
		e.workSince = e.since
		return http.StatusOK, map[string]any{}
	}
	key := fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], step, o.Run)
	g := f.gangs[key]
	if g == nil {
		g = &gangRun{members: map[int]*execution{}}
		f.gangs[key] = g
	}
	g.members[index] = e
	if len(g.members) == j.Steps[step].Count && !g.over {
		g.began = true
		for _, m := range g.members {
			m.workSince = time.Now()
		}
	}
	return http.StatusOK, map[string]any{}
}

func (w *worker) stop(o orderBody) (int, map[string]any) {
	if o.Epoch < w.epoch {
		return refusal("fence")
	}
	w.epoch = o.Epoch
	w.closed[o.Task] = max(w.closed[o.Task], o.Run)
	if e := w.running[o.Task]; e != nil && e.run <= o.Run && !e.stopping {
		e.stopping = true
		time.AfterFunc(stopTime, func() {
			w.fleet.mu.Lock()
			defer w.fleet.mu.Unlock()
			w.end(e, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// end ends a run and lists its end. fleet.mu must be held.
func (w *worker) end(e *execution, how string) {
	if e.ended {
		return
	}
	e.ended = true
	delete(w.running, e.task)
	w.closed[e.task] = max(w.closed[e.task], e.run)
	w.lastEnd++
	n := len(w.fleet.ends)
	w.fleet.ends = append(w.fleet.ends, endEvent{at: time.Now(), task: e.task, run: e.run, worker: w.id, how: how})
	w.numbers[n] = w.lastEnd
	w.finished = append(w.finished, n)
	w.fleet.world.logf("worker %s ends %s run %d: %s", w.id, e.task, e.run, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if how == "done" || !e.job.Steps[e.step].Gang {
		return
	}
	for _, g := range w.fleet.gangs {
		if g.members[e.index] != e || g.over {
			continue
		}
		g.over = true
		for _, m := range g.members {
			m.worker.end(m, "broken")
		}
	}
}

// step ends what is due. fleet.mu must be held.
func (f *fleet) step() {
	now := time.Now()
	for _, w := range f.workers {
		expired := w.clock() >= w.leaseMs
		if expired {
			for _, i := range w.finished {
				f.ends[i].lapsed = true
			}
		}
		for _, task := range sortedKeys(w.running) {
			e := w.running[task]
			if e == nil {
				continue
			}
			worked := time.Duration(0)
			if !e.workSince.IsZero() {
				worked = now.Sub(e.workSince)
			}
			fail := time.Duration(-1)
			if f.failAfter != nil {
				fail = f.failAfter(w, e)
			}
			switch {
			case expired:
				w.end(e, "lapsed")
			case e.stopping:
			case e.workSince.IsZero() && now.Sub(e.since) >= gangTimeout:
				w.end(e, "alone")
			case fail >= 0 && !e.workSince.IsZero() && worked >= fail:
				w.end(e, "failed")
			case !e.job.Steps[e.step].LongRunning && !e.workSince.IsZero() && worked >= e.work:
				f.finish(e)
			}
		}
	}
}

// finish ends a run, or all of a gang's run, as done.
func (f *fleet) finish(e *execution) {
	if !e.job.Steps[e.step].Gang {
		e.worker.end(e, "done")
		return
	}
	for _, g := range f.gangs {
		if g.members[e.index] == e && !g.over {
			g.over = true
			for _, m := range g.members {
				m.worker.end(m, "done")
			}
		}
	}
}

// percent is the progress of a run, in whole percent.
func (e *execution) percent() int {
	if e.workSince.IsZero() {
		return 0
	}
	worked := time.Since(e.workSince)
	if e.job.Steps[e.step].LongRunning {
		return int(min(100, 100*worked/startupTime))
	}
	return int(math.Min(99, 100*worked.Seconds()/e.work.Seconds()))
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request, o orderBody) {
	f := w.fleet
	f.mu.Lock()
	if o.Epoch < w.epoch {
		clock := w.clock()
		f.mu.Unlock()
		answerJSON(rw, http.StatusConflict, map[string]any{"reason": "fence", "clock_ms": clock})
		return
	}
	w.epoch = o.Epoch
	if o.DeadlineMs > 0 {
		w.extend(o.DeadlineMs)
	}
	w.finished = slices.DeleteFunc(w.finished, func(i int) bool {
		if w.numbers[i] > o.LastSeen {
			return false
		}
		f.ends[i].notedAt = time.Now()
		return true
	})
	deadline := time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(w.finished) == 0; {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, task := range sortedKeys(w.running) {
		e := w.running[task]
		running = append(running, []any{task, e.run, "", e.percent(), 1.0})
	}
	for _, i := range w.finished[:min(len(w.finished), 500)] {
		finished = append(finished, []any{w.numbers[i], f.ends[i].task, f.ends[i].run, f.ends[i].how, ""})
	}
	body := map[string]any{"born": w.born.UnixMilli(), "clock_ms": w.clock(), "running": running, "finished": finished}
	f.mu.Unlock()
	if !w.passLink(r) {
		return
	}
	answerJSON(rw, http.StatusOK, body)
}

func sortedKeys(m map[string]*execution) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
