package scheduler

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-logr/logr/testr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
	"agatewinch/internal/wire"
)

const zone = core.ZoneID("kr-a")

// cluster runs one zone's schedulers with a shared log and shared workers.
type cluster struct {
	t       *testing.T
	log     *fakelog.Log
	backend *fakeBackend

	mu    sync.Mutex
	nodes map[string]*node
	// partitioned keeps the schedulers from receiving each other's heartbeats.
	partitioned bool
}

type node struct {
	*Scheduler
	cluster     *cluster
	log         *fakelog.Link
	backendLink *backendLink
	cancel      context.CancelFunc
	done        chan struct{}
}

// backendLink connects one scheduler to the workers until the link is cut.
type backendLink struct {
	*fakeBackend
	cut atomic.Bool
}

func (l *backendLink) Do(ctx context.Context, addr string, b platform.Batch) ([]platform.OpResult, error) {
	if l.cut.Load() {
		return nil, platform.ErrNotApplied
	}
	return l.fakeBackend.Do(ctx, addr, b)
}

func (l *backendLink) Renew(ctx context.Context, addr string, req platform.RenewRequest) (platform.RenewReply, error) {
	if l.cut.Load() {
		return platform.RenewReply{}, platform.ErrNotApplied
	}
	return l.fakeBackend.Renew(ctx, addr, req)
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, log: fakelog.New(), backend: newFakeBackend("w1", "w2"), nodes: map[string]*node{}}
	worker := func(name string) config.Worker {
		return config.Worker{Name: name, CPU: 8, Memory: "8GiB", Accelerators: 8, Slots: 8}
	}
	set := config.Set{
		Organisations: []config.Organisation{{Name: "haneul"}},
		Classes:       []config.Class{{Name: "check"}},
		Keys:          []config.Key{{Name: "ops", Role: config.RoleOperator, SHA256: config.HashKey("ops")}},
		Racks:         []config.Rack{{Name: "r1", Zone: string(zone), Workers: []config.Worker{worker("w1"), worker("w2")}}},
	}
	follower := config.NewFollower(c.log)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = follower.Run(ctx) }()
	_, err := follower.Apply(ctx, config.Proposal{Set: &set})
	assert.NilError(t, err)
	return c
}

func (c *cluster) start(host string) *node { return newNode(c, host, zone) }

func newNode(c *cluster, host string, zone core.ZoneID) *node {
	opts := DefaultOptions(host, zone, core.Options{Zone: zone, Policy: core.PolicyFIFO, LeaseTTL: time.Second, ReserveTTL: 500 * time.Millisecond, MaxQueued: 100})
	opts.Journal.Linger = time.Millisecond
	e := &opts.Election
	e.RenewInterval, e.PollInterval, e.StaleAfter, e.LogTimeout, e.RankDelay, e.InitialListen = 20*time.Millisecond, 10*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	n := &node{cluster: c, log: &fakelog.Link{Log: c.log}, backendLink: &backendLink{fakeBackend: c.backend}, done: make(chan struct{})}
	n.Scheduler = New(opts, testr.New(c.t).WithValues("host", host), n.log, n.backendLink, n.backendLink)
	n.SetPeers(n)
	ctx, cancel := context.WithCancel(c.t.Context())
	n.cancel = cancel
	c.mu.Lock()
	c.nodes[host] = n
	c.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	c.t.Cleanup(n.kill)
	return n
}

// kill ends a scheduler without a handover, as a crash does.
func (n *node) kill() {
	n.log.Disconnected.Store(true)
	n.backendLink.cut.Store(true)
	n.cluster.mu.Lock()
	delete(n.cluster.nodes, n.opts.Host)
	n.cluster.mu.Unlock()
	n.cancel()
	<-n.done
}

func (n *node) LivePeers(zone core.ZoneID) []wire.Heartbeat {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []wire.Heartbeat
	for host, other := range n.cluster.nodes {
		if host != n.opts.Host && other.opts.Zone == zone && !n.cluster.partitioned {
			out = append(out, other.Heartbeat())
		}
	}
	return out
}

func (n *node) HandleHeartbeat(wire.Heartbeat) wire.Heartbeat { return n.Heartbeat() }

