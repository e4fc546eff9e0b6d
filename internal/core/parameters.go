package core

import (
	"time"

	"agatewinch/internal/core/admission"
)

// Timeouts, intervals and time constants.
const (
	// callTimeout is the timeout of a reservation or start call.
	callTimeout = 10 * time.Second
	// stopTimeout is the time after which an unanswered stop is retried.
	stopTimeout = 5 * time.Second
	// minRetryDelay and maxRetryDelay bound the delay before a stop or placement is retried, before
	// jitter is applied.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// restoreReportWait is the time to wait for reports that arrive after a worker has listed its
	// tasks.
	restoreReportWait = time.Second
	// restoreTimeoutLeases is the longest wait for the workers of a restored job, in multiples of
	// LeaseTTL.
	restoreTimeoutLeases = 3
	// abandonStopLeases is the time after which the caller is answered although a stop is
	// not confirmed, in multiples of LeaseTTL.
	abandonStopLeases = 10
	// reclaimTimeout is how long a claimed cell may stay occupied before other cells are tried.
	reclaimTimeout = time.Second
	// maxHeadBackfill bounds how long the cells reserved for the head job may be backfilled.
	maxHeadBackfill = 2 * time.Minute
	// headReselectInterval is the minimum time between two selections of cells for the head.
	headReselectInterval = 250 * time.Millisecond
	// ageLimit is the waiting time after which a job becomes the head, whatever the share
	// of its organisation.
	ageLimit = 10 * time.Minute
	// usageHalfLife is the half-life of past usage in the fair share.
	usageHalfLife = 10 * time.Minute
	// rebaseHalfLives is the number of half-lives after which the usage sums get a new epoch.
	rebaseHalfLives = 50
	// minQuarantine is the duration of the first quarantine of a worker for failed jobs.
	minQuarantine = 30 * time.Second
	// maxQuarantineDoublings bounds how often that duration doubles.
	maxQuarantineDoublings = 4
	// unresponsivePause is how long a worker that leaves calls unanswered gets no new tasks.
	unresponsivePause = 5 * time.Second
	// checkpointCost is the assumed run time lost by a checkpoint and resume.
	checkpointCost = time.Second
)

// Limits.
const (
	// maxPlacementsPerStep bounds the placements attempted in one step.
	maxPlacementsPerStep = 8
	// maxGroupsPerLane bounds the shapes that are queued separately in one lane of an organisation.
	maxGroupsPerLane = 64
	// defaultMaxQueued is the default of Options.MaxQueued.
	defaultMaxQueued = 10000
	// maxJobFailures is the number of failed tasks, over all attempts, at which an idempotent
	// job fails for good.
	maxJobFailures = 3
	// maxJobLosses is the number of lost attempts at which a job fails for good.
	maxJobLosses = 5
	// maxUnansweredCalls is the number of consecutive unanswered calls at which a worker gets
	// no new tasks for a while.
	maxUnansweredCalls = 3
	// maxWorkerFailures is the number of consecutive failed jobs at which a worker is quarantined.
	maxWorkerFailures = 3
)

const defaultLeaseTTL = 6 * time.Second

func (o Options) withDefaults() Options {
	if o.LeaseTTL <= 0 {
		o.LeaseTTL = defaultLeaseTTL
	}
	if o.MaxQueued <= 0 {
		o.MaxQueued = defaultMaxQueued
	}
	if o.Policy == "" {
		o.Policy = PolicyGuaranteed
	}
	return o
}

// backoff returns the delay before the next retry when tries retries were made already. It
// doubles with each retry, from minRetryDelay up to maxRetryDelay, with a jitter of up to 25 %
// either way that depends on the job alone.
func backoff(id JobID, tries int) time.Duration {
	d := maxRetryDelay
	if tries < 6 {
		d = min(minRetryDelay<<tries, maxRetryDelay)
	}
	return time.Duration(float64(d) * admission.Jitter(string(id)))
}
