package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

func TestJobSubmittedAtOneHostIsShownAsSucceededAtAll(t *testing.T) {
	hosts, w := run(t, memlog.New(), 3)
	ctx := context.Background()
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", submission("0000000000000001")))
	for _, h := range hosts {
		eventually(t, func() bool {
			state, err := h.State(ctx, &queue, "org", "0000000000000001")
			return err == nil && state == job.Succeeded
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.starts), 2)
}

// Callers query as soon as their job's last task has ended, which is before the job's end is in
// the log, and query again only some time later. If the first query were answered at once, they
// would learn of the end only from the next one.
func TestDecisionsAreCountedByKind(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 1)
	assert.NilError(t, hosts[0].Submit(context.Background(), &queue, "org", submission("0000000000000001")))
	eventually(t, func() bool { return decisions.Get("placed") != nil && decisions.Get("run ended") != nil })
}

func TestQueryShortlyBeforeTheEndReturnsTheEndState(t *testing.T) {
	for name, leading := range map[string]bool{"standby": false, "leader": true} {
		t.Run(name, func(t *testing.T) {
			ctx, log := t.Context(), memlog.New()
			h := newHost(log, &workers{}, "host")
			j := submission("0000000000000001")
			j.Org = "org"
			rec, err := ledger.JobRecord(j)
			assert.NilError(t, err)
			_, err = log.Append(ctx, ledger.TopicsJobs[0], []sharedlog.Record{rec}, sharedlog.AppendOptions{})
			assert.NilError(t, err)
			for _, reader := range append(h.jobReaders, h.stateReader) {
				assert.NilError(t, reader.loadNewest(ctx))
				assert.NilError(t, reader.readOnce(ctx, 0))
			}
			if leading {
				h.stateReader.suspend()
			} else {
				readerCtx, stop := context.WithCancel(ctx)
				var wait sync.WaitGroup
				wait.Go(func() { assert.Check(t, h.stateReader.run(readerCtx)) })
				t.Cleanup(func() { stop(); wait.Wait() })
			}
			time.AfterFunc(jobChangeWait/4, func() {
				end, err := ledger.EndRecord(j.ID, ledger.Ended{State: job.Succeeded, AtMs: 1})
				assert.Check(t, err)
				at, err := log.Append(ctx, ledger.TopicState, []sharedlog.Record{end}, sharedlog.AppendOptions{})
				assert.Check(t, err)
				if leading {
					h.stateReader.ingest(at, []sharedlog.Record{end}, at+1)
				}
			})
			state, err := h.State(ctx, &queue, "org", j.ID)
			assert.NilError(t, err)
			assert.Equal(t, state, job.Succeeded)
		})
	}
}

// The partition that is tried first refuses appends; the others accept them.
func TestSubmissionGoesToAPartitionThatAcceptsIt(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 2)
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if topic == ledger.TopicsJobs[hosts[1].writer.preferred] && call == "append" {
			return sharedlog.ErrRefused
		}
		return nil
	})
	ctx := context.Background()
	assert.NilError(t, hosts[1].Submit(ctx, &queue, "org", submission("0000000000000001")))
	eventually(t, func() bool {
		state, err := hosts[0].State(ctx, &queue, "org", "0000000000000001")
		return err == nil && state == job.Succeeded
	})
}

// The partition that is tried first receives an append but does not answer it. Later submissions,
// more than maxConcurrentAppends of them, must not wait for it.
func TestUnresponsivePartitionDoesNotBlockSubmissions(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 1)
	unblock := make(chan struct{})
	t.Cleanup(func() { close(unblock) })
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if topic == ledger.TopicsJobs[hosts[0].writer.preferred] && call == "append" {
			<-unblock
			return sharedlog.ErrUnknown
		}
		return nil
	})
	for i := range 2 * maxConcurrentAppends {
		assert.NilError(t, hosts[0].Submit(context.Background(), &queue, "org", submission(fmt.Sprintf("%016x", i+1))))
	}
}

func TestSubmissionIsRefusedOnlyIfItCannotBeInTheLog(t *testing.T) {
	for name, c := range map[string]struct {
		fail error
		kind errkind.Kind
	}{
		"refused":     {sharedlog.ErrRefused, errkind.LogUnavailable},
		"answer lost": {sharedlog.ErrUnknown, errkind.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			log := memlog.New()
			hosts, _ := run(t, log, 1)
			log.SetFault(func(call string, topic sharedlog.Topic) error {
				if call == "append" && topic.Name == ledger.TopicsJobs[0].Name {
					return c.fail
				}
				return nil
			})
			err := hosts[0].Submit(context.Background(), &queue, "org", submission("0000000000000001"))
			assert.Equal(t, errkind.Of(err).Kind, c.kind)
		})
	}
}

