package dispatch_test

import (
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
)

// simWorker is a simulated worker.
type simWorker struct {
	w           *simulation
	id          string
	incarnation int64
	startedAt   time.Duration
	clockRate   float64
	up          bool
	partitioned bool
	// draining says that the worker is about to shut down.
	draining bool
	epoch    int64
	// leaseMs is the end of the lease by the worker's clock.
	leaseMs int64
	runs    map[string]*execution
	// highestEnded is the highest run number of each task that was stopped or has ended here.
	highestEnded map[string]int
	ends         []endOf
	lastEnd      int64
	// entry is the worker's entry in the list, until it expires.
	entry   *dispatch.WorkerInfo
	entryAt time.Duration
}

type execution struct {
	id        job.TaskID
	run       int
	startedAt time.Duration
	need      job.Resources
	stopping  bool
	// gangComplete says that all members of the gang have started.
	gangComplete bool
}

type endOf struct {
	dispatch.EndedTask
	at           time.Duration
	acknowledged bool
	// excluded says that the end does not count as acknowledged: the worker's lease expired
	// between the run's end and its acknowledgement, or the acknowledgement was meant for
	// another incarnation.
	excluded bool
}

func (w *simulation) find(id string) *simWorker {
	for _, p := range w.workers {
		if p.id == id {
			return p
		}
	}
	return nil
}

func (w *simulation) entries() []dispatch.WorkerInfo {
	var list []dispatch.WorkerInfo
	for _, p := range w.workers {
		if p.entry != nil && w.now-p.entryAt < entryTTL {
			list = append(list, *p.entry)
		}
	}
	return list
}

func (p *simWorker) clock() int64 {
	return int64(float64((p.w.now - p.startedAt).Milliseconds()) * p.clockRate)
}

func (p *simWorker) heartbeat() {
	if p.up {
		p.entry = &dispatch.WorkerInfo{
			ID: p.id, Address: "192.0.2.1:1", Service: "service", Rack: "r", Zone: "z", Incarnation: p.incarnation, ClockMs: max(1, p.clock()), Draining: p.draining,
			Capacity: job.Resources{CPU: capacityCPU, MemMB: 1000, Accelerators: 8},
		}
		p.entryAt = p.w.now
		p.expireLease()
	}
	p.w.after(heartbeatInterval, p.heartbeat)
}

// fenced reports whether the worker has seen a higher epoch than the given one, and otherwise
// remembers it.
func (p *simWorker) fenced(epoch int64) bool {
	if epoch < p.epoch {
		return true
	}
	p.epoch = epoch
	return false
}

// renew executes a probe: it extends the lease and marks ends as acknowledged.
func (p *simWorker) renew(h dispatch.Probe, epoch int64) dispatch.Outcome {
	p.expireLease()
	if p.fenced(epoch) {
		return dispatch.Fenced
	}
	p.extendLease(h.LeaseUntilMs)
	p.w.tracef("%s is probed under epoch %d, incarnation %d, last end %d", p.id, epoch, h.Incarnation, h.Ack)
	for i := range p.ends {
		if e := &p.ends[i]; e.Number <= h.Ack && !e.acknowledged && !e.excluded {
			e.acknowledged = true
			if h.Incarnation != 0 && h.Incarnation != p.incarnation {
				e.excluded = true // the number belongs to another incarnation
				continue
			}
			p.w.endAcknowledged(*e)
		}
	}
	return dispatch.Accepted
}

func (p *simWorker) extendLease(until int64) {
	p.leaseMs = max(p.leaseMs, min(until, p.clock()+maxLease.Milliseconds()))
	incarnation := p.incarnation
	p.w.after(time.Duration(float64(p.leaseMs-p.clock())/minClockRate+1)*time.Millisecond, func() {
		if p.incarnation == incarnation {
			p.expireLease()
		}
	})
}

// expireLease ends all runs if the lease has expired, and marks the ends that were not
// acknowledged before.
func (p *simWorker) expireLease() {
	if !p.up || p.clock() < p.leaseMs {
		return
	}
	for i := range p.ends {
		p.ends[i].excluded = p.ends[i].excluded || !p.ends[i].acknowledged
	}
	for _, name := range sortedKeys(p.runs) {
		p.end(p.runs[name], job.EndLeaseExpired)
	}
}

