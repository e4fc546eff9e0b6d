package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["advice"] = adviceCase }

const ticketValidity = 20 * time.Second

// advisor is a stand-in of the advisory service: every worker may run every step.
type advisor struct {
	lab     *lab
	mu      sync.Mutex
	tickets map[string]time.Time
	number  int
}

func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(10*time.Millisecond + time.Duration(len(q.Workers))*time.Millisecond)
	a.lab.record("advice is asked for %s on %v", q.Step, q.Workers)
	a.mu.Lock()
	defer a.mu.Unlock()
	good := [][]string{}
	for _, id := range q.Workers {
		a.number++
		ticket := fmt.Sprintf("ticket-%d", a.number)
		a.tickets[ticketKey(ticket, q.Step, a.lab.lifeOf(id))] = time.Now().Add(ticketValidity)
		good = append(good, []string{id, ticket})
	}
	answer(w, http.StatusOK, map[string]any{"good": good})
}

func ticketKey(ticket, step, life string) string { return ticket + " " + step + " " + life }

// lifeOf names the current incarnation of a worker.
func (l *lab) lifeOf(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range l.workers {
		if w.id == id {
			return fmt.Sprintf("%s@%d", id, w.born)
		}
	}
	return id
}

func (a *advisor) valid(w *worker, o order) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[ticketKey(o.Ticket, stepOf(o.Task), fmt.Sprintf("%s@%d", w.id, w.born))])
}

// adviceCase: a lasting step of eight tasks, at most one a worker, runs on eight workers, on an advised queue. Two
// empty workers join. Then one of the ten crashes and starts again. Its task has to run again somewhere.
func adviceCase(l *lab) {
	a := &advisor{lab: l, tickets: map[string]time.Time{}}
	l.adviceAddress = l.serve(a)
	l.checkTicket = a.valid
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey}, map[string]any{"decision_ms": 10, "per_item_ms": 1, "validity_ms": ticketValidity.Milliseconds()}))
	const count = 8
	for i := range count {
		l.addWorker(fmt.Sprintf("w-%d", i+1), "a", fmt.Sprintf("r%d", i+1), 8)
	}
	l.startHosts(3, func(string) string { return l.storeAddress })
	const path = "/batch/5c0e7a21d94b36f8"
	l.submit(path, map[string]any{"count": count, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 1000, "long_running": true, "anti_affinity": 1})
	var tasks []string
	for i := range count {
		tasks = append(tasks, fmt.Sprintf("5c0e7a21d94b36f8.0.0.%d", i))
	}
	for _, t := range tasks {
		l.until(5*time.Second, t+" runs", func() bool { w, _ := l.runsAt(t); return w != nil })
	}
	l.addWorker("w-9", "a", "r9", 8)
	l.addWorker("w-10", "a", "r10", 8)
	time.Sleep(3 * time.Second)
	if l.trouble {
		w, _ := l.runsAt(tasks[1])
		w.crash()
		time.Sleep(time.Second)
		w.restart("a")
	}
	// The last impairment is over. LOST counts 6 s after the task's last run, then 3 s, with 4 s of calm before.
	crashed := time.Now()
	for time.Since(crashed) < 45*time.Second {
		time.Sleep(50 * time.Millisecond)
		for _, t := range tasks {
			w, since := l.runsAt(t)
			if w == nil && time.Since(since) > 15*time.Second && len(l.broken) == 0 {
				l.breaks("LOST: the lasting task %s has not run for %.1f s; three sound workers with 8 free GPUs and no task of its step are there", t, time.Since(since).Seconds())
			}
		}
	}
	for _, t := range tasks {
		w, since := l.runsAt(t)
		l.record("at the end: %s runs: %v, last end %.1f s ago", t, w != nil, time.Since(since).Seconds())
	}
	l.record("GET %s: %s", path, l.state(path))
}
