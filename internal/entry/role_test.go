package entry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// The log answers a repeated epoch and sequence number as it did the first time: if hosts claimed
// an epoch with the same sequence number, all of their claims would appear to succeed.
func TestOnlyOneHostWinsAnEpoch(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 8)
	leaders := func() int {
		n := 0
		for _, h := range hosts {
			if h.role.isLeading() {
				n++
			}
		}
		return n
	}
	eventually(t, func() bool { return leaders() > 0 })
	time.Sleep(2 * claimSpread)
	assert.Equal(t, leaders(), 1)
	assert.Equal(t, hosts[0].ledger.Role().Epoch, int64(1))
}

// Two hosts append their claims of the same epoch at the same time.
func TestOnlyOneOfTwoConcurrentClaimsWins(t *testing.T) {
	log := memlog.New()
	var barrier sync.WaitGroup
	barrier.Add(2)
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if call == "append" && topic == ledger.TopicState {
			barrier.Done()
			barrier.Wait()
		}
		return nil
	})
	var won atomic.Int64
	var claims sync.WaitGroup
	for i := range 2 {
		h := newHost(log, &workers{}, fmt.Sprintf("host-%d", i))
		h.setCatalog((&catalog.Catalog{Version: 1}).Index(), h.sinceBoot())
		for _, reader := range append(h.jobReaders, h.stateReader) {
			assert.NilError(t, reader.loadNewest(context.Background()))
			assert.NilError(t, reader.readOnce(context.Background(), 0))
		}
		h.role.noRecordSince = time.Now().Add(-time.Minute)
		claims.Go(func() {
			if _, ok := h.role.claim(context.Background()); ok {
				won.Add(1)
			}
		})
	}
	claims.Wait()
	assert.Equal(t, won.Load(), int64(1))
}

// hostWithAnUnknownJob returns a host that has read the record of a task but not that of the
// task's job, and that job.
func hostWithAnUnknownJob(t *testing.T, log sharedlog.Log) (*Host, *job.Job) {
	t.Helper()
	h := newHost(log, &workers{runs: map[string]execution{}}, "host")
	h.setCatalog((&catalog.Catalog{Version: 1}).Index(), h.sinceBoot())
	j := submission("0000000000000001")
	running, err := ledger.TaskRecord(job.TaskID{Job: j.ID}, job.TaskRecord{Run: 1, Worker: "w0", Incarnation: 1, Active: true})
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), ledger.TopicState, []sharedlog.Record{running}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	for _, reader := range append(h.jobReaders, h.stateReader) {
		assert.NilError(t, reader.loadNewest(t.Context()))
		assert.NilError(t, reader.readOnce(t.Context(), 0))
	}
	h.role.noRecordSince, h.role.seenRecords = time.Now().Add(-time.Minute), h.ledger.StateRecords()
	return h, j
}

// The job partitions are unavailable while the state topic is not. A host that took over then
// would not know which resources the recorded tasks use.
func TestHostThatDoesNotKnowTheJobsOfTasksDoesNotClaim(t *testing.T) {
	ctx, log := t.Context(), memlog.New()
	h, j := hostWithAnUnknownJob(t, log)
	_, ok := h.role.claim(ctx)
	assert.Assert(t, !ok)

	submitted, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	_, err = log.Append(ctx, ledger.TopicsJobs[2], []sharedlog.Record{submitted}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	h.role.noRecordSince, h.role.seenRecords = time.Now().Add(-time.Minute), h.ledger.StateRecords()
	_, ok = h.role.claim(ctx)
	assert.Assert(t, ok)
}

// Another host claims the role while this one reads the job topics to make sure that it knows
// all jobs. The other host's claim has been applied by then, and this host must not claim after
// it.
func TestHostDoesNotClaimAfterAConcurrentClaim(t *testing.T) {
	ctx, log := t.Context(), memlog.New()
	h, j := hostWithAnUnknownJob(t, log)
	submitted, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	_, err = log.Append(ctx, ledger.TopicsJobs[0], []sharedlog.Record{submitted}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	var once sync.Once
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if call == "read" && topic == ledger.TopicsJobs[0] {
			once.Do(func() {
				other, err := ledger.RoleRecord(ledger.Role{Epoch: 1, Holder: "other"})
				assert.Check(t, err)
				at, err := log.Append(ctx, ledger.TopicState, []sharedlog.Record{other}, sharedlog.AppendOptions{})
				assert.Check(t, err)
				h.stateReader.ingest(at, []sharedlog.Record{other}, at+1)
			})
		}
		return nil
	})
	_, ok := h.role.claim(ctx)
	assert.Assert(t, !ok)
	assert.Equal(t, h.ledger.Role().Holder, "other")
}

