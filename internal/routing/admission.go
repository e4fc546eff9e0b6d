package routing

import (
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

const (
	// maxRefusalReuse bounds how long the gate repeats a refusal without calling the
	// schedulers.
	maxRefusalReuse = time.Second
	// refusalReuseDivisor divides the retry delay of a refusal to give the time for which
	// the refusal is repeated.
	refusalReuseDivisor = 4
	// orgLimitRetryAfterSeconds is the retry delay for an organisation that has reached
	// its limit.
	orgLimitRetryAfterSeconds = 1
)

// admission avoids calls that the schedulers would probably refuse: it limits each
// organisation's submissions in progress, and repeats a recent refusal of kind QueueFull
// without calling the schedulers again.
type admission struct {
	maxPerOrg int

	mu         sync.Mutex
	inProgress map[core.OrgID]int
	refusals   map[queueKey]refusal
}

// queueKey identifies a queue: each zone bounds its queues by organisation and class.
type queueKey struct {
	org   core.OrgID
	class core.ClassName
}

type refusal struct {
	err errkind.Error
	// until is when the refusal is no longer repeated; retryAt is when the scheduler's
	// retry delay ends.
	until, retryAt time.Time
}

func newAdmission(maxPerOrg int) *admission {
	return &admission{maxPerOrg: maxPerOrg, inProgress: map[core.OrgID]int{}, refusals: map[queueKey]refusal{}}
}

// acquire counts a submission as in progress or refuses it; if it succeeds, release must
// follow. A refusal says that the job did not run, so a job that the gate already knows
// is not refused here: it may have run.
func (a *admission) acquire(job core.Job, known bool, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !known {
		if err := a.check(job, now); err != nil {
			return err
		}
	}
	a.inProgress[job.Org]++
	return nil
}

func (a *admission) check(job core.Job, now time.Time) error {
	if a.inProgress[job.Org] >= a.maxPerOrg {
		return &errkind.Error{
			Kind: errkind.QuotaExceeded, Message: "the organisation has too many requests in progress at this gate",
			RetryAfterSeconds: orgLimitRetryAfterSeconds,
		}
	}
	key := queueKey{org: job.Org, class: job.Class}
	if ref, ok := a.refusals[key]; ok {
		if now.Before(ref.until) {
			err := ref.err
			err.RetryAfterSeconds = ref.retryAt.Sub(now).Seconds()
			return &err
		}
		delete(a.refusals, key)
	}
	return nil
}

func (a *admission) release(job core.Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inProgress[job.Org]--
	if a.inProgress[job.Org] == 0 {
		delete(a.inProgress, job.Org)
	}
}

// recordRefusal stores the refusal with which a round ended, so that acquire can repeat it. No
// candidate of that round admitted the job; the candidates are the active schedulers of all zones
// unless the job is bound to one zone. recordRefusal ignores refusals that are not of kind
// QueueFull or have no retry delay.
func (a *admission) recordRefusal(job core.Job, err *errkind.Error, now time.Time) {
	if err.Kind != errkind.QueueFull || err.RetryAfterSeconds <= 0 {
		return
	}
	retryDelay := time.Duration(err.RetryAfterSeconds * float64(time.Second))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals[queueKey{org: job.Org, class: job.Class}] = refusal{
		err: *err, until: now.Add(min(retryDelay/refusalReuseDivisor, maxRefusalReuse)), retryAt: now.Add(retryDelay),
	}
}
