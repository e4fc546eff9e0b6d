package main

import (
	"encoding/json"
	"time"
)

func init() { cases["odd"] = oddCase }

// oddCase: a task of 20 s runs on a worker. Another writer leaves one entry under that worker's id: a copy of its
// newest entry in which born is too large, by nine hours.
func oddCase(l *lab) {
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey}, nil))
	for _, id := range []string{"w-1", "w-2", "w-3"} {
		l.addWorker(id, "a", "r-"+id, 8)
	}
	l.durationOf = func(string) (time.Duration, bool) { return 20 * time.Second, true }
	l.onStart = func(w *worker, o order, other *worker) {
		if other != nil && other != w {
			l.breaks("TWICE: %s starts %s run %d while another run of it is at work on %s, which is up and reachable", w, o.Task, o.Run, other)
		}
	}
	l.startHosts(3, func(string) string { return l.storeAddress })
	const path, task = "/batch/5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.0.0"
	l.submit(path, map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 1, "estimated_ms": 20000})
	l.until(5*time.Second, task+" runs", func() bool { w, _ := l.runsAt(task); return w != nil })
	at, _ := l.runsAt(task)
	time.Sleep(4 * time.Second)
	at.awaitReport()
	if l.trouble {
		var entry map[string]any
		l.must(json.Unmarshal(l.store.newestOf("keyed.servers", at.id), &entry))
		entry["born"] = int64(entry["born"].(float64)) + (9 * time.Hour).Milliseconds()
		l.store.put("keyed.servers", at.id, entry)
		l.record("another writer leaves an entry under %s whose born is 9 h too large", at.id)
	}
	time.Sleep(25 * time.Second)
	l.record("GET %s: %s", path, l.state(path))
	// What follows is recorded only: does the worker still do useful work, while it is sound and its own entries follow?
	const later = "00000000000000aa"
	l.submit("/batch/"+later, map[string]any{"count": 3, "cpu": 4000, "mem_mb": 4096, "gpu": 8, "estimated_ms": 20000})
	time.Sleep(35 * time.Second)
	l.record("35 s after its acceptance, with tasks of 20 s: GET /batch/%s: %s", later, l.state("/batch/"+later))
}
