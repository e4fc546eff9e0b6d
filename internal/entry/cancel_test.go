package entry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// submitLate appends the submission of a job as the log does that carries it out late.
func submitLate(t *testing.T, log sharedlog.Log, org string) *job.Job {
	t.Helper()
	j := submission("0000000000000001")
	j.Queue, j.Org, j.Service, j.Attempts = queue.Name, org, queue.Service, queue.Attempts
	rec, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), ledger.TopicsJobs[1], []sharedlog.Record{rec}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	return j
}

// Guards against a job that runs although its cancellation was acknowledged: the append of its submission was
// not answered and takes effect only after the client has given up and cancelled.
func TestJobCancelledBeforeItsSubmissionTakesEffectNeverRuns(t *testing.T) {
	log, ctx := memlog.New(), context.Background()
	hosts, w := run(t, log, 2)
	err := hosts[0].Cancel(ctx, &queue, "org", "0000000000000001")
	assert.Equal(t, errkind.Of(err).Kind, errkind.JobUnknown)
	j := submitLate(t, log, "org")
	eventually(t, func() bool {
		state, err := hosts[1].State(ctx, &queue, "org", j.ID)
		return err == nil && state == job.Cancelled
	})
	time.Sleep(2 * tickInterval)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.starts), 0)
}

// An organisation cannot cancel the job of another one in advance.
func TestCancellationOfAnUnknownJobAppliesToItsOrganisationOnly(t *testing.T) {
	log, ctx := memlog.New(), context.Background()
	hosts, _ := run(t, log, 1)
	err := hosts[0].Cancel(ctx, &queue, "other", "0000000000000001")
	assert.Equal(t, errkind.Of(err).Kind, errkind.JobUnknown)
	j := submitLate(t, log, "org")
	eventually(t, func() bool {
		state, err := hosts[0].State(ctx, &queue, "org", j.ID)
		return err == nil && state == job.Succeeded
	})
}

// "Unknown" acknowledges the cancellation, so that it is answered only once the cancellation is in the log.
func TestCancellationThatCannotBeRecordedIsNotAcknowledged(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 1)
	log.SetFault(func(call string, _ sharedlog.Topic) error {
		if call == "append" {
			return sharedlog.ErrUnknown
		}
		return nil
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := hosts[0].Cancel(ctx, &queue, "org", "0000000000000001")
	assert.Assert(t, err != nil && !errkind.Is(err, errkind.JobUnknown), "%v", err)
}

func TestCancellationsOfUnknownJobsAreDroppedAfterTheRetention(t *testing.T) {
	log, ctx := memlog.New(), context.Background()
	h := newHost(log, &workers{}, "host")
	for id, age := range map[string]time.Duration{"0000000000000001": time.Hour, "0000000000000002": time.Second} {
		rec, err := ledger.EarlyCancelRecord(id, "org", time.Now().Add(-age).UnixMilli())
		assert.NilError(t, err)
		_, err = log.Append(ctx, ledger.TopicsJobs[2], []sharedlog.Record{rec}, sharedlog.AppendOptions{})
		assert.NilError(t, err)
		h.applyRecords([]sharedlog.Record{rec})
	}
	l := newLeader(h, sharedlog.Fence{Epoch: 1}, h.sinceBoot(), formerTimes{})
	l.sweptAt = time.Time{}
	l.sweep(ctx)
	(<-l.events)(l.now())
	left, _, err := log.Newest(ctx, ledger.TopicsJobs[2])
	assert.NilError(t, err)
	assert.Equal(t, len(left), 1)
}
