package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["kind"] = kindCase }

// kindCase: an urgent job that requires the label "a" preempts a batch job on the only worker of that kind, one of
// ten. While that is being stopped, the worker crashes, and starts again as a worker of kind "b" under its id.
func kindCase(l *lab) {
	l.store.put("keyed.op", "config", manifest(1, []string{tenantKey}, nil))
	w := l.addWorker("w-1", "a", "r1", 8)
	for i := 2; i <= 10; i++ {
		l.addWorker(fmt.Sprintf("w-%d", i), "b", fmt.Sprintf("r%d", i), 8)
	}
	l.startHosts(3, func(string) string { return l.storeAddress })
	var crashes atomic.Bool
	l.onStart = func(at *worker, o order, _ *worker) {
		if at.kind != "a" {
			l.breaks("ROUTE: %s starts %s, which requires the label a; its labels are %q; its entry was written %d ms before", at, o.Task, []string{at.kind, at.rack}, at.clock())
		}
	}
	w.onStop = func(task string, run int) bool {
		if !crashes.CompareAndSwap(true, false) {
			return false
		}
		l.record("worker %s is told to stop %s run %d", w.id, task, run)
		w.crash()
		time.AfterFunc(700*time.Millisecond, func() { w.restart("b") })
		return true
	}
	need := map[string]any{"count": 1, "cpu": 4000, "mem_mb": 4096, "gpu": 8, "estimated_ms": 60000, "requirements": "a", "long_running": false}
	l.durationOf = func(string) (time.Duration, bool) { return time.Minute, true }
	rounds := 8
	if !l.trouble {
		rounds = 3
	}
	for round := 0; round < rounds && len(l.broken) == 0; round++ {
		batch, urgent := fmt.Sprintf("%016x", 0xb000+round), fmt.Sprintf("%016x", 0xa000+round)
		l.submit("/batch/"+batch, need)
		l.until(8*time.Second, batch+" runs", func() bool { at, _ := l.runsAt(batch + ".0.0.0"); return at != nil })
		time.Sleep(3 * time.Second) // the leader has listed the run by then
		crashes.Store(l.trouble)
		l.submit("/urgent/"+urgent, need)
		time.Sleep(3500 * time.Millisecond)
		if !l.trouble {
			if at, _ := l.runsAt(urgent + ".0.0.0"); at != w {
				l.cannotRun("the urgent job did not preempt the batch job")
			}
		}
		for _, path := range []string{"/urgent/" + urgent, "/batch/" + batch} {
			l.until(5*time.Second, path+" is cancelled", func() bool {
				status, _ := l.call(l.hosts[0], http.MethodDelete, path, tenantKey, nil)
				return status == http.StatusOK
			})
		}
		if l.trouble && len(l.broken) == 0 {
			w.crash()
			time.Sleep(700 * time.Millisecond)
			w.restart("a")
		}
		time.Sleep(2 * time.Second)
	}
}
