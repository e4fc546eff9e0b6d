package standin

import (
	"slices"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// report queues a report and notifies waiting renewals.
func (w *worker) report(r platform.TaskReport) {
	w.queueReport(r)
	w.notify()
}

// queueReport numbers and queues a report. It drops the oldest one when maxReports are
// unacknowledged.
func (w *worker) queueReport(r platform.TaskReport) {
	w.seq++
	r.Seq = w.seq
	if len(w.reports) >= maxReports {
		w.reports = w.reports[1:]
	}
	w.reports = append(w.reports, r)
}

// acknowledge drops the reports that the lease holder has received: those with numbers up to
// after.
func (w *worker) acknowledge(after uint64) {
	w.acknowledged = max(w.acknowledged, after)
	dropUpTo := w.acknowledged
	if w.faults.DoubleReports {
		// Acknowledged reports are sent once more, so they stay for one more answer.
		dropUpTo = w.previouslyAcknowledged
		w.previouslyAcknowledged = w.acknowledged
	}
	for len(w.reports) > 0 && w.reports[0].Seq <= dropUpTo {
		w.reports = w.reports[1:]
	}
}

func (w *worker) pendingReports() []platform.TaskReport {
	return append([]platform.TaskReport(nil), w.reports...)
}

// queueUsageReports queues a usage report for every task whose last one is UsageEvery or
// more ago. Usage reports are sent with the next answer and do not end the wait of a renewal.
func (w *worker) queueUsageReports() {
	if w.faults.UsageEvery <= 0 {
		return
	}
	now := time.Now()
	for _, t := range w.tasks {
		if !t.begun || now.Sub(t.usageAt) < w.faults.UsageEvery {
			continue
		}
		t.usageAt = now
		ran := max(0, t.ran(now)-w.faults.UsageLag)
		w.queueReport(platform.TaskReport{Kind: platform.ReportUsage, Task: t.Task, Ran: ran, Lag: w.faults.UsageLag, Started: true})
	}
}

// endsWait reports whether any of the reports ends the wait of a renewal; usage reports
// do not.
func endsWait(reports []platform.TaskReport) bool {
	return slices.ContainsFunc(reports, func(r platform.TaskReport) bool { return r.Kind != platform.ReportUsage })
}

// tombstones is a bounded set of tasks that must not start any more. When it is full, the
// oldest is removed.
type tombstones struct {
	limit int
	known map[core.TaskRef]bool
	order []core.TaskRef
}

func newTombstones(limit int) tombstones {
	return tombstones{limit: limit, known: map[core.TaskRef]bool{}}
}

func (s *tombstones) add(ref core.TaskRef) {
	if s.known[ref] {
		return
	}
	if len(s.order) >= s.limit {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
	s.known[ref] = true
	s.order = append(s.order, ref)
}

func (s *tombstones) has(ref core.TaskRef) bool { return s.known[ref] }
