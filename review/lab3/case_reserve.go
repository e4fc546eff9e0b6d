package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["reserve"] = reserveCase }

// reserveCase: of ten workers eight are full, one runs a lasting task, one is idle. A gang of a higher priority
// waits for two whole workers. Then the worker with the lasting task crashes and does not come back. That task has to
// run again: there is room for eight of it.
func reserveCase(l *lab) {
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey}, nil))
	for i := range 10 {
		l.addWorker(fmt.Sprintf("w-%d", i+1), "a", fmt.Sprintf("r%d", i+1), 8)
	}
	l.startHosts(3, func(string) string { return l.storeAddress })
	const lasting = "5c0e7a21d94b36f8"
	l.durationOf = func(task string) (time.Duration, bool) { return 100 * time.Second, !strings.HasPrefix(task, lasting) }
	runs := func(id string) {
		l.until(5*time.Second, id+" runs", func() bool { w, _ := l.runsAt(id + ".0.0.0"); return w != nil })
	}
	l.submit("/batch/"+lasting, map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 300000, "long_running": true})
	runs(lasting)
	for i := range 8 {
		id := fmt.Sprintf("%016x", 0xf000+i)
		l.submit("/batch/"+id, map[string]any{"count": 1, "cpu": 8000, "mem_mb": 8192, "gpu": 8, "estimated_ms": 100000})
		runs(id)
	}
	l.submit("/normal/00000000000000aa", map[string]any{"count": 2, "cpu": 8000, "mem_mb": 8192, "gpu": 8, "estimated_ms": 10000, "gang": true})
	time.Sleep(3 * time.Second)
	task := lasting + ".0.0.0"
	at, _ := l.runsAt(task)
	if at == nil {
		l.cannotRun("the lasting task does not run")
	}
	if l.trouble {
		at.crash()
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		w, since := l.runsAt(task)
		if room := l.roomFor(1); w == nil && time.Since(since) > 15*time.Second && room >= 2 && len(l.broken) == 0 {
			l.breaks("LOST: the lasting task %s has not run for %.1f s; there is room for %d such tasks on workers that are ready", task, time.Since(since).Seconds(), room)
		}
	}
	w, since := l.runsAt(task)
	l.record("at the end: %s runs: %v, last end %.1f s ago", task, w != nil, time.Since(since).Seconds())
	l.record("GET: %s", l.state("/batch/"+lasting))
}

// roomFor returns how many tasks of the given number of GPUs fit on the workers that are up.
func (l *lab) roomFor(gpu int64) int {
	l.mu.Lock()
	workers := append([]*worker(nil), l.workers...)
	l.mu.Unlock()
	n := 0
	for _, w := range workers {
		w.mu.Lock()
		if w.up {
			n += int((w.gpu - w.used) / gpu)
		}
		w.mu.Unlock()
	}
	return n
}
