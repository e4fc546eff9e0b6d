package main

import (
	"encoding/json"
	"time"
)

func init() { cases["clock"] = clockCase }

// clockCase: another writer leaves one entry under a worker's id, a copy of its newest in which clock_ms is too
// large. Ten seconds later the worker starts a task, and is cut off for 5.5 s before its answer leaves.
func clockCase(l *lab) {
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey}, nil))
	w := l.addWorker("w-1", "a", "r1", 8)
	for _, id := range []string{"w-2", "w-3", "w-4", "w-5", "w-6"} {
		l.addWorker(id, "b", "r-"+id, 8)
	}
	l.durationOf = func(string) (time.Duration, bool) { return 30 * time.Second, true }
	l.onStart = func(at *worker, o order, other *worker) {
		if other != nil && other != at {
			l.breaks("TWICE: %s starts %s run %d while another run of it is at work on %s", at, o.Task, o.Run, other)
		}
		if at == w {
			w.cut = time.Now().Add(5500 * time.Millisecond)
			l.record("%s is cut off for 5.5 s and runs on", w.id)
			go l.addWorker("w-7", "a", "r7", 8)
		}
	}
	l.startHosts(3, func(string) string { return l.storeAddress })
	time.Sleep(3 * time.Second)
	w.awaitReport()
	if l.trouble {
		var entry map[string]any
		l.must(json.Unmarshal(l.store.newestOf("keyed.servers", w.id), &entry))
		entry["clock_ms"] = int64(1e12)
		l.store.put("keyed.servers", w.id, entry)
		l.record("another writer leaves an entry under %s whose clock_ms is 10^12", w.id)
	}
	time.Sleep(10 * time.Second)
	const path = "/batch/5c0e7a21d94b36f8"
	l.submit(path, map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 30000, "requirements": "a"})
	time.Sleep(20 * time.Second)
	l.record("GET %s: %s", path, l.state(path))
}
