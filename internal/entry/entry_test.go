package entry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

var queue = catalog.Queue{Name: "checks", Host: "a.example", Prefix: "/q/", Service: "service", Attempts: 3, Stretch: 1.5, Objective: time.Second}

// stillCatalog is a configuration that does not change.
type stillCatalog struct{ sent atomic.Bool }

func (s *stillCatalog) Next(ctx context.Context, wait time.Duration) (*catalog.Catalog, error) {
	if s.sent.Swap(true) {
		sleep(ctx, wait)
		return nil, nil
	}
	c := &catalog.Catalog{Version: 1, Queues: []catalog.Queue{queue}, Organisations: []catalog.Organisation{{Name: "org", Keys: []string{"key"}, Accelerators: 8}}}
	return c.Index(), nil
}

// workers run everything for a short while, whoever has the highest epoch.
type workers struct {
	mu     sync.Mutex
	epoch  int64
	runs   map[string]execution
	ended  []dispatch.EndedTask
	starts []string
}

type execution struct {
	run   int
	began time.Time
}

const workTime = 30 * time.Millisecond

func (w *workers) List(context.Context) ([]dispatch.WorkerInfo, error) {
	return []dispatch.WorkerInfo{{ID: "w0", Address: "192.0.2.1:1", Service: "service", Rack: "r0", Capacity: job.Resources{CPU: 64000, MemMB: 64000, Accelerators: 8}, Born: 1, ClockMs: 1}}, nil
}

func (w *workers) fenced(epoch int64) bool {
	w.epoch = max(w.epoch, epoch)
	return epoch < w.epoch
}

func (w *workers) Start(_ context.Context, s dispatch.Start, epoch int64) dispatch.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	w.runs[s.Task.String()] = execution{s.Run, time.Now()}
	w.starts = append(w.starts, s.Task.String())
	return dispatch.Accepted
}

func (w *workers) Stop(_ context.Context, _ dispatch.Stop, epoch int64) dispatch.Outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.Fenced
	}
	return dispatch.Accepted
}

func (w *workers) Hold(ctx context.Context, h dispatch.Hold, epoch int64) (dispatch.Report, dispatch.Outcome) {
	sleep(ctx, min(h.Wait, 10*time.Millisecond))
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(epoch) {
		return dispatch.Report{}, dispatch.Fenced
	}
	rep := dispatch.Report{Born: 1, ClockMs: 1}
	for name, e := range w.runs {
		if time.Since(e.began) > workTime {
			delete(w.runs, name)
			w.ended = append(w.ended, dispatch.EndedTask{Number: int64(len(w.ended) + 1), Task: name, Run: e.run, How: job.EndDone})
			continue
		}
		rep.Running = append(rep.Running, dispatch.RunningTask{Task: name, Run: e.run, Percent: 1})
	}
	for _, e := range w.ended {
		if e.Number > h.Ack {
			rep.Ended = append(rep.Ended, e)
		}
	}
	return rep, dispatch.Accepted
}

func newHost(log sharedlog.Log, w *workers, name string) *Host {
	return New(Settings{Host: name, ApplyWithin: 2 * time.Second, ApplyStretch: 5 * time.Second, MaxLease: 10 * time.Second, StopTime: 200 * time.Millisecond, KeepEnded: time.Minute, SpreadFactor: 3},
		Parts{Log: log, Catalog: &stillCatalog{}, List: w, Workers: w, Out: logr.Discard()})
}

// run starts hosts and stops them at the end of the test.
func run(t *testing.T, log sharedlog.Log, n int) ([]*Host, *workers) {
	t.Helper()
	return runWith(t, n, func(w *workers, name string) *Host { return newHost(log, w, name) })
}

func runWith(t *testing.T, n int, make func(w *workers, name string) *Host) ([]*Host, *workers) {
	t.Helper()
	w := &workers{runs: map[string]execution{}}
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var hosts []*Host
	for i := range n {
		h := make(w, fmt.Sprintf("host-%d", i))
		hosts = append(hosts, h)
		wait.Go(func() { assert.Check(t, h.Run(ctx)) })
	}
	t.Cleanup(func() { cancel(); wait.Wait() })
	for _, h := range hosts {
		eventually(t, func() bool { return h.Ready() })
	}
	return hosts, w
}

func eventually(t *testing.T, f func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	t.Fatal("it did not come true in 15 s")
}