// eventually waits until cond holds.
func (c *cluster) eventually(what string, cond func() bool) {
	c.t.Helper()
	poll.WaitOn(c.t, func(poll.LogT) poll.Result {
		if cond() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// waitServing waits until n is the leader and sees both workers.
func (c *cluster) waitServing(n *node) {
	c.t.Helper()
	c.eventually("the scheduler is the leader and has 16 free accelerators", func() bool {
		return n.serving.Load() && n.stats.Load().FreeAccelerators == 16
	})
}

// waitActive waits until n is the leader.
func (c *cluster) waitActive(n *node) {
	c.t.Helper()
	c.eventually("the scheduler is the leader", n.serving.Load)
}

func submission(request string, idempotent, waiting bool) wire.Submit {
	s := wire.Submit{Digest: 5, Job: core.Job{
		ID: core.MakeJobID("haneul", core.RequestID(request)), Request: core.RequestID(request), Org: "haneul", Caller: "c", Class: "check",
		Shape: core.Shape{Cells: 2, CellSize: 8, CPU: 1}, Declared: time.Second, Idempotent: idempotent, Logged: !idempotent || !waiting, Waiting: waiting,
	}}
	if waiting {
		s.Wait = 20 * time.Second
	}
	return s
}

func (n *node) submit(t *testing.T, req wire.Submit) (wire.JobReply, error) {
	t.Helper()
	return n.handleSubmit(t.Context(), req)
}

func TestGangRunsAndItsOutcomeReachesTheLog(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	req := submission("r1", false, false)
	reply, err := n.submit(t, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.Outcome == nil)
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
	c.backend.finishAll()
	reply, err = n.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	c.eventually("the outcome is in the log", func() bool {
		e, ok := n.journal.Lookup(req.Job.ID)
		return ok && !e.Live()
	})
}

func TestStandbyAnswersASubmissionWithNoScheduler(t *testing.T) {
	c := newCluster(t)
	c.waitServing(c.start("h1"))
	standby := c.start("h2")
	_, err := standby.submit(t, submission("r1", true, true))
	assert.Assert(t, errkind.Is(err, errkind.NoScheduler))
}

func TestNewLeaderAdoptsARunningGangWithoutARestart(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	second := c.start("h2")
	req := submission("r1", false, false)
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
	first.kill()
	c.waitActive(second)
	c.eventually("the job is adopted as running", func() bool {
		reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID})
		return err == nil && reply.State == core.Running
	})
	c.backend.finishAll()
	reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	assert.Equal(t, c.backend.startsOf(req.Job.ID), 2)
}

func TestNewLeaderReceivesTheTaskEndThatTheFormerLeaderMissed(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	req := submission("r1", false, false)
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
	first.kill()
	c.backend.finishAll()
	second := c.start("h2")
	c.waitActive(second)
	reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	assert.Equal(t, c.backend.startsOf(req.Job.ID), 2)
}

func TestAcceptedQueuedJobStartsUnderTheNewLeader(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	c.backend.change("w1", func(w *fakeWorker) { w.leaving = true })
	c.eventually("the leader places nothing on w1", func() bool { return first.stats.Load().FreeAccelerators == 8 })
	req := submission("r1", false, false)
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	first.kill()
	c.backend.change("w1", func(w *fakeWorker) { w.leaving = false })
	second := c.start("h2")
	c.waitActive(second)
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
}

// The leader ends between the record of a placement and its first start. Nobody can tell the new
// leader that no task ran, so that a job that is not idempotent ends as unknown and never starts.
func TestJobWithARecordedPlacementIsUnknownUnderTheNewLeader(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	c.backend.change("w1", func(w *fakeWorker) { w.leaving = true }) // the leader does not know yet
	req := submission("r1", false, false)
	before := len(c.log.Records(platform.StreamJobs))
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	c.eventually("the placement is recorded", func() bool { return len(c.log.Records(platform.StreamJobs)) >= before+2 })
	first.kill()
	assert.Equal(t, c.backend.startsOf(req.Job.ID), 0)
	c.backend.change("w1", func(w *fakeWorker) { w.leaving = false })
	second := c.start("h2")
	c.waitActive(second)
	reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.Kind, errkind.OutcomeUnknown)
	assert.Equal(t, reply.Outcome.Ran, errkind.RanUnknown)
	assert.Equal(t, c.backend.startsOf(req.Job.ID), 0)
}

func TestRetryWithAnotherBodyIsRefused(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	req := submission("r1", false, false)
	_, err := n.submit(t, req)
	assert.NilError(t, err)
	req.Digest++
	_, err = n.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.RequestMismatch))
}

