package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"time"
)

// cases are the scripts by name. Each sets the lab up, plays the disruption if trouble is set, and leaves
// broken rules in the audit.
var cases = map[string]func(l *Lab, trouble bool) error{
	"wave": playWave,
	"kind": playKind,
	"lost": playLost,
	"grey": playGrey,
	"miss": playMiss,
	"idle": playIdle,
	"held": playHeld,
}

// workers is the size of the fleet: one worker is 0.083 of it, less than the share of any impairment of
// workers in the site file.
const workers = 12

// fleet returns workers in racks of six.
func (l *Lab) fleet(kind func(i int) string) []*Worker {
	var out []*Worker
	for i := range workers {
		out = append(out, &Worker{zone: zones[i/6], rack: fmt.Sprintf("r-%d", i/6), kind: kind(i), capacity: Resources{32000, 65536, 8}})
	}
	return out
}

func sameKind(int) string { return "a" }

// firstAreB makes the first n workers of kind b and the others of kind a.
func firstAreB(n int) func(int) string {
	return func(i int) string {
		if i < n {
			return "b"
		}
		return "a"
	}
}

// killLeader kills the process of the leader, which starts again after a time.
func (l *Lab) killLeader(restart time.Duration) error {
	h := l.Leader()
	if h == nil {
		return errors.New("no host leads")
	}
	h.Signal(syscall.SIGKILL)
	time.AfterFunc(restart, func() {
		if err := h.Start(); err != nil {
			l.cannotRun("%v", err)
		}
	})
	return nil
}

// playWave: an order for an upkeep gets no answer and is carried out 3.5 s later; the leader is killed in the
// meantime.
func playWave(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(sameKind)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	ordered := make(chan struct{})
	if trouble {
		first := true
		l.cloud.late = func(string) time.Duration {
			if !first {
				return 0
			}
			first = false
			close(ordered)
			return 3500 * time.Millisecond
		}
	}
	names := []string{"m-0", "m-1", "m-2", "m-3"}
	l.cloud.Wave(1, names, 60*time.Second, 1)
	if trouble {
		select {
		case <-ordered:
		case <-time.After(15 * time.Second):
			return errors.New("no upkeep was ordered")
		}
		time.Sleep(200 * time.Millisecond)
		if err := l.killLeader(time.Second); err != nil {
			return err
		}
	}
	if !l.wait(50*time.Second, func() bool { return l.cloud.Done(1) == len(names) }) {
		return errors.New("the wave is not complete after 50 s")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// playKind: a worker crashes and starts again under its ID as a worker of another kind.
func playKind(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(firstAreB(2))); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for range 12 { // more than the workers of kind b hold, so that tasks wait
		if _, ok := l.Submit(Step{Count: 6, CPU: 8000, MemMB: 1000, GPU: 4, EstimatedMs: 6000, Requirements: "b", duration: 6 * time.Second}); !ok {
			return errors.New("a job was not accepted")
		}
	}
	for i := range 4 {
		time.Sleep(8 * time.Second)
		if !trouble {
			continue
		}
		w := l.workers[i%2]
		w.Crash()
		time.Sleep(time.Second)
		w.mu.Lock()
		w.kind = []string{"a", "b"}[i/2]
		w.mu.Unlock()
		w.Start()
	}
	time.Sleep(5 * time.Second)
	return nil
}

// calmIdle is the longest time for which a task that lasts may have nothing running, from the end of its last
// run: 6 s, and then 3 s.
const calmIdle = 9 * time.Second

// playLost: the machine of the leader and a worker lose power at the same moment.
func playLost(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(sameKind)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const tasks = 8
	if _, ok := l.Submit(Step{Count: tasks, CPU: 8000, MemMB: 8000, GPU: 2, EstimatedMs: 5000, LongRunning: true}); !ok {
		return errors.New("the job was not accepted")
	}
	if !l.wait(10*time.Second, func() bool { return l.audit.runningTasks() == tasks }) {
		return errors.New("the tasks do not run")
	}
	time.Sleep(8 * time.Second)
	if trouble {
		for _, w := range l.workers {
			if w.busy() {
				w.Crash()
				break
			}
		}
		if err := l.killLeader(3500 * time.Millisecond); err != nil {
			return err
		}
	}
	l.checkIdle(25*time.Second, calmIdle)
	return nil
}

// checkIdle checks for a time that no task has had nothing running for longer than limit.
func (l *Lab) checkIdle(during, limit time.Duration) {
	broken := false
	for end := time.Now().Add(during); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if idle := l.audit.idleFor(limit); len(idle) > 0 && !broken {
			l.audit.Breaks("LOST", "%s and %d more have had nothing running for %v", idle[0], len(idle)-1, limit)
			broken = true
		}
	}
}