func submission(id string) *job.Job {
	return &job.Job{ID: id, Payload: "text", Steps: []job.Step{{Count: 2, Need: job.Resources{CPU: 1000, MemMB: 1000, Accelerators: 1}, Estimate: workTime}}}
}

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

// The load: callers ask as soon as their job's last task has ended, which is before its end
// is in the log, and again only a while later.
func TestQuestionAskedJustBeforeTheEndIsAnsweredWithIt(t *testing.T) {
	for name, paused := range map[string]bool{"standby": false, "holder of the role": true} {
		t.Run(name, func(t *testing.T) {
			ctx, log := t.Context(), memlog.New()
			h := newHost(log, &workers{}, "host")
			j := submission("0000000000000001")
			j.Org = "org"
			rec, err := ledger.JobRecord(j)
			assert.NilError(t, err)
			_, err = log.Append(ctx, ledger.TopicsJobs[0], []sharedlog.Record{rec}, sharedlog.AppendOptions{})
			assert.NilError(t, err)
			for _, f := range append(h.jobs, h.state) {
				assert.NilError(t, f.load(ctx))
				assert.NilError(t, f.step(ctx, 0))
			}
			if paused {
				h.state.leaveToHolder()
			} else {
				following, stop := context.WithCancel(ctx)
				var wait sync.WaitGroup
				wait.Go(func() { assert.Check(t, h.state.run(following)) })
				t.Cleanup(func() { stop(); wait.Wait() })
			}
			time.AfterFunc(stateWait/4, func() {
				end, err := ledger.EndRecord(j.ID, ledger.Ended{State: job.Succeeded, AtMs: 1})
				assert.Check(t, err)
				at, err := log.Append(ctx, ledger.TopicState, []sharedlog.Record{end}, sharedlog.AppendOptions{})
				assert.Check(t, err)
				if paused {
					h.state.ingest(at, []sharedlog.Record{end}, at+1)
				}
			})
			state, err := h.State(ctx, &queue, "org", j.ID)
			assert.NilError(t, err)
			assert.Equal(t, state, job.Succeeded)
		})
	}
}

// The fault: the log answers a repeated epoch and sequence as it did the first time.
func TestOnlyOneHostWinsAnEpoch(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 8)
	leading := func() int {
		n := 0
		for _, h := range hosts {
			if h.role.isLeading() {
				n++
			}
		}
		return n
	}
	eventually(t, func() bool { return leading() > 0 })
	time.Sleep(2 * rankSpread)
	assert.Equal(t, leading(), 1)
	assert.Equal(t, hosts[0].ledger.Role().Epoch, int64(1))
}

// The fault: two hosts append their claims of one epoch at the same time.
func TestOneOfTwoClaimsAtOnceWins(t *testing.T) {
	log := memlog.New()
	var meet sync.WaitGroup
	meet.Add(2)
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if call == "append" && topic == ledger.TopicState {
			meet.Done()
			meet.Wait()
		}
		return nil
	})
	var won atomic.Int64
	var claims sync.WaitGroup
	for i := range 2 {
		h := newHost(log, &workers{}, fmt.Sprintf("host-%d", i))
		h.setCatalog((&catalog.Catalog{Version: 1}).Index())
		for _, f := range append(h.jobs, h.state) {
			assert.NilError(t, f.load(context.Background()))
			assert.NilError(t, f.step(context.Background(), 0))
		}
		h.role.seenAt = time.Now().Add(-time.Minute)
		claims.Go(func() {
			if _, ok := h.role.claim(context.Background()); ok {
				won.Add(1)
			}
		})
	}
	claims.Wait()
	assert.Equal(t, won.Load(), int64(1))
}