func TestJobThatNeedsTheLogIsRefusedAsNotRunWhileTheLogIsUnavailable(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	c.log.SetDown(true)
	c.eventually("the log counts as unavailable", func() bool { return !n.election.LogUp() })
	req := submission("r1", false, true)
	_, err := n.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds > 0)
	assert.Equal(t, c.backend.startsOf(req.Job.ID), 0)

	waiting := submission("r2", true, true)
	done := make(chan wire.JobReply, 1)
	go func() {
		reply, err := n.handleSubmit(t.Context(), waiting)
		assert.Check(t, err)
		done <- reply
	}()
	c.eventually("both tasks of the idempotent job started", func() bool { return c.backend.startsOf(waiting.Job.ID) == 2 })
	c.backend.finishAll()
	assert.Equal(t, (<-done).Outcome.State, core.Succeeded)
	c.log.SetDown(false)
}

func TestJobWhoseCallerStopsWaitingIsLoggedBeforeItIsAccepted(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	req := submission("r1", true, true)
	req.Wait = 50 * time.Millisecond
	reply, err := n.submit(t, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.Outcome == nil)
	e, ok := n.journal.Lookup(req.Job.ID)
	assert.Assert(t, ok && e.Live())

	c.log.SetDown(true)
	req = submission("r2", true, true)
	req.Wait = 50 * time.Millisecond
	_, err = n.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown))
}

func TestOutcomeOfALoggedJobIsWrittenOnceTheLogIsBack(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	req := submission("r1", false, false)
	_, err := n.submit(t, req)
	assert.NilError(t, err)
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
	c.log.SetDown(true)
	c.backend.finishAll()
	reply, err := n.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	c.log.SetDown(false)
	c.eventually("the outcome is in the log", func() bool {
		e, ok := n.journal.Lookup(req.Job.ID)
		return ok && !e.Live()
	})
}

func TestWorkerCountsAsLeavingBeforeTheHostListSaysSo(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	c.backend.change("w1", func(w *fakeWorker) { w.leaving = true })
	c.eventually("w1 counts as leaving", func() bool { return n.health(t, "w1") == core.WorkerLeaving })
}

// health returns the health that the scheduler reports for a worker.
func (n *node) health(t *testing.T, id core.WorkerID) core.WorkerHealth {
	t.Helper()
	reply, err := n.handleStatus(t.Context(), wire.Empty{})
	assert.NilError(t, err)
	for _, w := range reply.Workers {
		if w.Worker == id {
			return w.Health
		}
	}
	return ""
}

// TestWorkerWhoseAnswersAreLostIsNotRenewedForEver loses all answers of a worker. Renewals
// that still arrive would keep its tasks running although the leader learns nothing of them.
func TestWorkerWhoseAnswersAreLostIsNotRenewedForEver(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.waitServing(n)
	c.backend.change("w1", func(w *fakeWorker) { w.answersLost = true })
	c.eventually("w1 counts as unreachable", func() bool { return n.health(t, "w1") == core.WorkerUnreachable })
	c.eventually("w1 counts as gone", func() bool { return n.health(t, "w1") == core.WorkerGone })
	c.eventually("w1 received no call for longer than the lease TTL", func() bool {
		c.backend.mu.Lock()
		defer c.backend.mu.Unlock()
		return c.backend.workers["w1"].longestGap > n.opts.Core.LeaseTTL
	})
	c.backend.change("w1", func(w *fakeWorker) { w.answersLost = false })
	c.eventually("w1 is live again", func() bool { return n.health(t, "w1") == core.WorkerLive })
}

func TestGracefulShutdownHandsOverAndRedirectsWaiters(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	second := c.start("h2")
	req := submission("r1", true, true)
	waited := make(chan wire.JobReply, 1)
	go func() {
		reply, err := first.handleSubmit(t.Context(), req)
		assert.Check(t, err)
		waited <- reply
	}()
	c.eventually("both tasks started", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
	first.Stop(t.Context())
	reply := <-waited
	assert.Assert(t, reply.Elsewhere && reply.Outcome == nil)
	assert.Assert(t, !first.serving.Load())
	c.waitActive(second)
	_, err := first.submit(t, submission("r2", true, true))
	assert.Assert(t, errkind.Is(err, errkind.Draining))
	c.eventually("the running job is adopted", func() bool { return second.stats.Load().Running == 1 })
	go func() {
		reply, err := second.handleSubmit(t.Context(), req)
		assert.Check(t, err)
		waited <- reply
	}()
	// Wait until the caller has joined the adopted job. If its tasks ended earlier, the core
	// would keep the outcome as that of an orphan and the test would not cover a waiting caller.
	c.eventually("the caller has joined the adopted job", func() bool {
		joined, err := callOnLoop(t.Context(), second.Scheduler, func() (bool, error) { return second.jobs[req.Job.ID] != nil, nil })
		return err == nil && joined
	})
	c.backend.finishAll()
	assert.Equal(t, (<-waited).Outcome.State, core.Succeeded)
	assert.Equal(t, c.backend.startsOf(req.Job.ID), 2)
}

// TestGracefulShutdownReturnsOnlyAfterTheRoleIsReleased guards against a Stop that returns
// while this process still serves as leader: the election gives up the leader role before the
// loop, which the test blocks, has ended the activation.
func TestGracefulShutdownReturnsOnlyAfterTheRoleIsReleased(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.waitServing(first)
	c.start("h2")
	blocked, release := make(chan struct{}), make(chan struct{})
	first.post(t.Context(), func() {
		close(blocked)
		<-release
	})
	<-blocked
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		first.Stop(t.Context())
	}()
	c.eventually("the election gives up the leader role", func() bool {
		active, _ := first.election.Active()
		return !active
	})
	select {
	case <-stopped:
		t.Error("Stop returned while this process still served as leader")
	case <-time.After(10 * stopPollInterval):
	}
	close(release)
	<-stopped
	assert.Assert(t, !first.serving.Load())
}

