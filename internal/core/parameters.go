package core

import "time"

// The core's timing.
const (
	// callPatience is how long a reservation or start may go unanswered.
	callPatience = 10 * time.Second
	// stopPatience is how long a stop may go unanswered before it is repeated.
	stopPatience = 5 * time.Second
	// retryBase and retryMax bound the pause before a stop or placement is tried again.
	retryBase = 100 * time.Millisecond
	retryMax  = 5 * time.Second
	// restoreSettle is the wait for reports that follow a worker's list of tasks.
	restoreSettle = time.Second
	// restoreLeases is the longest wait for the workers of a restored job, in lease lives.
	restoreLeases = 3
	// giveUpLeases is how long a stop is tried before the job's caller is answered, in lease lives.
	giveUpLeases = 10
	// reclaimPatience is how long a reclaimed cell may stay occupied before others are tried.
	reclaimPatience = time.Second
	// headPatience bounds how long backfill may use the cells reserved for the job at the head.
	headPatience = 2 * time.Minute
	// headInterval is the least time between two choices of the cells for the head.
	headInterval = 250 * time.Millisecond
	// ageLimit is the wait after which a job goes to the head whatever its organisation's share.
	ageLimit = 10 * time.Minute
	// usageHalfLife is the time in which past use loses half its weight.
	usageHalfLife = 10 * time.Minute
	// rebaseHalfLives is the number of half-lives between two epochs of the usage sums.
	rebaseHalfLives = 50
	// quarantinePause is the time before a quarantined worker is probed.
	quarantinePause = 30 * time.Second
	// maxProbeDoublings bounds how often the pause doubles.
	maxProbeDoublings = 4
	// silencePause is the time for which a worker that does not answer gets nothing new.
	silencePause = 5 * time.Second
	// checkpointCost is the work that a checkpoint and resume are taken to cost.
	checkpointCost = time.Second
)

// The core's limits.
const (
	// attemptsPerStep bounds the placements tried in one step.
	attemptsPerStep = 8
	// groupsPerLane bounds the shapes told apart in one organisation's queue.
	groupsPerLane = 64
	// defaultMaxQueued bounds waiting jobs for each organisation and class.
	defaultMaxQueued = 10000
	// failuresPerJob is the number of workers a job may fail on before it is ended.
	failuresPerJob = 3
	// lossesPerJob is the number of attempts of a job that may be lost before it is ended.
	lossesPerJob = 5
	// silencesPerWorker is the number of calls in a row without an answer before a worker gets nothing new.
	silencesPerWorker = 3
	// failuresPerWorker is the number of jobs in a row that fail on a worker before it is quarantined.
	failuresPerWorker = 3
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

// backoff returns the pause before try number tries+1, doubled each time, and spread
// by the job's hash between three and five quarters.
func backoff(id JobID, tries int) time.Duration {
	d := retryMax
	if tries < 6 {
		d = min(retryBase<<tries, retryMax)
	}
	return time.Duration(float64(d) * spread(id))
}
