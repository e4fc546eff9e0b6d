package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Bounds of the installations' sheets.
const (
	finish     = 14 * time.Second
	reclaimFor = 2900 * time.Millisecond
	cancelFor  = 3 * time.Second
	stableFor  = 3 * time.Second
	idleFor    = 3 * time.Second
)

// smallFleet returns n workers of 8 accelerators, two a rack, in three zones.
func smallFleet(n int) func(*fleet) {
	return func(f *fleet) {
		for i := range n {
			f.add(fmt.Sprintf("i-%02d", i), "", fmt.Sprintf("zone-%d", i%3), 8, "a", fmt.Sprintf("r-%d", i/2))
		}
	}
}

var errNotAccepted = errors.New("a job was not accepted")

// budget: a worker is cut off from the hosts while the member of a gang there fails.
func budget(w *world) error {
	const attempts = 3
	err := w.start(smallFleet(6), manifestOf([]map[string]any{route("surveys", "/surveys/", 1, attempts)}, []map[string]any{tenant("suva", "key-suva", 16)}))
	if err != nil {
		return err
	}
	// Task 0 fails by its own fault after four seconds of work, wherever it runs.
	w.fleet.mu.Lock()
	w.fleet.failAfter = func(_ *worker, e *execution) time.Duration {
		if e.index == 0 {
			return 4 * time.Second
		}
		return -1
	}
	w.fleet.mu.Unlock()
	j := &jobSpec{Spec: "survey", Steps: []stepSpec{{Count: 3, CPU: 13000, MemMB: 26000, GPU: 8, EstimatedMs: 8500, Gang: true}}, queue: "/surveys/", key: "key-suva", work: 8500 * time.Millisecond}
	accepted, ok := w.submit(j)
	if !ok {
		return errNotAccepted
	}
	sleepUntil(accepted, time.Second)
	if w.trouble {
		w.fleet.mu.Lock()
		var victim *worker
		for _, s := range w.fleet.starts {
			if s.task == j.ID+".0.0.0" {
				victim = w.fleet.byID(s.worker)
			}
		}
		w.fleet.mu.Unlock()
		if victim == nil {
			return errors.New("the gang has not started")
		}
		w.logf("TROUBLE worker %s is cut off from the hosts for 5.5 s and runs on", victim.id)
		victim.setCut(true)
		time.AfterFunc(5500*time.Millisecond, func() {
			w.logf("TROUBLE ends: worker %s is reachable again", victim.id)
			victim.setCut(false)
		})
	}
	for time.Since(accepted) < 45*time.Second {
		time.Sleep(time.Second)
		if _, state := w.state(j); state == "failed" {
			break
		}
	}
	time.Sleep(3 * time.Second)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, s := range w.fleet.starts {
		failed := 0
		for _, e := range w.fleet.ends {
			if e.task == s.task && e.how == "failed" && e.at.Before(s.at) && !e.notedAt.IsZero() && !e.lapsed {
				failed++
			}
		}
		if failed >= attempts {
			w.violation("BUDGET", "run %d of %s starts after %d runs of the task have ended failed, of %d attempts; all these ends are taken note of", s.run, s.task, failed, attempts)
		}
	}
	return nil
}

func (f *fleet) byID(id string) *worker {
	for _, k := range f.workers {
		if k.id == id {
			return k
		}
	}
	return nil
}

