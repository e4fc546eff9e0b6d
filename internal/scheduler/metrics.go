package scheduler

import (
	"expvar"
	"sync/atomic"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/metrics"
)

// counters collects the metrics of one scheduler.
type counters struct {
	// histograms holds wait, start and completion times for each organisation and class.
	histograms *metrics.Registry
	// messages and messageBytes count requests from peers by kind.
	messages     *expvar.Map
	messageBytes *expvar.Map
	// workerCalls counts calls to workers by kind.
	workerCalls     *expvar.Map
	placementsVoid  atomic.Int64
	outcomesDropped atomic.Int64
}

func newCounters() *counters {
	return &counters{histograms: metrics.New(metrics.SourceScheduler), messages: new(expvar.Map).Init(), messageBytes: new(expvar.Map).Init(), workerCalls: new(expvar.Map).Init()}
}

// Metrics is a snapshot of a scheduler's state.
type Metrics struct {
	Active bool       `json:"active"`
	Term   core.Term  `json:"term"`
	LogUp  bool       `json:"log_up"`
	Load   core.Stats `json:"load"`
	// LogLagRecords is the number of log records not yet read, and LogLagSeconds the time
	// since the last read.
	LogLagRecords   int     `json:"log_lag_records"`
	LogLagSeconds   float64 `json:"log_lag_seconds"`
	LiveInLog       int     `json:"live_in_log"`
	EndedInLog      int     `json:"ended_in_log"`
	OutcomesWaiting int     `json:"outcomes_waiting"`
	OutcomesDropped int64   `json:"outcomes_dropped"`
	PlacementsVoid  int64   `json:"placements_void"`
	InboxLength     int     `json:"inbox_length"`
	CallsInProgress int64   `json:"calls_in_progress"`
}

// Metrics returns a snapshot of the current state.
func (s *Scheduler) Metrics() Metrics {
	active, term := s.election.Active()
	records, age := s.journal.Lag()
	live, ended := s.journal.Len()
	return Metrics{
		Active: active, Term: term, LogUp: s.election.LogUp(), Load: *s.stats.Load(),
		LogLagRecords: records, LogLagSeconds: age.Seconds(), LiveInLog: live, EndedInLog: ended,
		OutcomesWaiting: len(s.outcomes), OutcomesDropped: s.metrics.outcomesDropped.Load(),
		PlacementsVoid: s.metrics.placementsVoid.Load(), InboxLength: len(s.inbox), CallsInProgress: s.callsInProgress.Load(),
	}
}

// Publish adds the scheduler's metrics to the process's expvar page. It must be called only
// once.
func (s *Scheduler) Publish() {
	s.metrics.histograms.Publish("agatewinch")
	expvar.Publish("scheduler", expvar.Func(func() any { return s.Metrics() }))
	expvar.Publish("peer_messages", s.metrics.messages)
	expvar.Publish("peer_message_bytes", s.metrics.messageBytes)
	expvar.Publish("worker_calls", s.metrics.workerCalls)
}

// observe adds the time since this process admitted a job to a histogram. Jobs taken over
// from another process are not measured.
func (s *Scheduler) observe(j *trackedJob, measure metrics.Measure) {
	if !j.admittedAt.IsZero() {
		s.metrics.histograms.Observe(string(j.job.Org), string(j.job.Class), measure, time.Since(j.admittedAt))
	}
}

// observeFirst calls observe the first time only: the measure counts once for a job, however
// often the job is placed.
func (s *Scheduler) observeFirst(j *trackedJob, measure metrics.Measure, seen *bool) {
	if !*seen {
		*seen = true
		s.observe(j, measure)
	}
}
