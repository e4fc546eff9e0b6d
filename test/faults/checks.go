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
	// maxConfigDelay is the maximum time until an accepted configuration is in force.
	maxConfigDelay = 3 * time.Second
	// maxLeavingDelay is the maximum time for which tasks may still start on a worker after
	// it begins to leave.
	maxLeavingDelay = 3 * time.Second
	// timerSlack is a tolerance for late timers on a busy machine.
	timerSlack = 300 * time.Millisecond
	// inProgressMargin is the minimum time between the sending of a call and a graceful
	// shutdown for the call to count as in progress at the shutdown.
	inProgressMargin = 200 * time.Millisecond
)

// Evidence is everything that was recorded during a run.
type Evidence struct {
	Requests     []*harness.Request
	Ledger       []standin.Entry
	Applies      []Apply
	Samples      []Sample
	Outages      []Outage
	Terminations []Termination
	LeaseTTL     time.Duration
}

// Findings returns one line for each violation in the evidence.
func (e Evidence) Findings() []string {
	var views []audit.CallerView
	for _, r := range e.Requests {
		views = append(views, r.CallerView())
	}
	findings := audit.Compare(views, e.Ledger, e.LeaseTTL+timerSlack).Findings
	findings = append(findings, e.answersForOtherRequests()...)
	findings = append(findings, e.startsOnLeavingWorkers()...)
	findings = append(findings, e.generationRegressions()...)
	findings = append(findings, e.lateGenerations()...)
	findings = append(findings, e.conflictingApplies()...)
	findings = append(findings, e.callsCutByShutdown()...)
	findings = append(findings, e.invalidHistories()...)
	return findings
}

// answersForOtherRequests finds responses that contain another job or request ID.
func (e Evidence) answersForOtherRequests() []string {
	var out []string
	for _, r := range e.Requests {
		for _, c := range r.Calls() {
			a := c.Answer
			if c.HasJobState() && (a.JobID != r.ID() || a.RequestID != r.Body.RequestID) {
				out = append(out, fmt.Sprintf("job %s received an answer for %s (request %s)", r.ID(), a.JobID, a.RequestID))
			}
		}
	}
	return out
}

// startsOnLeavingWorkers finds tasks that started on a worker later than maxLeavingDelay after
// it began to leave.
func (e Evidence) startsOnLeavingWorkers() []string {
	var out []string
	leavingSince := map[core.WorkerID]time.Duration{}
	for _, entry := range e.Ledger {
		switch {
		case entry.Kind == standin.EntryLeaving:
			leavingSince[entry.Worker] = entry.At
		case entry.Kind == standin.EntryReturned:
			delete(leavingSince, entry.Worker)
		case entry.Kind.Starts():
			if at, ok := leavingSince[entry.Worker]; ok && entry.At > at+maxLeavingDelay {
				out = append(out, fmt.Sprintf("job %s started on %s, which had been leaving for %v", entry.Task.Job, entry.Worker, entry.At-at))
			}
		}
	}
	return out
}

// generationRegressions finds processes that returned to an older configuration, including
// after a restart.
func (e Evidence) generationRegressions() []string {
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

// lateGenerations finds processes on which an accepted configuration was not in force in time.
// Hosts with an outage between maxLeavingDelay before the acceptance and maxConfigDelay after it are
// skipped.
func (e Evidence) lateGenerations() []string {
	var out []string
	hosts := map[string]string{}
	for _, s := range e.Samples {
		hosts[s.Process] = s.Host
	}
	for _, a := range e.Applies {
		for process, host := range hosts {
			if e.hasOutage(host, a.At.Add(-maxLeavingDelay), a.At.Add(maxConfigDelay)) {
				continue
			}
			if late, ok := e.lateSample(process, a); ok {
				out = append(out, fmt.Sprintf("%s was still at generation %d %v after generation %d was accepted", process, late.Generation, late.At.Sub(a.At), a.Generation))
			}
		}
	}
	return out
}

// lateSample returns the first sample of the process in the second after the deadline for a,
// and whether it shows an older generation.
func (e Evidence) lateSample(process string, a Apply) (Sample, bool) {
	limit := a.At.Add(maxConfigDelay + timerSlack)
	for _, s := range e.Samples {
		if s.Process == process && s.At.After(limit) && s.At.Before(limit.Add(time.Second)) {
			return s, s.Generation < a.Generation
		}
	}
	return Sample{}, false
}

// hasOutage reports whether a host had an outage at some time between two instants.
func (e Evidence) hasOutage(host string, from, to time.Time) bool {
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

// conflictingApplies finds two accepted configurations with the same base, and generations
// that are not above their base.
func (e Evidence) conflictingApplies() []string {
	var out []string
	byBase := map[core.Generation]core.Generation{}
	for _, a := range e.Applies {
		if other, ok := byBase[a.Base]; ok {
			out = append(out, fmt.Sprintf("generations %d and %d were both accepted on base generation %d", other, a.Generation, a.Base))
		}
		byBase[a.Base] = a.Generation
		if a.Generation <= a.Base {
			out = append(out, fmt.Sprintf("generation %d was accepted on base generation %d", a.Generation, a.Base))
		}
	}
	return out
}

// callsCutByShutdown finds calls in progress that a graceful shutdown of their gate interrupted,
// and processes that did not exit in time.
func (e Evidence) callsCutByShutdown() []string {
	var out []string
	for _, termination := range e.Terminations {
		if termination.Late {
			out = append(out, fmt.Sprintf("graceful shutdown at %v did not end in time", termination.At))
		}
		if termination.Gate == "" {
			continue
		}
		for _, r := range e.Requests {
			for _, c := range r.Calls() {
				inProgress := c.Sent.Before(termination.At.Add(-inProgressMargin)) && c.Returned.After(termination.At)
				if c.Gate == termination.Gate && inProgress && c.Lost && !e.hasOtherOutage(termination, c) {
					out = append(out, fmt.Sprintf("job %s: a %s in progress was cut off by the graceful shutdown of gate %s", r.ID(), c.Kind, termination.Gate))
				}
			}
		}
	}
	return out
}

// hasOtherOutage reports whether an outage of the gate's host other than the shutdown itself
// overlaps a call. The shutdown counts as one outage of the host. Outages of single links, such as
// the callers' link to the gate, list no hosts and don't count.
func (e Evidence) hasOtherOutage(termination Termination, c harness.Call) bool {
	overlapping := 0
	for _, o := range e.Outages {
		for _, h := range o.Hosts {
			if h == termination.Gate && o.Began.Before(c.Returned) && o.End.After(c.Sent) {
				overlapping++
			}
		}
	}
	return overlapping > 1
}

// summary returns the numbers of requests, ledger entries and applies, and the number of
// requests with each outcome, for the log.
func (e Evidence) summary() string {
	counts := map[string]int{}
	for _, r := range e.Requests {
		view := r.CallerView()
		switch {
		case view.Succeeded:
			counts["succeeded"]++
		case !view.Ended:
			counts["open"]++
		default:
			counts["ran "+string(view.Ran)]++
		}
	}
	parts := []string{fmt.Sprintf("%d requests", len(e.Requests)), fmt.Sprintf("%d ledger entries", len(e.Ledger)), fmt.Sprintf("%d applies", len(e.Applies))}
	for k, n := range counts {
		parts = append(parts, fmt.Sprintf("%d %s", n, k))
	}
	return strings.Join(parts, ", ")
}