// The fault: the partitions of submissions are away while that of tasks is not. A host that
// took over then would not know what the recorded tasks take.
func TestHostThatDoesNotKnowTheJobsOfTasksDoesNotClaim(t *testing.T) {
	log := memlog.New()
	h := newHost(log, &workers{runs: map[string]execution{}}, "host")
	h.setCatalog((&catalog.Catalog{Version: 1}).Index())
	ctx := context.Background()
	j := submission("0000000000000001")
	running, err := ledger.TaskRecord(job.TaskID{Job: j.ID}, job.TaskRecord{Run: 1, Worker: "w0", Born: 1, Active: true})
	assert.NilError(t, err)
	_, err = log.Append(ctx, ledger.TopicState, []sharedlog.Record{running}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	for _, f := range append(h.jobs, h.state) {
		assert.NilError(t, f.load(ctx))
		assert.NilError(t, f.step(ctx, 0))
	}
	h.role.seenAt, h.role.seen = time.Now().Add(-time.Minute), h.ledger.Changes()
	_, ok := h.role.claim(ctx)
	assert.Assert(t, !ok)

	submitted, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	_, err = log.Append(ctx, ledger.TopicsJobs[2], []sharedlog.Record{submitted}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	h.role.seenAt, h.role.seen = time.Now().Add(-time.Minute), h.ledger.Changes()
	_, ok = h.role.claim(ctx)
	assert.Assert(t, ok)
}

// The fault: a job's submission is read after its tasks' records.
func TestJobThatIsReadLateKeepsItsTasks(t *testing.T) {
	w := &workers{runs: map[string]execution{}}
	h := newHost(memlog.New(), w, "host")
	j := submission("0000000000000001")
	j.Service = "service"
	for i := range j.Steps[0].Count {
		r, err := ledger.TaskRecord(job.TaskID{Job: j.ID, Index: i}, job.TaskRecord{Run: 1, Worker: "w0", Born: 1, Active: true})
		assert.NilError(t, err)
		h.fold([]sharedlog.Record{r})
	}
	d := newDecider(h, sharedlog.Fence{Epoch: 1}, 0)
	d.restore()
	submitted, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	h.fold([]sharedlog.Record{submitted})
	d.takeJobs()
	assert.Equal(t, len(d.core.TakeActions(d.now()).Starts), 0)
	assert.Assert(t, d.core.TakeBatch() == nil, "nothing is placed")
}

// The fault: the first partition of submissions is away; others are not.
func TestSubmissionGoesToAPartitionThatTakesIt(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 2)
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if topic == ledger.TopicsJobs[hosts[1].writer.usual] && call == "append" {
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

// The fault: the partition that is tried first takes calls and does not answer.
func TestSilentPartitionHoldsNoSubmission(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 1)
	silent := make(chan struct{})
	t.Cleanup(func() { close(silent) })
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if topic == ledger.TopicsJobs[hosts[0].writer.usual] && call == "append" {
			<-silent
			return sharedlog.ErrUnknown
		}
		return nil
	})
	for i := range 2 * maxAppends {
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

// The fault: answers to appends are lost, after the records are in the log.
func TestLostAnswersOfAppendsLoseAndDoubleNothing(t *testing.T) {
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

// The fault: a zone that is cut off from the log. Its hosts leave the balancer's view soon,
// so that callers are sent to other zones, and are back as soon as the log answers.
func TestHostThatTheLogRefusesIsNotReady(t *testing.T) {
	log := memlog.New()
	source := &stillCatalog{}
	h := newHost(log, &workers{runs: map[string]execution{}}, "host")
	h.source = source
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { assert.Check(t, h.Run(ctx)) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	eventually(t, h.Ready)
	began := time.Now()
	log.SetFault(func(string, sharedlog.Topic) error { return sharedlog.ErrRefused })
	eventually(t, func() bool { return !h.Ready() })
	assert.Assert(t, time.Since(began) < readyAge)
	log.SetFault(nil)
	eventually(t, h.Ready)
}

// The fault: the log is away for longer than a holder may be silent, and comes back. The
// holder, which is well, keeps the role.
func TestHolderKeepsTheRoleOverAnOutageOfTheLog(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 3)
	eventually(t, func() bool { return hosts[0].ledger.Role().Epoch > 0 })
	holder := hosts[0].ledger.Role().Holder
	log.SetFault(func(string, sharedlog.Topic) error { return sharedlog.ErrRefused })
	time.Sleep(silence + time.Second)
	log.SetFault(nil)
	eventually(t, func() bool { return hosts[0].Ready() && hosts[1].Ready() && hosts[2].Ready() })
	time.Sleep(backTime + rankSpread)
	for _, h := range hosts {
		assert.Equal(t, h.ledger.Role().Epoch, int64(1))
		assert.Equal(t, h.ledger.Role().Holder, holder)
	}
}

func TestUnknownJobIsToldOnlyAfterReadingToTheEnd(t *testing.T) {
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

func TestPlannedStopHandsTheRoleOverAtOnce(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 2)
	var leader, other *Host
	eventually(t, func() bool {
		for i, h := range hosts {
			if h.role.isLeading() {
				leader, other = h, hosts[1-i]
				return true
			}
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	leader.Drain(ctx)
	assert.Assert(t, !leader.Ready())
	assert.Assert(t, leader.ledger.Role().Released || leader.ledger.Role().Holder == other.set.Host)
	eventually(t, func() bool { return other.role.isLeading() })
	assert.Equal(t, other.role.unheard, time.Duration(0))
}

// cutWorkers cannot be reached from one host while cut.
type cutWorkers struct {
	*workers
	cut atomic.Bool
}

func (w *cutWorkers) Start(ctx context.Context, s dispatch.Start, epoch int64) dispatch.Outcome {
	if w.cut.Load() {
		return dispatch.NoConnection
	}
	return w.workers.Start(ctx, s, epoch)
}

func (w *cutWorkers) Hold(ctx context.Context, h dispatch.Hold, epoch int64) (dispatch.Report, dispatch.Outcome) {
	if w.cut.Load() {
		return dispatch.Report{}, dispatch.NoConnection
	}
	return w.workers.Hold(ctx, h, epoch)
}

// The fault: the holder's zone is cut off from the workers, and the log is not.
func TestHolderThatWorkersDoNotAnswerGivesTheRoleUp(t *testing.T) {
	log := memlog.New()
	links := map[*Host]*cutWorkers{}
	hosts, w := runWith(t, 2, func(w *workers, name string) *Host {
		link := &cutWorkers{workers: w}
		h := newHost(log, w, name)
		h.workers = link
		links[h] = link
		return h
	})
	ctx := context.Background()
	leader := func() *Host {
		for _, h := range hosts {
			if h.role.isLeading() {
				return h
			}
		}
		return nil
	}
	eventually(t, func() bool { return leader() != nil })
	first := leader()
	links[first].cut.Store(true)
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", submission("0000000000000001")))
	eventually(t, func() bool {
		state, err := hosts[1].State(ctx, &queue, "org", "0000000000000001")
		return err == nil && state == job.Succeeded
	})
	assert.Assert(t, leader() != first)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.starts), 2)
}

func TestCancelledJobIsShownAsCancelledAfterARestartOfAll(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 1)
	ctx := context.Background()
	long := submission("0000000000000001")
	long.Steps[0].Need.Accelerators = 9 // it never fits
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", long))
	assert.NilError(t, hosts[0].Cancel(ctx, &queue, "org", long.ID))
	again, _ := run(t, log, 1)
	state, err := again[0].State(ctx, &queue, "org", long.ID)
	assert.NilError(t, err)
	assert.Equal(t, state, job.Cancelled)
}

func TestEndedJobsThatNeedNotBeShownLeaveTheLog(t *testing.T) {
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
		h.fold([]sharedlog.Record{r})
	}
	assert.NilError(t, h.state.load(ctx))
	d := newDecider(h, sharedlog.Fence{Epoch: 1}, 0)
	d.sweptAt = time.Time{}
	d.sweep(ctx)
	(<-d.events)(d.now())
	d.append(ctx)
	(<-d.events)(d.now())
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
	h.setCatalog(c.Index())
	_, err = h.Catalog()
	assert.NilError(t, err)
	h.catalogAt = time.Now().Add(-h.set.ApplyWithin - h.set.ApplyStretch)
	_, err = h.Catalog()
	assert.Equal(t, errkind.Of(err).Kind, errkind.NoConfiguration)
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	h.setCatalog((&catalog.Catalog{Version: 3}).Index())
	h.setCatalog((&catalog.Catalog{Version: 2}).Index())
	assert.Equal(t, h.newest().Version, int64(3))
}

func TestLogLinesAreDroppedNotWaitedFor(t *testing.T) {
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

func TestRefusalsSayWhenToComeBack(t *testing.T) {
	assert.Equal(t, errkind.Of(errTest).Kind, errkind.Internal)
	e := errkind.Of(retryLater(errkind.LogUnavailable, comeBack, "why"))
	assert.Equal(t, errkind.AnswerFor(e.Kind).Status, 503)
	assert.Equal(t, e.RetryAfterSeconds, comeBack)
}
