package faults

import (
	"fmt"
	"strings"
	"time"

	"agatewinch/internal/audit"
	"agatewinch/internal/core"
	"agatewinch/internal/standin"
	"agatewinch/test/harness"
)

const (
	// inForceTime is within what time an accepted configuration is in force.
	inForceTime = 3 * time.Second
	// leavingTime is how long after a worker began to leave it may still get tasks.
	leavingTime = 3 * time.Second
	// timerSlack allows for late timers on a busy machine.
	timerSlack = 300 * time.Millisecond
	// openTime is how long before a planned stop a call must have been sent to count as
	// in progress.
	openTime = 200 * time.Millisecond
)

// Evidence is everything that a run showed.
type Evidence struct {
	Requests []*harness.Request
	Ledger   []standin.Entry
	Applies  []Apply
	Samples  []Sample
	Outages  []Outage
	Stops    []Termination
	Lease    time.Duration
}

// Findings returns one line for everything that must not happen.
func (e Evidence) Findings() []string {
	var told []audit.Told
	for _, r := range e.Requests {
		told = append(told, r.Told())
	}
	findings := audit.Compare(told, e.Ledger, e.Lease+timerSlack).Findings
	findings = append(findings, e.foreignAnswers()...)
	findings = append(findings, e.startsOnLeavingWorkers()...)
	findings = append(findings, e.fallingGenerations()...)
	findings = append(findings, e.lateGenerations()...)
	findings = append(findings, e.doubleAccepts()...)
	findings = append(findings, e.cutByPlannedStop()...)
	findings = append(findings, e.brokenHistories()...)
	return findings
}

// foreignAnswers finds answers that name another request.
func (e Evidence) foreignAnswers() []string {
	var out []string
	for _, r := range e.Requests {
		for _, c := range r.Calls() {
			a := c.Answer
			if c.JobLevel() && (a.JobID != r.ID() || a.RequestID != r.Body.RequestID) {
				out = append(out, fmt.Sprintf("job %s was given an answer for %s (request %s)", r.ID(), a.JobID, a.RequestID))
			}
		}
	}
	return out
}

// startsOnLeavingWorkers finds starts on workers that had been leaving for a while.
func (e Evidence) startsOnLeavingWorkers() []string {
	var out []string
	left := map[core.WorkerID]time.Duration{}
	for _, entry := range e.Ledger {
		switch {
		case entry.Kind == standin.EntryLeaving:
			left[entry.Worker] = entry.At
		case entry.Kind == standin.EntryReturned:
			delete(left, entry.Worker)
		case entry.Kind.Starts():
			if at, ok := left[entry.Worker]; ok && entry.At > at+leavingTime {
				out = append(out, fmt.Sprintf("job %s started on %s, which had been leaving for %v", entry.Task.Job, entry.Worker, entry.At-at))
			}
		}
	}
	return out
}

// fallingGenerations finds processes that went back to an older configuration, also
// over a restart.
func (e Evidence) fallingGenerations() []string {
	var out []string
	highest := map[string]core.Generation{}
	for _, s := range e.Samples {
		if s.Generation < highest[s.Process] {
			out = append(out, fmt.Sprintf("%s went from generation %d back to %d", s.Process, highest[s.Process], s.Generation))
		}
		highest[s.Process] = max(highest[s.Process], s.Generation)
	}
	return out
}

// lateGenerations finds reachable processes on which an accepted configuration was not
// in force in time.
func (e Evidence) lateGenerations() []string {
	var out []string
	hosts := map[string]string{}
	for _, s := range e.Samples {
		hosts[s.Process] = s.Host
	}
	for _, a := range e.Applies {
		for process, host := range hosts {
			if e.outage(host, a.At.Add(-leavingTime), a.At.Add(inForceTime)) {
				continue
			}
			if late, ok := e.lateSample(process, a); ok {
				out = append(out, fmt.Sprintf("%s was at generation %d %v after %d was accepted", process, late.Generation, late.At.Sub(a.At), a.Generation))
			}
		}
	}
	return out
}

// lateSample returns the first sample after the time for a that shows an older one.
func (e Evidence) lateSample(process string, a Apply) (Sample, bool) {
	limit := a.At.Add(inForceTime + timerSlack)
	for _, s := range e.Samples {
		if s.Process == process && s.At.After(limit) && s.At.Before(limit.Add(time.Second)) {
			return s, s.Generation < a.Generation
		}
	}
	return Sample{}, false
}

// outage reports whether a host was not whole at some time between two instants.
func (e Evidence) outage(host string, from, to time.Time) bool {
	for _, o := range e.Outages {
		if o.End.Before(from) || o.Began.After(to) {
			continue
		}
		for _, h := range o.Hosts {
			if h == host {
				return true
			}
		}
	}
	return false
}

// doubleAccepts finds two accepted configurations that build on the same one, and
// generations that do not grow.
func (e Evidence) doubleAccepts() []string {
	var out []string
	byBase := map[core.Generation]core.Generation{}
	for _, a := range e.Applies {
		if other, ok := byBase[a.Base]; ok {
			out = append(out, fmt.Sprintf("generations %d and %d were both accepted on %d", other, a.Generation, a.Base))
		}
		byBase[a.Base] = a.Generation
		if a.Generation <= a.Base {
			out = append(out, fmt.Sprintf("generation %d was accepted on %d", a.Generation, a.Base))
		}
	}
	return out
}

// cutByPlannedStop finds calls in progress that a planned stop of their gate cut off,
// and processes that did not end in time.
func (e Evidence) cutByPlannedStop() []string {
	var out []string
	for _, stop := range e.Stops {
		if stop.Late {
			out = append(out, fmt.Sprintf("planned stop at %v did not end in time", stop.At))
		}
		if stop.Gate == "" {
			continue
		}
		for _, r := range e.Requests {
			for _, c := range r.Calls() {
				open := c.Sent.Before(stop.At.Add(-openTime)) && c.Returned.After(stop.At)
				if c.Gate == stop.Gate && open && c.Lost && !e.otherOutage(stop, c) {
					out = append(out, fmt.Sprintf("job %s: a %s in progress was cut off by the planned stop of gate %s", r.ID(), c.Kind, stop.Gate))
				}
			}
		}
	}
	return out
}

// otherOutage reports whether another fault of the gate's host, or of the callers' link
// to it, overlaps a call.
func (e Evidence) otherOutage(stop Termination, c harness.Call) bool {
	overlapping := 0
	for _, o := range e.Outages {
		for _, h := range o.Hosts {
			if h == stop.Gate && o.Began.Before(c.Returned) && o.End.After(c.Sent) {
				overlapping++
			}
		}
	}
	return overlapping > 1
}

// summary counts what a run did, for the log.
func (e Evidence) summary() string {
	kinds := map[string]int{}
	for _, r := range e.Requests {
		t := r.Told()
		switch {
		case t.Succeeded:
			kinds["succeeded"]++
		case !t.Ended:
			kinds["open"]++
		default:
			kinds["ran "+string(t.Ran)]++
		}
	}
	parts := []string{fmt.Sprintf("%d requests", len(e.Requests)), fmt.Sprintf("%d ledger entries", len(e.Ledger)), fmt.Sprintf("%d applies", len(e.Applies))}
	for k, n := range kinds {
		parts = append(parts, fmt.Sprintf("%d %s", n, k))
	}
	return strings.Join(parts, ", ")
}