// Answers to appends are lost after the records are in the log.
func TestLostAppendAnswersNeitherLoseNorDuplicateJobs(t *testing.T) {
	log := memlog.New()
	var n atomic.Int64
	hosts, w := run(t, log, 2)
	log.LoseAnswers(func(sharedlog.Topic) bool { return n.Add(1)%3 == 0 })
	ctx := context.Background()
	for i := range 10 {
		id := fmt.Sprintf("%016x", i+1)
		assert.NilError(t, hosts[i%2].Submit(ctx, &queue, "org", submission(id)))
		assert.NilError(t, hosts[(i+1)%2].Submit(ctx, &queue, "org", submission(id)))
	}
	for i := range 10 {
		eventually(t, func() bool {
			state, err := hosts[0].State(ctx, &queue, "org", fmt.Sprintf("%016x", i+1))
			return err == nil && state == job.Succeeded
		})
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.starts), 20)
}

// A zone is partitioned from the log. Its hosts soon report themselves not ready, so that the load
// balancer sends callers to other zones, and are ready again as soon as the log answers.
func TestHostThatTheLogRefusesIsNotReady(t *testing.T) {
	log := memlog.New()
	source := &staticCatalog{}
	h := newHost(log, &workers{runs: map[string]execution{}}, "host")
	h.catalogSource = source
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { assert.Check(t, h.Run(ctx)) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	eventually(t, h.Ready)
	began := time.Now()
	log.SetFault(func(string, sharedlog.Topic) error { return sharedlog.ErrRefused })
	eventually(t, func() bool { return !h.Ready() })
	assert.Assert(t, time.Since(began) < maxReadyLogAge)
	log.SetFault(nil)
	eventually(t, h.Ready)
}

func TestJobIsReportedUnknownOnlyAfterReadingToTheEnd(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 1)
	ctx := context.Background()
	_, err := hosts[0].State(ctx, &queue, "org", "00000000000000ff")
	assert.Equal(t, errkind.Of(err).Kind, errkind.JobUnknown)
	log.SetFault(func(string, sharedlog.Topic) error { return sharedlog.ErrRefused })
	_, err = hosts[0].State(ctx, &queue, "org", "00000000000000ff")
	assert.Equal(t, errkind.Of(err).Kind, errkind.LogUnavailable)
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds > 0)
}

func TestJobOfAnotherOrganisationIsNotShown(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 1)
	ctx := context.Background()
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", submission("0000000000000001")))
	_, err := hosts[0].State(ctx, &queue, "other", "0000000000000001")
	assert.Equal(t, errkind.Of(err).Kind, errkind.JobUnknown)
}

func TestCancelledJobIsShownAsCancelledByANewHost(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 1)
	ctx := context.Background()
	unplaceable := submission("0000000000000001")
	unplaceable.Steps[0].Need.Accelerators = 9 // more than the worker has: the job never starts
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", unplaceable))
	assert.NilError(t, hosts[0].Cancel(ctx, &queue, "org", unplaceable.ID))
	newHosts, _ := run(t, log, 1)
	state, err := newHosts[0].State(ctx, &queue, "org", unplaceable.ID)
	assert.NilError(t, err)
	assert.Equal(t, state, job.Cancelled)
}

func TestEndedJobsAreDroppedFromTheLogAfterTheirRetention(t *testing.T) {
	log := memlog.New()
	h := newHost(log, &workers{}, "host")
	ctx := context.Background()
	j := submission("0000000000000001")
	submitted, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	ended, err := ledger.EndRecord(j.ID, ledger.Ended{State: job.Succeeded, AtMs: time.Now().Add(-time.Hour).UnixMilli()})
	assert.NilError(t, err)
	for topic, r := range map[sharedlog.Topic]sharedlog.Record{ledger.TopicsJobs[1]: submitted, ledger.TopicState: ended} {
		_, err = log.Append(ctx, topic, []sharedlog.Record{r}, sharedlog.AppendOptions{})
		assert.NilError(t, err)
		h.applyRecords([]sharedlog.Record{r})
	}
	assert.NilError(t, h.stateReader.loadNewest(ctx))
	l := newLeader(h, sharedlog.Fence{Epoch: 1}, h.sinceBoot(), formerTimes{})
	l.sweptAt = time.Time{}
	l.sweep(ctx)
	(<-l.events)(l.now())
	l.append(ctx)
	(<-l.events)(l.now())
	for _, topic := range append(ledger.TopicsJobs, ledger.TopicState) {
		left, _, err := log.Newest(ctx, topic)
		assert.NilError(t, err)
		assert.Equal(t, len(left), 0, "%s", topic)
	}
	_, known := h.ledger.Find(j.ID)
	assert.Assert(t, !known)
}

