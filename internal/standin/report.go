package standin

import (
	"slices"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// report queues a report and wakes waiting renewals.
func (w *worker) report(r platform.TaskReport) {
	w.queueReport(r)
	w.wake()
}

// queueReport drops the oldest report when too many wait for a receipt.
func (w *worker) queueReport(r platform.TaskReport) {
	w.seq++
	r.Seq = w.seq
	if len(w.reports) >= maxReports {
		w.reports = w.reports[1:]
	}
	w.reports = append(w.reports, r)
}

// receive drops the reports that the holder has received.
func (w *worker) receive(after uint64) {
	w.received = max(w.received, after)
	keepFrom := w.received
	if w.faults.DoubleReports {
		// What was received stays for one more answer.
		keepFrom = w.doubled
		w.doubled = w.received
	}
	for len(w.reports) > 0 && w.reports[0].Seq <= keepFrom {
		w.reports = w.reports[1:]
	}
}

func (w *worker) pending() []platform.TaskReport {
	return append([]platform.TaskReport(nil), w.reports...)
}

// reportUsage adds usage reports for the tasks that are due; they travel with the next
// answer and wake nobody.
func (w *worker) reportUsage() {
	if w.faults.UsageEvery <= 0 {
		return
	}
	now := time.Now()
	for _, t := range w.tasks {
		if !t.Started || now.Sub(t.usageAt) < w.faults.UsageEvery {
			continue
		}
		t.usageAt = now
		ran := max(0, t.ran(now)-w.faults.UsageLag)
		w.queueReport(platform.TaskReport{Kind: platform.ReportUsage, Task: t.Task, Ran: ran, Lag: w.faults.UsageLag, Started: true})
	}
}

// wakes reports whether any of the reports cuts a renewal's wait short.
func wakes(reports []platform.TaskReport) bool {
	return slices.ContainsFunc(reports, func(r platform.TaskReport) bool { return r.Kind != platform.ReportUsage })
}

// tombstones remember a bounded number of tasks that may not start any more; the
// oldest is forgotten first.
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
