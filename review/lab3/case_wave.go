package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["wave"] = waveCase }

type machine struct {
	id, state string
	worker    *worker
	epoch     int64
	done      map[int64]bool
}

// cloud is a stand-in of the service that lists machines and does their upkeep.
type cloud struct {
	lab      *lab
	mu       sync.Mutex
	machines []*machine
	number   int
}

func (c *cloud) add(id string, w *worker) {
	c.machines = append(c.machines, &machine{id: id, state: "up", worker: w, done: map[int64]bool{}})
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.URL.Path {
	case "/v1/machines":
		list := []map[string]any{}
		for _, m := range c.machines {
			row := map[string]any{"machine": m.id, "pool": service, "state": m.state, "zone": "zone-a"}
			if m.worker != nil {
				row["id"], row["labels"] = m.worker.id, []string{m.worker.kind, m.worker.rack}
			}
			list = append(list, row)
		}
		answer(w, http.StatusOK, map[string]any{"machines": list, "next_token": ""})
	case "/v1/machine-upkeep":
		c.upkeep(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	epoch := number(r.Header.Get("Fencing-Token"))
	for _, m := range c.machines {
		if m.id != q.Machine {
			continue
		}
		switch {
		case epoch < m.epoch:
			answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		case m.done[q.Wave]:
			answer(w, http.StatusOK, map[string]any{})
			return
		case m.state != "up":
			answer(w, http.StatusConflict, map[string]any{"reason": "busy"})
			return
		}
		m.epoch, m.done[q.Wave], m.state = epoch, true, "upkeep"
		c.lab.record("upkeep of %s begins", m.id)
		old := m.worker
		m.worker = nil
		old.leave()
		c.number++
		id := fmt.Sprintf("w-new-%d", c.number)
		time.AfterFunc(2*time.Second, func() {
			added := c.lab.addWorker(id, old.kind, old.rack, old.gpu)
			c.mu.Lock()
			defer c.mu.Unlock()
			m.worker, m.state = added, "up"
		})
		answer(w, http.StatusOK, map[string]any{})
		return
	}
	answer(w, http.StatusBadRequest, map[string]any{})
}

// waveCase: eight lasting tasks of 1 GPU, at most two a worker, run on four workers with 8 GPUs each; one of them
// may miss. The operator asks for the upkeep of the four machines, as many at once as there are. Later a client
// submits a job of one short task.
func waveCase(l *lab) {
	c := &cloud{lab: l}
	l.cloudAddress = l.serve(c)
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey}, nil))
	var machines []string
	for i := range 4 {
		machines = append(machines, fmt.Sprintf("m-%d", i+1))
		c.add(machines[i], l.addWorker(fmt.Sprintf("w-%d", i+1), "a", "r1", 8))
	}
	l.startHosts(3, func(string) string { return l.storeAddress })
	const lasting, short = "5c0e7a21d94b36f8", "00000000000000aa"
	const count = 8
	l.durationOf = func(task string) (time.Duration, bool) { return 2 * time.Second, !strings.HasPrefix(task, lasting) }
	l.submit("/batch/"+lasting, map[string]any{"count": count, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 1000, "long_running": true, "anti_affinity": 2, "may_miss": 1})
	var tasks []string
	for i := range count {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", lasting, i))
	}
	for _, t := range tasks {
		l.until(5*time.Second, t+" runs", func() bool { w, _ := l.runsAt(t); return w != nil })
	}
	time.Sleep(3 * time.Second)
	if l.trouble {
		l.store.put("keyed.op", "wave/1", map[string]any{"wave": 1, "machines": machines, "within_s": 60, "cap": 4})
		l.record("the operator requests wave 1: %v, at most four at once, within 60 s", machines)
	}
	time.Sleep(5 * time.Second)
	l.submit("/batch/"+short, map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 2000})
	submitted := time.Now()
	lost := map[string]bool{}
	for time.Since(submitted) < 70*time.Second {
		time.Sleep(50 * time.Millisecond)
		room := l.roomFor(1)
		for _, t := range tasks {
			w, since := l.runsAt(t)
			if w == nil && time.Since(since) > 15*time.Second && room >= 2 && !lost[lasting] {
				lost[lasting] = true
				l.breaks("LOST: the lasting task %s has not run for %.1f s; there is room for %d such tasks on workers that are ready", t, time.Since(since).Seconds(), room)
			}
		}
		// 14 s (finish_s) after the end of the traffic, for 3 s, with more than half of the GPUs free.
		if w, ended := l.runsAt(short + ".0.0.0"); w == nil && ended.IsZero() && time.Since(submitted) > 20*time.Second && room > 16 && !lost[short] {
			lost[short] = true
			l.breaks("LOST: the job %s was accepted %.1f s ago and nothing of it has run; there is room for %d such tasks, %s", short, time.Since(submitted).Seconds(), room, l.state("/batch/"+short))
		}
	}
	for _, t := range tasks {
		w, since := l.runsAt(t)
		if w == nil {
			l.record("at the end: %s does not run, last end %.1f s ago", t, time.Since(since).Seconds())
		}
	}
	l.record("at the end: status/wave/1 is %s; GET /batch/%s: %s", l.store.newestOf("keyed.status", "wave/1"), short, l.state("/batch/"+short))
}