// playGrey: the only worker of a kind fails all that it starts, twice, for 5 s each.
func playGrey(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(firstAreB(1))); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	lasting := Step{Count: 1, CPU: 4000, MemMB: 4000, GPU: 1, EstimatedMs: 5000, Requirements: "b", LongRunning: true}
	w := l.workers[0]
	for range 2 {
		if _, ok := l.Submit(lasting); !ok {
			return errors.New("a job was not accepted")
		}
	}
	time.Sleep(3 * time.Second)
	for range 2 {
		if trouble {
			w.failStarts(true)
			w.failRunning() // tasks that last may fail at any time
		}
		time.Sleep(4300 * time.Millisecond)
		if _, ok := l.Submit(lasting); !ok {
			return errors.New("a job was not accepted")
		}
		time.Sleep(700 * time.Millisecond)
		if trouble {
			w.failStarts(false)
		}
		l.checkIdle(20*time.Second, calmIdle)
	}
	return nil
}

// finish is how long after the end of the traffic the jobs are looked at (finish_s), and hungry how long a task
// may then have nothing running.
const (
	finish = 14 * time.Second
	hungry = 3 * time.Second
)

// playHeld: a worker fails what it starts for 3 s, while a job with one task on each worker begins.
func playHeld(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(sameKind)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	w := l.workers[3]
	if trouble {
		w.failStarts(true)
	}
	if _, ok := l.Submit(Step{Count: workers, CPU: 4000, MemMB: 8000, GPU: 1, EstimatedMs: 70000, AntiAffinity: 1, duration: 70 * time.Second}); !ok {
		return errors.New("the job was not accepted")
	}
	l.record("end of the traffic")
	time.Sleep(3 * time.Second)
	if trouble {
		w.failStarts(false)
	}
	time.Sleep(finish - 3*time.Second)
	l.record("the jobs are looked at: %d tasks run, %v have had nothing running for %v", l.audit.runningTasks(), l.audit.idleFor(hungry), hungry)
	if l.audit.runningTasks() < workers/2 {
		return errors.New("the tasks do not run")
	}
	time.Sleep(hungry)
	if idle := l.audit.idleFor(hungry); len(idle) > 0 {
		l.audit.Breaks("LOST", "%s has had nothing running for %v; worker %s, sound for %v, is empty, and %d of %d accelerators are in use", idle[0], hungry, w.id, finish, l.audit.runningTasks(), 8*workers)
	}
	return nil
}

// playMiss: a worker crashes for good; 4 s later a wave asks for the upkeep of machines on which tasks of the same step
// are at work.
func playMiss(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(sameKind)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	const tasks = 6
	if _, ok := l.Submit(Step{Count: tasks, CPU: 4000, MemMB: 8000, GPU: 1, EstimatedMs: 5000, AntiAffinity: 1, MayMiss: 1, LongRunning: true}); !ok {
		return errors.New("the job was not accepted")
	}
	if !l.wait(10*time.Second, func() bool { return l.audit.runningTasks() == tasks }) {
		return errors.New("the tasks do not run")
	}
	time.Sleep(8 * time.Second)
	var names []string
	crashed := false
	for i, w := range l.workers {
		switch {
		case !w.busy():
		case !crashed:
			crashed = true
			if trouble {
				w.Crash()
			}
		case len(names) < 3:
			names = append(names, fmt.Sprintf("m-%d", i))
		}
	}
	time.Sleep(4 * time.Second)
	l.cloud.Wave(1, names, 60*time.Second, 1)
	if !l.wait(60*time.Second, func() bool { return l.cloud.Done(1) == len(names) }) {
		return errors.New("the wave is not complete after 60 s")
	}
	time.Sleep(2 * time.Second)
	return nil
}

// playIdle: the leader is killed while a wave over all machines has its last upkeeps under way. A job comes after the
// wave.
func playIdle(l *Lab, trouble bool) error {
	if err := l.setUp(3, l.fleet(sameKind)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	var names []string
	for i := range workers {
		names = append(names, fmt.Sprintf("m-%d", i))
	}
	l.cloud.Wave(1, names, 60*time.Second, 4)
	if !l.wait(40*time.Second, func() bool { return l.cloud.Begun(1) == len(names) }) {
		return errors.New("the upkeeps have not begun after 40 s")
	}
	if trouble {
		if err := l.killLeader(time.Second); err != nil {
			return err
		}
	}
	succeeded := func() bool { return strings.Contains(string(l.store.Get("keyed.status", "wave/1")), "succeeded") }
	if !l.wait(40*time.Second, succeeded) {
		return errors.New("the wave is not shown as succeeded after 40 s")
	}
	l.record("wave 1 is shown as succeeded")
	time.Sleep(5 * time.Second)
	if _, ok := l.Submit(Step{Count: workers, CPU: 4000, MemMB: 8000, GPU: 1, EstimatedMs: 60000, duration: time.Minute}); !ok {
		return errors.New("the job was not accepted")
	}
	l.record("end of the traffic")
	time.Sleep(finish + hungry)
	l.record("the jobs are looked at: %d tasks run", l.audit.runningTasks())
	if idle := l.audit.idleFor(hungry); len(idle) > 0 {
		l.audit.Breaks("LOST", "%s and %d more have had nothing running for %v, %v after the end of the traffic; %d of %d accelerators are in use", idle[0], len(idle)-1, hungry, finish, l.audit.runningTasks(), 8*workers)
	}
	return nil
}