// A new leader reads a job's submission after the records of its tasks, which already run. It must
// not place them again.
func TestJobThatIsReadLateKeepsItsTasks(t *testing.T) {
	w := &workers{runs: map[string]execution{}}
	h := newHost(memlog.New(), w, "host")
	j := submission("0000000000000001")
	j.Service = "service"
	for i := range j.Steps[0].Count {
		r, err := ledger.TaskRecord(job.TaskID{Job: j.ID, Index: i}, job.TaskRecord{Run: 1, Worker: "w0", Incarnation: 1, Active: true})
		assert.NilError(t, err)
		h.applyRecords([]sharedlog.Record{r})
	}
	l := newLeader(h, sharedlog.Fence{Epoch: 1}, h.sinceBoot(), formerTimes{})
	l.restore()
	submitted, err := ledger.JobRecord(j)
	assert.NilError(t, err)
	h.applyRecords([]sharedlog.Record{submitted})
	l.addNewJobs()
	assert.Equal(t, len(l.core.TakeActions(l.now()).Starts), 0)
	assert.Assert(t, l.core.TakeBatch() == nil, "a restored task was placed again")
}

// The log is unavailable for longer than leaderTimeout and then recovers. The leader, which is
// healthy, keeps the role.
func TestLeaderKeepsTheRoleThroughALogOutage(t *testing.T) {
	log := memlog.New()
	hosts, _ := run(t, log, 3)
	eventually(t, func() bool { return hosts[0].ledger.Role().Epoch > 0 })
	leaderName := hosts[0].ledger.Role().Holder
	log.SetFault(func(string, sharedlog.Topic) error { return sharedlog.ErrRefused })
	time.Sleep(leaderTimeout + time.Second)
	log.SetFault(nil)
	eventually(t, func() bool { return hosts[0].Ready() && hosts[1].Ready() && hosts[2].Ready() })
	time.Sleep(recoveryGrace + claimSpread)
	for _, h := range hosts {
		assert.Equal(t, h.ledger.Role().Epoch, int64(1))
		assert.Equal(t, h.ledger.Role().Holder, leaderName)
	}
}