// TestTwoActiveSchedulersRunANonIdempotentJobOnce guards against a job that two leaders both
// start. It partitions the first leader from the log, the workers and its peer, so that both
// schedulers are leaders with the same admitted job. The first one is then reconnected, to the
// workers first or to the log first.
func TestTwoActiveSchedulersRunANonIdempotentJobOnce(t *testing.T) {
	for _, logFirst := range []bool{false, true} {
		c := newCluster(t)
		first := c.start("h1")
		c.waitServing(first)
		c.backend.change("w1", func(w *fakeWorker) { w.leaving = true })
		c.eventually("w1 counts as leaving", func() bool { return first.stats.Load().FreeAccelerators == 8 })
		req := submission("r1", false, false)
		_, err := first.submit(t, req)
		assert.NilError(t, err)

		c.mu.Lock()
		c.partitioned = true
		c.mu.Unlock()
		first.log.Disconnected.Store(true)
		first.backendLink.cut.Store(true)
		second := c.start("h2")
		c.waitActive(second)
		assert.Assert(t, first.serving.Load(), "the partitioned first scheduler is no longer the leader")
		_, err = first.submit(t, submission("r2", false, false))
		assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))

		c.backend.change("w1", func(w *fakeWorker) { w.leaving = false })
		c.eventually("the second scheduler started both tasks", func() bool { return c.backend.startsOf(req.Job.ID) == 2 })
		links := []*atomic.Bool{&first.backendLink.cut, &first.log.Disconnected}
		if logFirst {
			links[0], links[1] = links[1], links[0]
		}
		links[0].Store(false)
		c.eventually("the first scheduler gives up the leader role", func() bool { return !first.serving.Load() })
		links[1].Store(false)

		c.eventually("exactly one scheduler is the leader", func() bool { return first.serving.Load() != second.serving.Load() })
		leader := second
		if first.serving.Load() {
			leader = first
		}
		c.backend.finishAll()
		reply, err := leader.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome.State, core.Succeeded)
		assert.Equal(t, c.backend.startsOf(req.Job.ID), 2)
		first.kill()
		second.kill()
	}
}

// TestRetryInAnotherZoneFindsTheFirstAdmission guards against a job that runs in two zones
// because a retry with the same request ID reaches another zone, which shares the log.
func TestRetryInAnotherZoneFindsTheFirstAdmission(t *testing.T) {
	c := newCluster(t)
	owner := c.start("h1")
	c.waitServing(owner)
	req := submission("r1", false, false)
	_, err := owner.submit(t, req)
	assert.NilError(t, err)

	elsewhere := newNode(c, "b1", "kr-b")
	c.waitActive(elsewhere)
	reply, err := elsewhere.submit(t, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.Elsewhere)
	assert.Equal(t, reply.Zone, zone)
	req.Digest++
	_, err = elsewhere.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.RequestMismatch))
}

func TestRefusedStopConfirmsThatTheTaskIsGoneOnlyIfItIsUnknown(t *testing.T) {
	assert.Equal(t, refusalResult(platform.OpStop, core.RefusedBusy), core.CallUnknown)
	assert.Equal(t, refusalResult(platform.OpStop, core.RefusedUnknown), core.CallRefused)
	assert.Equal(t, refusalResult(platform.OpReserve, core.RefusedBusy), core.CallRefused)
	assert.Equal(t, notSentResult(platform.OpStart), core.CallRefused)
	assert.Equal(t, notSentResult(platform.OpStop), core.CallUnknown)
}