func TestConfigurationThatCannotBeConfirmedIsNotUsed(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	_, err := h.Catalog()
	assert.Equal(t, errkind.Of(err).Kind, errkind.NoConfiguration)
	c := &catalog.Catalog{Version: 3}
	h.setCatalog(c.Index(), h.sinceBoot())
	_, err = h.Catalog()
	assert.NilError(t, err)
	h.catalogConfirmedAt -= h.settings.ConfigApplyTime + h.settings.ConfigApplyExtension
	_, err = h.Catalog()
	assert.Equal(t, errkind.Of(err).Kind, errkind.NoConfiguration)
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	h.setCatalog((&catalog.Catalog{Version: 3}).Index(), h.sinceBoot())
	h.setCatalog((&catalog.Catalog{Version: 2}).Index(), h.sinceBoot())
	assert.Equal(t, h.newestCatalog().Version, int64(3))
}

func TestLogLinesAreDroppedInsteadOfBlocking(t *testing.T) {
	for _, w := range []*lineWriter{newLineWriter(2, 100), newLineWriter(100, 2)} {
		for range 5 {
			n, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
			assert.Equal(t, n, 5)
		}
		assert.Equal(t, w.dropped.Load(), int64(3))
	}
}

var errTest = errors.New("test")

func TestRetryableErrorHasStatusAndRetryAfter(t *testing.T) {
	assert.Equal(t, errkind.Of(errTest).Kind, errkind.Internal)
	e := errkind.Of(retryableError(errkind.LogUnavailable, retryAfterSeconds, "why"))
	assert.Equal(t, errkind.PropertiesOf(e.Kind).Status, 503)
	assert.Equal(t, e.RetryAfterSeconds, retryAfterSeconds)
}

// advisor is a fake advisory service that returns tickets for one worker only.
type advisor struct {
	asked  atomic.Int64
	worker string
}

func (a *advisor) Advise(_ context.Context, request dispatch.AdviceRequest) ([]dispatch.Ticket, error) {
	a.asked.Add(1)
	return []dispatch.Ticket{{Worker: a.worker, Value: request.Step}}, nil
}

func TestAdvisedJobRunsOnTheWorkerThatTheServiceNames(t *testing.T) {
	log, a := memlog.New(), &advisor{worker: "w0"}
	hosts, w := runWith(t, 1, func(w *workers, name string) *Host {
		h := newHost(log, w, name)
		h.advisor = a
		return h
	})
	q := queue
	q.Advice = &catalog.Advice{Validity: 4 * time.Second}
	assert.NilError(t, hosts[0].Submit(t.Context(), &q, "org", submission("advised")))
	eventually(t, func() bool {
		state, err := hosts[0].State(t.Context(), &q, "org", "advised")
		return err == nil && state == job.Succeeded
	})
	assert.Assert(t, a.asked.Load() > 0)
	assert.Equal(t, len(w.starts), 2)
}

// Guards against callers who read or cancel the jobs of an organisation by way of a public queue, which
// takes no key.
func TestPublicQueueGivesNoAccessToJobsOfOtherQueues(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 1)
	ctx := context.Background()
	public := queue
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	held := submission("0000000000000001")
	held.Steps[0].Need.Accelerators = 9 // more than the worker has: the job never starts
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", held))
	_, err := hosts[0].State(ctx, &public, "", held.ID)
	assert.Equal(t, errkind.Of(err).Kind, errkind.JobUnknown)
	err = hosts[0].Cancel(ctx, &public, "", held.ID)
	assert.Equal(t, errkind.Of(err).Kind, errkind.JobUnknown)
	state, err := hosts[0].State(ctx, &queue, "org", held.ID)
	assert.NilError(t, err)
	assert.Equal(t, state, job.Pending)

	open := submission("0000000000000002")
	open.Steps[0].Need.Accelerators = 9
	assert.NilError(t, hosts[0].Submit(ctx, &public, "org", open))
	_, err = hosts[0].State(ctx, &public, "", open.ID)
	assert.NilError(t, err, "jobs of a public queue are public")
	assert.NilError(t, hosts[0].Submit(ctx, &public, "", open), "a repeated submission needs no key either")
}

// Guards against a caller who is told that its job was accepted, while the ID is that of another
// organisation's job.
func TestIDOfAnotherOrganisationsJobIsRefused(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 1)
	ctx := context.Background()
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", submission("0000000000000001")))
	err := hosts[0].Submit(ctx, &queue, "other", submission("0000000000000001"))
	assert.Equal(t, errkind.Of(err).Kind, errkind.RequestMismatch)
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", submission("0000000000000001")))
}
