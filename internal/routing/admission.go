package routing

import (
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

const (
	// maxEcho bounds how long a scheduler's refusal is repeated without asking it.
	maxEcho = time.Second
	// echoShare is the share of the advised time for which it is repeated.
	echoShare = 4
	// orgBusyRetryAfterSeconds is the advice to an organisation at its bound.
	orgBusyRetryAfterSeconds = 1
)

// admission refuses at the gate what the schedulers would refuse anyhow.
type admission struct {
	maxPerOrg int

	mu       sync.Mutex
	open     map[core.OrgID]int
	refusals map[queueKey]refusal
}

// queueKey names one queue of a zone: they are bounded by organisation and class.
type queueKey struct {
	org   core.OrgID
	class core.ClassName
}

type refusal struct {
	err errkind.Error
	// until is when the refusal is no longer repeated, and back when the scheduler
	// advised to return.
	until, back time.Time
}

func newAdmission(maxPerOrg int) *admission {
	return &admission{maxPerOrg: maxPerOrg, open: map[core.OrgID]int{}, refusals: map[queueKey]refusal{}}
}

// enter counts a submission in, or refuses it as not run; leave must follow when it is
// not refused. A job that the gate knows is not refused here: it may have run.
func (a *admission) enter(job core.Job, known bool, now time.Time) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !known {
		if err := a.check(job, now); err != nil {
			return err
		}
	}
	a.open[job.Org]++
	return nil
}

func (a *admission) check(job core.Job, now time.Time) error {
	if a.open[job.Org] >= a.maxPerOrg {
		return &errkind.Error{
			Kind: errkind.QuotaExceeded, Message: "too many requests of the organisation in progress at this gate",
			RetryAfterSeconds: orgBusyRetryAfterSeconds,
		}
	}
	key := queueKey{org: job.Org, class: job.Class}
	if ref, ok := a.refusals[key]; ok {
		if now.Before(ref.until) {
			err := ref.err
			err.RetryAfterSeconds = ref.back.Sub(now).Seconds()
			return &err
		}
		delete(a.refusals, key)
	}
	return nil
}

func (a *admission) leave(job core.Job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.open[job.Org]--
	if a.open[job.Org] == 0 {
		delete(a.open, job.Org)
	}
}

// refused notes that all zones refused a job because their queues are full.
func (a *admission) refused(job core.Job, err *errkind.Error, now time.Time) {
	if err.Kind != errkind.QueueFull || err.RetryAfterSeconds <= 0 {
		return
	}
	advised := time.Duration(err.RetryAfterSeconds * float64(time.Second))
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refusals[queueKey{org: job.Org, class: job.Class}] = refusal{
		err: *err, until: now.Add(min(advised/echoShare, maxEcho)), back: now.Add(advised),
	}
}
