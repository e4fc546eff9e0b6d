// Package admission decides, from what the leader forecasts, whether a job that is submitted now can
// still be of use to its caller. It does no I/O; every host decides for itself.
//
// The forecast only describes a system that is short of room. Without one, or with one that may be out of
// date, every job is admitted.
package admission

import (
	"time"

	"agatewinch/internal/core/job"
)

// Forecast is what the leader expects of jobs that are submitted now.
type Forecast struct {
	// Epoch is that of the leader, and AtMs when it made the forecast, in Unix milliseconds.
	Epoch int64 `cbor:"1,keyasint"`
	AtMs  int64 `cbor:"2,keyasint"`
	// Lanes holds the lanes that are short of room. Others are not.
	Lanes []Lane `cbor:"3,keyasint,omitempty"`
}

// Lane describes the waiting work of one service and priority.
type Lane struct {
	Service  string `cbor:"1,keyasint"`
	Priority int    `cbor:"2,keyasint,omitempty"`
	// Backlog is the accepted work of this and more urgent priorities that waits, in core-seconds.
	Backlog float64 `cbor:"3,keyasint"`
	// Drain is how much of it starts in a second, in core-seconds, besides the more urgent work that
	// still arrives.
	Drain float64 `cbor:"4,keyasint"`
	// Room is the capacity that is free, summarised.
	Room []Room `cbor:"5,keyasint,omitempty"`
}

// Room describes workers with the same number of free accelerators: how many there are, and the most of
// every resource that is free on one of them.
type Room struct {
	Workers int           `cbor:"1,keyasint"`
	Free    job.Resources `cbor:"2,keyasint"`
}

const (
	// MaxAge is how old a forecast may be: four of the intervals at which the leader renews it.
	MaxAge = 2 * time.Second
	// UsefulFactor is the multiple of its latency objective up to which a job is of use to its caller,
	// by the platform's contract.
	UsefulFactor = 3
)

// Fresh reports whether f describes the state at nowMs, in Unix milliseconds, under the leader with the
// given epoch.
func (f *Forecast) Fresh(nowMs, epoch int64) bool {
	age := time.Duration(nowMs-f.AtMs) * time.Millisecond
	return f.Epoch == epoch && age <= MaxAge && age >= -MaxAge
}

// Wait returns how long the work of the lane that waits takes to start. It is zero if that cannot be
// said, because nothing has started lately.
func (l *Lane) Wait() time.Duration {
	if l.Drain <= 0 {
		return 0
	}
	return time.Duration(min(l.Backlog/l.Drain, maxWait.Seconds()) * float64(time.Second))
}

// maxWait bounds predictions: beyond it the exact time does not matter.
const maxWait = 24 * time.Hour

// Refused returns for how long a job that is submitted now is of no use to its caller, and whether that
// is so: it would end after more than UsefulFactor times its objective, and no free room would serve it.
// Urgent jobs may have a guarantee that the leader alone can judge; they, jobs without an objective,
// periodic ones and long-running ones are never refused.
func (f *Forecast) Refused(j *job.Job) (time.Duration, bool) {
	if j.Priority == 0 || j.Stretch <= 0 || j.OccurrenceCount > 0 || j.IsLongRunning() {
		return 0, false
	}
	chain := chain(j)
	useful := UsefulFactor * (time.Duration(j.Stretch*float64(chain)) + j.Objective)
	for i := range f.Lanes {
		l := &f.Lanes[i]
		if l.Service != j.Service || l.Priority != j.Priority {
			continue
		}
		if excess := l.Wait() + chain - useful; excess > 0 && !l.mayFit(j) {
			return excess, true
		}
	}
	return 0, false
}

// chain returns the declared time of the longest chain of steps of j.
func chain(j *job.Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i := range j.Steps {
		start := time.Duration(0)
		for _, dep := range j.Steps[i].After {
			start = max(start, ends[dep])
		}
		ends[i] = start + j.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// mayFit reports whether the first steps of j might fit into the free room. It may be wrong in favour of
// the job, never against it.
func (l *Lane) mayFit(j *job.Job) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		if len(s.After) > 0 {
			continue
		}
		fit := 0
		for _, r := range l.Room {
			fit += r.Workers * times(r.Free, s.Charge(), s.Count)
		}
		if fit > 0 && (!s.Gang || fit >= s.Count) {
			return true
		}
	}
	return false
}

// times returns how often need fits into free, at most limit times.
func times(free, need job.Resources, limit int) int {
	n := 0
	for n < limit && free.Fits(need) {
		free = free.Minus(need)
		n++
	}
	return n
}