func TestPlannedStopHandsTheRoleOverAtOnce(t *testing.T) {
	hosts, _ := run(t, memlog.New(), 2)
	var leaderHost, other *Host
	eventually(t, func() bool {
		for i, h := range hosts {
			if h.role.isLeading() {
				leaderHost, other = h, hosts[1-i]
				return true
			}
		}
		return false
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	leaderHost.Drain(ctx)
	assert.Assert(t, !leaderHost.Ready())
	assert.Assert(t, leaderHost.ledger.Role().Released || leaderHost.ledger.Role().Holder == other.settings.Host)
	eventually(t, func() bool { return other.role.isLeading() })
	assert.Equal(t, other.role.former.renewals, time.Duration(0))
}

// unreachableWorkers makes the workers unreachable from one host while unreachable is set.
type unreachableWorkers struct {
	*workers
	unreachable atomic.Bool
}

func (w *unreachableWorkers) Start(ctx context.Context, s dispatch.Start, epoch int64) dispatch.Outcome {
	if w.unreachable.Load() {
		return dispatch.NoConnection
	}
	return w.workers.Start(ctx, s, epoch)
}

func (w *unreachableWorkers) Probe(ctx context.Context, p dispatch.Probe, epoch int64) (dispatch.WorkerReport, dispatch.Outcome) {
	if w.unreachable.Load() {
		return dispatch.WorkerReport{}, dispatch.NoConnection
	}
	return w.workers.Probe(ctx, p, epoch)
}

// The leader's zone is partitioned from the workers but not from the log.
func TestLeaderThatWorkersDoNotAnswerGivesUpTheRole(t *testing.T) {
	log := memlog.New()
	workersByHost := map[*Host]*unreachableWorkers{}
	hosts, w := runWith(t, 2, func(w *workers, name string) *Host {
		hostWorkers := &unreachableWorkers{workers: w}
		h := newHost(log, w, name)
		h.workers = hostWorkers
		workersByHost[h] = hostWorkers
		return h
	})
	ctx := context.Background()
	leaderHost := func() *Host {
		for _, h := range hosts {
			if h.role.isLeading() {
				return h
			}
		}
		return nil
	}
	eventually(t, func() bool { return leaderHost() != nil })
	first := leaderHost()
	workersByHost[first].unreachable.Store(true)
	assert.NilError(t, hosts[0].Submit(ctx, &queue, "org", submission("0000000000000001")))
	eventually(t, func() bool {
		state, err := hosts[1].State(ctx, &queue, "org", "0000000000000001")
		return err == nil && state == job.Succeeded
	})
	assert.Assert(t, leaderHost() != first)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.starts), 2)
}

// listOfOthers fails to list the workers for the host that asks first.
type listOfOthers struct {
	*workers
	host  string
	first *atomic.Pointer[string]
}

func (l listOfOthers) List(ctx context.Context) ([]dispatch.WorkerInfo, error) {
	l.first.CompareAndSwap(nil, &l.host)
	if *l.first.Load() == l.host {
		return nil, sharedlog.ErrUnknown
	}
	return l.workers.List(ctx)
}

// The leader can append to the log, but the list of workers does not reach it.
func TestLeaderWithoutAListOfWorkersGivesUpTheRole(t *testing.T) {
	log, first := memlog.New(), &atomic.Pointer[string]{}
	hosts, _ := runWith(t, 2, func(w *workers, name string) *Host {
		h := newHost(log, w, name)
		h.workerList = listOfOthers{w, name, first}
		return h
	})
	assert.NilError(t, hosts[1].Submit(context.Background(), &queue, "org", submission("0000000000000001")))
	eventually(t, func() bool {
		state, err := hosts[1].State(context.Background(), &queue, "org", "0000000000000001")
		return err == nil && state == job.Succeeded
	})
	assert.Assert(t, hosts[0].ledger.Role().Holder != *first.Load())
}

// directSuccessors calls the hosts of a test directly, without the network.
type directSuccessors struct{ hosts atomic.Pointer[[]*Host] }

func (d *directSuccessors) AskSuccessor(_ context.Context, epoch int64, holder string) bool {
	for _, h := range *d.hosts.Load() {
		if h.settings.Host != holder && h.TakeOver(epoch, holder) == nil {
			return true
		}
	}
	return false
}

// refusingLog refuses the appends of one host while refuses is set.
type refusingLog struct {
	sharedlog.Log
	refuses atomic.Bool
}

func (l *refusingLog) Append(ctx context.Context, t sharedlog.Topic, records []sharedlog.Record, opt sharedlog.AppendOptions) (int64, error) {
	if l.refuses.Load() {
		return 0, sharedlog.ErrRefused
	}
	return l.Log.Append(ctx, t, records, opt)
}