func (p *simWorker) start(s dispatch.Start, epoch int64) dispatch.Outcome {
	p.expireLease()
	if p.fenced(epoch) {
		return dispatch.Fenced
	}
	name := s.Task.String()
	p.extendLease(s.LeaseUntilMs)
	if e := p.runs[name]; e != nil && e.run == s.Run {
		return dispatch.Accepted
	}
	if s.Run <= p.highestEnded[name] || p.runs[name] != nil {
		return dispatch.Refused
	}
	if p.clock() >= s.LeaseUntilMs {
		return dispatch.Refused
	}
	p.w.checkStart(p, s)
	e := &execution{id: s.Task, run: s.Run, startedAt: p.w.now, need: p.w.stepOf(s.Task).Need}
	p.runs[name] = e
	p.w.tracef("%s starts %s run %d under epoch %d", p.id, name, s.Run, epoch)
	p.w.simulateRun(p, e)
	return dispatch.Accepted
}

func (p *simWorker) stop(s dispatch.Stop, epoch int64) dispatch.Outcome {
	p.expireLease()
	if p.fenced(epoch) {
		return dispatch.Fenced
	}
	name := s.Task.String()
	p.highestEnded[name] = max(p.highestEnded[name], s.Run)
	if e := p.runs[name]; e != nil && e.run <= s.Run && !e.stopping {
		e.stopping = true
		p.w.after(p.w.drawDuration(maxStopTime), func() { p.end(e, job.EndStopped) })
	}
	return dispatch.Accepted
}

// end adds the end of a run to the worker's list, if the run still exists in this incarnation.
func (p *simWorker) end(e *execution, end job.End) {
	name := e.id.String()
	if p.runs[name] != e {
		return
	}
	delete(p.runs, name)
	p.highestEnded[name] = max(p.highestEnded[name], e.run)
	p.lastEnd++
	if end == job.EndDone {
		p.w.taskStates[name].done = true
	}
	p.ends = append(p.ends, endOf{EndedTask: dispatch.EndedTask{Number: p.lastEnd, Task: name, Run: e.run, How: end}, at: p.w.now})
	p.w.tracef("%s ends %s run %d: %s", p.id, name, e.run, end)
	if end != job.EndDone && p.w.stepOf(e.id).Gang {
		p.w.breakGang(e)
	}
}

func (p *simWorker) endsAfter(ack int64) []dispatch.EndedTask {
	var out []dispatch.EndedTask
	for _, e := range p.ends {
		if e.Number > ack {
			out = append(out, e.EndedTask)
		}
	}
	return out
}

func (p *simWorker) report(ack int64) dispatch.WorkerReport {
	p.expireLease()
	rep := dispatch.WorkerReport{Incarnation: p.incarnation, ClockMs: max(1, p.clock()), Ended: p.endsAfter(ack)}
	for _, name := range sortedKeys(p.runs) {
		e := p.runs[name]
		percent := int((p.w.now - e.startedAt).Milliseconds() / 50)
		rep.Running = append(rep.Running, dispatch.RunningTask{Task: name, Run: e.run, Percent: min(99, percent)})
	}
	return rep
}

// crash ends the current incarnation; the next one starts after the given time.
func (p *simWorker) crash(away time.Duration) {
	if !p.up {
		return
	}
	p.w.tracef("%s crashes", p.id)
	lost := p.runs
	p.up = false
	p.runs, p.highestEnded, p.ends = map[string]*execution{}, map[string]int{}, nil
	for _, name := range sortedKeys(lost) {
		if p.w.stepOf(lost[name].id).Gang {
			p.w.breakGang(lost[name])
		}
	}
	p.w.after(away, func() {
		p.incarnation, p.startedAt, p.up, p.draining = p.w.now.Milliseconds()+1, p.w.now, true, false
		p.epoch, p.leaseMs, p.lastEnd = 0, 0, 0
		p.w.tracef("%s restarts", p.id)
	})
}