// watchForIdleJob watches a job from finish after the end of the traffic. It reports LOST once the job
// has had nothing running for idleFor, though a task's turn has come, there is capacity for it
// twice over and under half of the service's capacity is in use.
func (w *world) watchForIdleJob(j *jobSpec, trafficEnd time.Time, until time.Duration, room func() bool) {
	sleepUntil(trafficEnd, finish)
	var idleSince time.Time
	reported := false
	for time.Since(trafficEnd) < until {
		time.Sleep(20 * time.Millisecond)
		used, all := w.fleet.gpusInUse()
		if w.fleet.doneOf(j) {
			break
		}
		if w.fleet.runningOf(j.ID) > 0 || 2*used >= all || !room() {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		if time.Since(idleSince) < idleFor || reported {
			continue
		}
		status, state := w.state(j)
		reported = true
		w.violation("LOST", "job %s is shown as %q (status %d) and has had nothing running for %v, %v after the end of the traffic; %d of %d accelerators are in use", j.ID, state, status, idleFor, time.Since(trafficEnd).Round(time.Second), used, all)
	}
	w.state(j)
}

// stall: the tasks of a job take long.
func stall(w *world) error {
	err := w.start(smallFleet(6), manifestOf([]map[string]any{route("tests", "/tests/", 2, 3)}, []map[string]any{tenant("suva", "key-suva", 16)}))
	if err != nil {
		return err
	}
	// Each worker has room for one such task, so that twice as many as the job has would fit.
	j := &jobSpec{Spec: "test", Steps: []stepSpec{{Count: 3, CPU: 2800, MemMB: 4100, GPU: 5, EstimatedMs: 9500}}, queue: "/tests/", key: "key-suva", work: 9500 * time.Millisecond}
	if w.trouble {
		j.work, j.Steps[0].EstimatedMs = longWork, int(longWork.Milliseconds())
		w.logf("TROUBLE each task of the job takes %v", longWork)
	}
	if _, ok := w.submit(j); !ok {
		return errNotAccepted
	}
	w.watchForIdleJob(j, time.Now(), 80*time.Second, func() bool { return true })
	return nil
}

// longWork is how long the tasks of a long job take.
const longWork = 10 * time.Minute

// reclaim: a burst of jobs that last occupies a tenant's guaranteed accelerators.
func reclaim(w *world) error {
	routes := []map[string]any{route("orders", "/orders/", 0, 3), route("watches", "/watches/", 2, 3)}
	err := w.start(smallFleet(6), manifestOf(routes, []map[string]any{tenant("suva", "key-suva", 16), tenant("nadi", "key-nadi", 8)}))
	if err != nil {
		return err
	}
	count := 3
	if w.trouble {
		count = 6
		w.logf("TROUBLE burst: twice the traffic of the class of jobs that last")
	}
	for range count {
		j := &jobSpec{Spec: "watch", Steps: []stepSpec{{Count: 1, CPU: 8000, MemMB: 11000, GPU: 8, EstimatedMs: 9500, LongRunning: true}}, queue: "/watches/", key: "key-nadi"}
		if _, ok := w.submit(j); !ok {
			return errNotAccepted
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	j := &jobSpec{Spec: "order", Steps: []stepSpec{{Count: 2, CPU: 3700, MemMB: 7600, GPU: 8, EstimatedMs: 2500}}, queue: "/orders/", key: "key-suva", work: 2500 * time.Millisecond}
	accepted, ok := w.submit(j)
	if !ok {
		return errNotAccepted
	}
	for time.Since(accepted) < 40*time.Second {
		time.Sleep(500 * time.Millisecond)
		if _, state := w.state(j); state == "succeeded" {
			break
		}
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	begun := map[string]bool{}
	for _, s := range w.fleet.starts {
		if strings.HasPrefix(s.task, j.ID+".") && s.at.Sub(accepted) <= reclaimFor {
			begun[s.task] = true
		}
	}
	if len(begun) < 2 {
		w.violation("RECLAIM", "job %s of priority 0, 16 accelerators of 16 guaranteed, has begun %d of 2 tasks within %v of its acknowledgement", j.ID, len(begun), reclaimFor)
	}
	return nil
}

// failedOnce: a worker fails the tasks that it starts for some seconds, and the only other worker
// that a task may use is occupied by a task that lasts.
func failedOnce(w *world) error {
	const failing = 6500 * time.Millisecond
	workers := func(f *fleet) {
		for i := range 12 {
			kind := "a"
			if i >= 10 {
				kind = "b"
			}
			f.add(fmt.Sprintf("i-%02d", i), "", fmt.Sprintf("zone-%d", i%3), 8, kind, fmt.Sprintf("r-%d", i/6))
		}
	}
	err := w.start(workers, manifestOf([]map[string]any{route("watches", "/watches/", 1, 4)}, []map[string]any{tenant("suva", "key-suva", 16)}))
	if err != nil {
		return err
	}
	lasting := func(gpu int) *jobSpec {
		return &jobSpec{Spec: "watch", Steps: []stepSpec{{Count: 1, CPU: 8000, MemMB: 11000, GPU: gpu, EstimatedMs: 9500, Requirements: "b", LongRunning: true}}, queue: "/watches/", key: "key-suva"}
	}
	first, j := lasting(8), lasting(4)
	if _, ok := w.submit(first); !ok {
		return errNotAccepted
	}
	time.Sleep(2 * time.Second)
	var place *worker // the worker of kind b that is empty
	w.fleet.mu.Lock()
	for _, k := range w.fleet.workers[10:] {
		if len(k.running) == 0 {
			place = k
		}
	}
	if w.trouble {
		w.logf("TROUBLE worker %s fails what it starts, for %v", place.id, failing)
		end := time.Now().Add(failing)
		w.fleet.failAfter = func(k *worker, e *execution) time.Duration {
			if k == place && e.since.Before(end) {
				return 500 * time.Millisecond
			}
			return -1
		}
	}
	w.fleet.mu.Unlock()
	if _, ok := w.submit(j); !ok {
		return errNotAccepted
	}
	// The last run ends during the trouble. The task has six seconds from then on, and the rule
	// asks for three seconds in calm, after four calm ones.
	calm := time.Now().Add(failing + 4*time.Second)
	sleepUntil(calm, 6*time.Second)
	w.watchForStoppedTask(j, 25*time.Second, func() bool {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		return len(place.running) == 0 // two such tasks fit there
	})
	return nil
}

// watchForStoppedTask reports LOST once a job, of one task that lasts, has had nothing running for
// idleFor though there is room for it.
func (w *world) watchForStoppedTask(j *jobSpec, until time.Duration, room func() bool) {
	began := time.Now()
	idleSince, reported := began, false
	for time.Since(began) < until {
		time.Sleep(20 * time.Millisecond)
		if w.fleet.runningOf(j.ID) > 0 || !room() {
			idleSince = time.Now()
			continue
		}
		if time.Since(idleSince) < idleFor || reported {
			continue
		}
		reported = true
		status, state := w.state(j)
		used, all := w.fleet.gpusInUse()
		w.violation("LOST", "job %s, whose task lasts, is shown as %q (status %d) and has had nothing running for %v in calm, more than 6 s after the task's last run; %d of %d accelerators are in use, and an idle worker has room for the task twice over", j.ID, state, status, idleFor, used, all)
	}
	w.state(j)
	w.logf("%d tasks of job %s run", w.fleet.runningOf(j.ID), j.ID)
}

// starve: a job comes that can never be done, while others come steadily and a task that lasts ends.
func starve(w *world) error {
	workers := func(f *fleet) {
		smallFleet(6)(f)
		f.add("i-06", "", "zone-0", 8, "b", "r-3")
	}
	routes := []map[string]any{route("surveys", "/surveys/", 1, 4), route("tests", "/tests/", 2, 3)}
	err := w.start(workers, manifestOf(routes, []map[string]any{tenant("suva", "key-suva", 16)}))
	if err != nil {
		return err
	}
	lasting := func(count int, label string) *jobSpec {
		return &jobSpec{Spec: "watch", Steps: []stepSpec{{Count: count, CPU: 2000, MemMB: 4000, GPU: 1, EstimatedMs: 9500, AntiAffinity: 1, Requirements: label, LongRunning: true}}, queue: "/tests/", key: "key-suva"}
	}
	j := lasting(6, "")
	for _, s := range []*jobSpec{lasting(1, "b"), j} {
		if _, ok := w.submit(s); !ok {
			return errNotAccepted
		}
		time.Sleep(2 * time.Second)
	}
	if w.trouble {
		gang := &jobSpec{Spec: "gang", Steps: []stepSpec{{Count: 7, CPU: 13000, MemMB: 26000, GPU: 8, EstimatedMs: 8500, Gang: true}}, queue: "/surveys/", key: "key-suva", work: 8500 * time.Millisecond}
		w.logf("TROUBLE a job that can never be done: its tasks together need the whole fleet, of which tasks that last hold a part")
		if _, ok := w.submit(gang); !ok {
			return errNotAccepted
		}
	}
	traffic := time.Now()
	failing := j.ID + ".0.0.2"
	for i := 0; time.Since(traffic) < 40*time.Second; i++ {
		s := &jobSpec{Spec: "test", Steps: []stepSpec{{Count: 1, CPU: 2800, MemMB: 4100, GPU: 1, EstimatedMs: 9500}}, queue: "/tests/", key: "key-suva", work: 9500 * time.Millisecond}
		if _, ok := w.submit(s); !ok {
			return errNotAccepted
		}
		time.Sleep(2 * time.Second)
		if i == 3 { // a task that lasts fails, as it may at any time
			w.fleet.mu.Lock()
			for _, k := range w.fleet.workers {
				if e := k.running[failing]; e != nil {
					k.end(e, "failed")
				}
			}
			w.fleet.mu.Unlock()
		}
	}
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	var failedAt, again time.Time
	for _, e := range w.fleet.ends {
		if e.task == failing {
			failedAt = e.at
		}
	}
	for _, s := range w.fleet.starts {
		if s.task == failing && s.at.After(failedAt) && again.IsZero() {
			again = s.at
		}
	}
	if again.IsZero() || again.Sub(failedAt) > 6*time.Second+idleFor {
		w.violation("LOST", "task %s, which lasts, has not been started again within 9 s of its last run", failing)
	}
	return nil
}

// cancelled: the store carries out the writes of a submission late and leaves them unanswered. The
// client, which got no acceptance, cancels the job.
func cancelled(w *world) error {
	const lostFor, late = 2800 * time.Millisecond, 6 * time.Second
	err := w.start(smallFleet(6), manifestOf([]map[string]any{route("surveys", "/surveys/", 1, 3)}, []map[string]any{tenant("suva", "key-suva", 16)}))
	if err != nil {
		return err
	}
	quit := make(chan struct{})
	for i := range 3 { // the usual traffic, at other hosts than the job's
		go func() {
			for {
				select {
				case <-quit:
					return
				case <-time.After(200 * time.Millisecond):
				}
				w.submitAt(w.fronts[1+i%2], &jobSpec{Spec: "small", Steps: []stepSpec{{Count: 1, CPU: 1000, MemMB: 1000, GPU: 1, EstimatedMs: 300}}, queue: "/surveys/", key: "key-suva", work: 300 * time.Millisecond})
			}
		}()
	}
	time.Sleep(2 * time.Second)
	j := &jobSpec{ID: newID(), Spec: "survey", Steps: []stepSpec{{Count: 2, CPU: 8000, MemMB: 11000, GPU: 2, EstimatedMs: 8500}}, queue: "/surveys/", key: "key-suva", work: 8500 * time.Millisecond}
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	w.store.mu.Lock()
	w.store.writes, w.store.lost = 0, 0
	if w.trouble {
		end := time.Now().Add(lostFor)
		w.store.lose = func(_ string, _ int, records []record) (time.Duration, bool) {
			if time.Now().After(end) || !hasKey(records, "j/"+j.ID) {
				return 0, false
			}
			w.logf("TROUBLE a write of %d records stays unanswered and is carried out %v later", len(records), late)
			return late, true
		}
	}
	w.store.mu.Unlock()
	lossEnd := time.Now().Add(lostFor)
	time.Sleep(50 * time.Millisecond)
	status := w.submitAt(w.fronts[0], j)
	if w.trouble == (status == http.StatusOK) {
		return fmt.Errorf("the submission was answered %d", status)
	}
	status, _ = w.call(w.fronts[0], http.MethodDelete, j.queue, j.key, j.ID, nil)
	acknowledged := time.Now()
	if status != http.StatusOK && status != http.StatusGone {
		return fmt.Errorf("the cancelling was answered %d", status)
	}
	time.Sleep(time.Until(lossEnd))
	w.store.mu.Lock()
	w.logf("writes of the system during the trouble: %d, of which %d unanswered", w.store.writes, w.store.lost)
	share := float64(w.store.lost) / float64(max(1, w.store.writes))
	w.store.mu.Unlock()
	if share > 0.35 {
		return fmt.Errorf("a share of %.2f of the writes was lost", share)
	}
	sleepUntil(acknowledged, 12*time.Second)
	close(quit)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	for _, s := range w.fleet.starts {
		if strings.HasPrefix(s.task, j.ID+".") && s.at.Sub(acknowledged) > cancelFor && s.at.Sub(lossEnd) > stableFor {
			w.violation("UNASKED", "%s run %d starts %v after the job's cancelling was acknowledged with %d, %v after the end of the trouble", s.task, s.run, s.at.Sub(acknowledged).Round(time.Millisecond), status, s.at.Sub(lossEnd).Round(time.Millisecond))
		}
	}
	return nil
}

// shape: a worker is emptied and taken away, so that one task of a job that lasts has no place left.
// Another job has tasks of the same size.
func shape(w *world) error {
	const count = 16
	err := w.start(smallFleet(count), manifestOf([]map[string]any{route("tests", "/tests/", 2, 4)}, []map[string]any{tenant("suva", "key-suva", 16)}))
	if err != nil {
		return err
	}
	step := stepSpec{Count: count, CPU: 2800, MemMB: 4100, GPU: 1, EstimatedMs: 9500, AntiAffinity: 1, LongRunning: true}
	lasting := &jobSpec{Spec: "watch", Steps: []stepSpec{step}, queue: "/tests/", key: "key-suva"}
	if _, ok := w.submit(lasting); !ok {
		return errNotAccepted
	}
	time.Sleep(2 * time.Second)
	if n := w.fleet.runningOf(lasting.ID); n != count {
		return fmt.Errorf("%d tasks run", n)
	}
	if w.trouble {
		leaving := w.fleet.workers[3]
		w.logf("TROUBLE worker %s, one of %d, is emptied and taken away", leaving.id, count)
		leaving.leave()
		w.logf("TROUBLE ends: worker %s has left", leaving.id)
	}
	time.Sleep(8 * time.Second)
	step.Count, step.LongRunning = 2, false
	j := &jobSpec{Spec: "test", Steps: []stepSpec{step}, queue: "/tests/", key: "key-suva", work: 5 * time.Second}
	if _, ok := w.submit(j); !ok {
		return errNotAccepted
	}
	w.watchForIdleJob(j, time.Now(), 60*time.Second, func() bool { return true })
	return nil
}