// The log refuses the leader's appends and serves the other hosts. A successor takes over
// before leaderTimeout has passed.
func TestLeaderThatTheLogRefusesFindsASuccessor(t *testing.T) {
	log := memlog.New()
	logsByHost := map[string]*refusingLog{}
	successors := &directSuccessors{}
	hosts, _ := runWith(t, 3, func(w *workers, name string) *Host {
		hostLog := &refusingLog{Log: log}
		h := newHost(hostLog, w, name)
		logsByHost[name] = hostLog
		h.SetSuccessors(successors)
		return h
	})
	successors.hosts.Store(&hosts)
	eventually(t, func() bool {
		return hosts[0].ledger.Role().Epoch == 1 && hosts[1].ledger.Role().Epoch == 1 && hosts[2].ledger.Role().Epoch == 1
	})
	logsByHost[hosts[0].ledger.Role().Holder].refuses.Store(true)
	began := time.Now()
	eventually(t, func() bool { return hosts[0].ledger.Role().Epoch == 2 || hosts[1].ledger.Role().Epoch == 2 })
	assert.Assert(t, time.Since(began) < leaderTimeout, "the successor took over only after %v", time.Since(began))
}

// claimingHost returns a host that may claim the role after the given record of it.
func claimingHost(t *testing.T, log sharedlog.Log, former ledger.Role) *Host {
	t.Helper()
	rec, err := ledger.RoleRecord(former)
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), ledger.TopicState, []sharedlog.Record{rec}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	h := newHost(log, &workers{}, "host")
	h.setCatalog((&catalog.Catalog{Version: 1}).Index(), h.sinceBoot())
	for _, reader := range append(h.jobReaders, h.stateReader) {
		assert.NilError(t, reader.loadNewest(t.Context()))
		assert.NilError(t, reader.readOnce(t.Context(), 0))
	}
	h.role.seenRecords, h.role.noRecordSince = h.ledger.StateRecords(), time.Now().Add(-time.Minute)
	return h
}

// lostAnswerLog loses the answer to the first append to the state topic, which takes effect.
type lostAnswerLog struct {
	sharedlog.Log
	lost atomic.Bool
}

func (l *lostAnswerLog) Append(ctx context.Context, t sharedlog.Topic, records []sharedlog.Record, opt sharedlog.AppendOptions) (int64, error) {
	at, err := l.Log.Append(ctx, t, records, opt)
	if t == ledger.TopicState && opt.Fence != nil && !l.lost.Swap(true) {
		return 0, sharedlog.ErrUnknown
	}
	return at, err
}

// Guards against a host that takes its own claim, whose answer was lost, for proof that the leader before
// it has stopped: that leader may still renew leases on workers that the new one does not reach.
func TestLostAnswerToAClaimDoesNotEndTheFormerLeadersRenewals(t *testing.T) {
	log := &lostAnswerLog{Log: memlog.New()}
	began := time.Now() // before the former leader's last record
	h := claimingHost(t, log, ledger.Role{Epoch: 1, Holder: "former"})
	_, ok := h.role.claim(t.Context())
	assert.Assert(t, !ok)
	_, ok = h.role.claim(t.Context())
	assert.Assert(t, ok)
	assert.Equal(t, h.ledger.Role().Epoch, int64(3))
	assert.Assert(t, h.role.former.renewals >= maxTimeWithoutLog-time.Since(began), "%v", h.role.former.renewals)
}

// Guards against tasks of lost workers that wait for renewals of a leader that has ended: these are bounded by its
// last record, however late the claim of its successor.
func TestRenewalTimeOfTheFormerLeaderCountsFromItsLastRecord(t *testing.T) {
	clock := &pausableClock{}
	for _, former := range []ledger.Role{
		{Epoch: 1, Holder: "former"},
		{Epoch: 1, Holder: "former", Released: true, FormerRenewalMs: 3000},
	} {
		h := claimingHost(t, memlog.New(), former)
		h.sinceBoot = clock.now
		for _, silence := range []time.Duration{3 * time.Second, maxTimeWithoutLog} {
			left := h.role.renewalTimeAfter(former)
			clock.skip(silence)
			assert.Assert(t, h.role.renewalTimeAfter(former) <= max(0, left-silence), "%v after %v", h.role.renewalTimeAfter(former), silence)
		}
		assert.Equal(t, h.role.renewalTimeAfter(former), time.Duration(0))
	}
}

// Guards against a leader that gives up the role, or restarts, within the renewal time of the leader before
// it: the next one has to wait for what is left of it.
func TestRenewalTimeOfEarlierLeadersOutlivesAShortLeader(t *testing.T) {
	for _, former := range []ledger.Role{
		{Epoch: 2, Holder: "short", Released: true, FormerRenewalMs: 3000},
		{Epoch: 2, Holder: "host", Incarnation: 7, FormerRenewalMs: 3000},
	} {
		h := claimingHost(t, memlog.New(), former)
		_, ok := h.role.claim(t.Context())
		assert.Assert(t, ok)
		assert.Equal(t, h.role.former.renewals, 3*time.Second)
	}
}

// Guards against renewals that are not waited for: the leader wrote a record just before it asked this host to take
// over.
func TestTakeoverOnRequestCountsTheLeadersNewestRecord(t *testing.T) {
	clock, former := &pausableClock{}, ledger.Role{Epoch: 1, Holder: "former"}
	h := claimingHost(t, memlog.New(), former)
	h.sinceBoot = clock.now
	clock.skip(maxTimeWithoutLog)
	rec, err := ledger.RoleRecord(former)
	assert.NilError(t, err)
	assert.NilError(t, h.ledger.Apply([]sharedlog.Record{rec}))
	h.role.claimSoon()
	assert.Assert(t, h.role.shouldClaim())
	assert.Assert(t, h.role.renewalTimeAfter(former) > maxTimeWithoutLog-time.Second, "%v", h.role.renewalTimeAfter(former))
}

func TestRoleRecordsCountTheRenewalTimeOfFormerLeadersDown(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	l := newLeader(h, sharedlog.Fence{Epoch: 2}, h.sinceBoot(), formerTimes{renewals: maxTimeWithoutLog})
	for _, elapsed := range []time.Duration{0, 2 * time.Second, time.Minute} {
		l.startedAt = time.Now().Add(-elapsed)
		rec, err := l.roleRecord(true)
		assert.NilError(t, err)
		view := ledger.New()
		assert.NilError(t, view.Apply([]sharedlog.Record{rec}))
		left := time.Duration(view.Role().FormerRenewalMs) * time.Millisecond
		assert.Assert(t, left <= max(0, maxTimeWithoutLog-elapsed) && left > maxTimeWithoutLog-elapsed-3*time.Second, "%v after %v", left, elapsed)
	}
}

// Guards against a process that ends while its claim of the role is in flight, and so leaves the role to a host that
// is gone.
func TestHostStoppedDuringItsClaimReleasesTheRole(t *testing.T) {
	log := memlog.New()
	claimSent, proceed := make(chan struct{}), make(chan struct{})
	var once sync.Once
	log.SetFault(func(call string, topic sharedlog.Topic) error {
		if call == "append" && topic == ledger.TopicState {
			once.Do(func() { close(claimSent); <-proceed })
		}
		return nil
	})
	hosts, _ := run(t, log, 1)
	<-claimSent
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		hosts[0].Drain(context.Background())
	}()
	select {
	case <-drained:
		t.Error("the host was drained while its claim was in flight")
	case <-time.After(2 * claimCheckInterval):
	}
	close(proceed)
	<-drained
	role := hosts[0].ledger.Role()
	assert.Equal(t, role.Epoch, int64(1))
	assert.Assert(t, role.Released)
}
