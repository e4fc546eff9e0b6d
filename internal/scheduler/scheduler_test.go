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

// cluster is one zone's schedulers over one log and one fleet.
type cluster struct {
	t     *testing.T
	log   *fakelog.Log
	fleet *fakeFleet

	mu    sync.Mutex
	nodes map[string]*node
	// cut keeps schedulers from hearing each other.
	cut bool
}

type node struct {
	*Scheduler
	cluster *cluster
	log     *fakelog.Link
	fleet   *mortalFleet
	cancel  context.CancelFunc
	done    chan struct{}
}

// mortalFleet takes nothing from a process that has died.
type mortalFleet struct {
	*fakeFleet
	dead atomic.Bool
}

func (f *mortalFleet) Do(ctx context.Context, addr string, b platform.Batch) ([]platform.OpResult, error) {
	if f.dead.Load() {
		return nil, platform.ErrNotApplied
	}
	return f.fakeFleet.Do(ctx, addr, b)
}

func (f *mortalFleet) Renew(ctx context.Context, addr string, req platform.RenewRequest) (platform.RenewReply, error) {
	if f.dead.Load() {
		return platform.RenewReply{}, platform.ErrNotApplied
	}
	return f.fakeFleet.Renew(ctx, addr, req)
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{t: t, log: fakelog.New(), fleet: newFleet("w1", "w2"), nodes: map[string]*node{}}
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
	e.Renew, e.Poll, e.Stale, e.LogAway, e.RankDelay, e.Settle = 20*time.Millisecond, 10*time.Millisecond, 300*time.Millisecond, 200*time.Millisecond, 50*time.Millisecond, 100*time.Millisecond
	n := &node{cluster: c, log: &fakelog.Link{Log: c.log}, fleet: &mortalFleet{fakeFleet: c.fleet}, done: make(chan struct{})}
	n.Scheduler = New(opts, testr.New(c.t).WithValues("host", host), n.log, n.fleet, n.fleet)
	n.Join(n)
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

// kill ends a scheduler with no time to hand anything over.
func (n *node) kill() {
	n.log.Cut.Store(true)
	n.fleet.dead.Store(true)
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
		if host != n.opts.Host && other.opts.Zone == zone && !n.cluster.cut {
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

// serving waits until n is active and sees both workers.
func (c *cluster) serving(n *node) {
	c.t.Helper()
	c.eventually("active with 16 free accelerators", func() bool {
		return n.serving.Load() && n.stats.Load().FreeAccelerators == 16
	})
}

func (c *cluster) active(n *node) {
	c.t.Helper()
	c.eventually("active", n.serving.Load)
}

func job(request string, idempotent, waiting bool) wire.Submit {
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
	c.serving(n)
	req := job("r1", false, false)
	reply, err := n.submit(t, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.Outcome == nil)
	c.eventually("both tasks started", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
	c.fleet.finishAll()
	reply, err = n.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	c.eventually("the outcome stands in the log", func() bool {
		e, ok := n.journal.Lookup(req.Job.ID)
		return ok && !e.Live()
	})
}

func TestStandbyAnswersASubmissionWithNoScheduler(t *testing.T) {
	c := newCluster(t)
	c.serving(c.start("h1"))
	standby := c.start("h2")
	_, err := standby.submit(t, job("r1", true, true))
	assert.Assert(t, errkind.Is(err, errkind.NoScheduler))
}

func TestNewHolderAdoptsARunningGangWithoutARestart(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.serving(first)
	second := c.start("h2")
	req := job("r1", false, false)
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	c.eventually("started", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
	first.kill()
	c.active(second)
	c.eventually("adopted as running", func() bool {
		reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID})
		return err == nil && reply.State == core.Running
	})
	c.fleet.finishAll()
	reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	assert.Equal(t, c.fleet.startsOf(req.Job.ID), 2)
}

func TestNewHolderTakesTheEndThatTheFormerHolderMissed(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.serving(first)
	req := job("r1", false, false)
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	c.eventually("started", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
	first.kill()
	c.fleet.finishAll()
	second := c.start("h2")
	c.active(second)
	reply, err := second.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	assert.Equal(t, c.fleet.startsOf(req.Job.ID), 2)
}

func TestAcceptedJobThatWaitedStartsUnderTheNewHolder(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.serving(first)
	c.fleet.change("w1", func(w *fakeWorker) { w.leaving = true })
	req := job("r1", false, false)
	_, err := first.submit(t, req)
	assert.NilError(t, err)
	first.kill()
	c.fleet.change("w1", func(w *fakeWorker) { w.leaving = false })
	second := c.start("h2")
	c.active(second)
	c.eventually("started", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
}

func TestRetryWithAnotherBodyIsRefused(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.serving(n)
	req := job("r1", false, false)
	_, err := n.submit(t, req)
	assert.NilError(t, err)
	req.Digest++
	_, err = n.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.RequestMismatch))
}

func TestJobThatNeedsTheLogIsRefusedAsNotRunWhileItIsAway(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.serving(n)
	c.log.SetDown(true)
	c.eventually("the log counts as away", func() bool { return !n.election.LogUp() })
	req := job("r1", false, true)
	_, err := n.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds > 0)
	assert.Equal(t, c.fleet.startsOf(req.Job.ID), 0)

	waiting := job("r2", true, true)
	done := make(chan wire.JobReply, 1)
	go func() {
		reply, err := n.handleSubmit(t.Context(), waiting)
		assert.Check(t, err)
		done <- reply
	}()
	c.eventually("the idempotent job goes on", func() bool { return c.fleet.startsOf(waiting.Job.ID) == 2 })
	c.fleet.finishAll()
	assert.Equal(t, (<-done).Outcome.State, core.Succeeded)
	c.log.SetDown(false)
}

func TestJobWhoseCallerStopsWaitingIsKeptInTheLogBeforeItCountsAsAccepted(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.serving(n)
	req := job("r1", true, true)
	req.Wait = 50 * time.Millisecond
	reply, err := n.submit(t, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.Outcome == nil)
	e, ok := n.journal.Lookup(req.Job.ID)
	assert.Assert(t, ok && e.Live())

	c.log.SetDown(true)
	req = job("r2", true, true)
	req.Wait = 50 * time.Millisecond
	_, err = n.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown))
}

func TestOutcomeOfALoggedJobIsWrittenOnceTheLogIsBack(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.serving(n)
	req := job("r1", false, false)
	_, err := n.submit(t, req)
	assert.NilError(t, err)
	c.eventually("started", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
	c.log.SetDown(true)
	c.fleet.finishAll()
	reply, err := n.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome.State, core.Succeeded)
	c.log.SetDown(false)
	c.eventually("the outcome stands in the log", func() bool {
		e, ok := n.journal.Lookup(req.Job.ID)
		return ok && !e.Live()
	})
}

func TestLeavingWorkerGetsNothingNewBeforeTheHostListSaysSo(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.serving(n)
	c.fleet.change("w1", func(w *fakeWorker) { w.leaving = true })
	c.eventually("w1 counts as leaving", func() bool { return n.health(t, "w1") == core.WorkerLeaving })
}

// health returns what the scheduler holds of a worker.
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

// TestWorkerWhoseAnswersAreLostIsNotRenewedForEver mutes a worker: the calls arrive and
// would keep its tasks alive although the holder cannot hear of them.
func TestWorkerWhoseAnswersAreLostIsNotRenewedForEver(t *testing.T) {
	c := newCluster(t)
	n := c.start("h1")
	c.serving(n)
	c.fleet.change("w1", func(w *fakeWorker) { w.mute = true })
	c.eventually("w1 counts as unreachable", func() bool { return n.health(t, "w1") == core.WorkerUnreachable })
	c.eventually("w1 counts as gone", func() bool { return n.health(t, "w1") == core.WorkerGone })
	c.eventually("it was left in silence for a lease's life before", func() bool {
		c.fleet.mu.Lock()
		defer c.fleet.mu.Unlock()
		return c.fleet.workers["w1"].longestSilence > n.opts.Core.LeaseTTL
	})
	c.fleet.change("w1", func(w *fakeWorker) { w.mute = false })
	c.eventually("w1 is live again", func() bool { return n.health(t, "w1") == core.WorkerLive })
}

func TestPlannedStopHandsOverAndWaitersAreSentOn(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.serving(first)
	second := c.start("h2")
	req := job("r1", true, true)
	waited := make(chan wire.JobReply, 1)
	go func() {
		reply, err := first.handleSubmit(t.Context(), req)
		assert.Check(t, err)
		waited <- reply
	}()
	c.eventually("started", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
	first.Stop(t.Context())
	reply := <-waited
	assert.Assert(t, reply.Elsewhere && reply.Outcome == nil)
	assert.Assert(t, !first.serving.Load())
	c.active(second)
	_, err := first.submit(t, job("r2", true, true))
	assert.Assert(t, errkind.Is(err, errkind.Draining))
	c.eventually("the running job is adopted", func() bool { return second.stats.Load().Running == 1 })
	go func() {
		reply, err := second.handleSubmit(t.Context(), req)
		assert.Check(t, err)
		waited <- reply
	}()
	// An adopted job that nobody waits for is forgotten at its end and would run again.
	c.eventually("the caller has joined it", func() bool {
		joined, err := ask(t.Context(), second.Scheduler, func() (bool, error) { return second.jobs[req.Job.ID] != nil, nil })
		return err == nil && joined
	})
	c.fleet.finishAll()
	assert.Equal(t, (<-waited).Outcome.State, core.Succeeded)
	assert.Equal(t, c.fleet.startsOf(req.Job.ID), 2)
}

// TestPlannedStopReturnsOnlyOnceTheRoleIsPutDown holds the loop up while the election
// gives the role away: until the loop has put it down, this process still serves it.
func TestPlannedStopReturnsOnlyOnceTheRoleIsPutDown(t *testing.T) {
	c := newCluster(t)
	first := c.start("h1")
	c.serving(first)
	c.start("h2")
	held, release := make(chan struct{}), make(chan struct{})
	first.post(t.Context(), func() {
		close(held)
		<-release
	})
	<-held
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		first.Stop(t.Context())
	}()
	c.eventually("the election gives the role away", func() bool {
		active, _ := first.election.Active()
		return !active
	})
	select {
	case <-stopped:
		t.Error("Stop returned while the role was still served")
	case <-time.After(10 * stopPoll):
	}
	close(release)
	<-stopped
	assert.Assert(t, !first.serving.Load())
}

// TestTwoActiveSchedulersRunANonIdempotentJobOnce cuts the first holder off from the log,
// the workers and its peer, so that both hold the role with the same accepted job; then
// the first is joined again, workers first or log first.
func TestTwoActiveSchedulersRunANonIdempotentJobOnce(t *testing.T) {
	for _, logFirst := range []bool{false, true} {
		c := newCluster(t)
		first := c.start("h1")
		c.serving(first)
		c.fleet.change("w1", func(w *fakeWorker) { w.leaving = true })
		c.eventually("w1 counts as leaving", func() bool { return first.stats.Load().FreeAccelerators == 8 })
		req := job("r1", false, false)
		_, err := first.submit(t, req)
		assert.NilError(t, err)

		c.mu.Lock()
		c.cut = true
		c.mu.Unlock()
		first.log.Cut.Store(true)
		first.fleet.dead.Store(true)
		second := c.start("h2")
		c.active(second)
		assert.Assert(t, first.serving.Load(), "two hold the role")
		_, err = first.submit(t, job("r2", false, false))
		assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))

		c.fleet.change("w1", func(w *fakeWorker) { w.leaving = false })
		c.eventually("started by the second", func() bool { return c.fleet.startsOf(req.Job.ID) == 2 })
		joined := []*atomic.Bool{&first.fleet.dead, &first.log.Cut}
		if logFirst {
			joined[0], joined[1] = joined[1], joined[0]
		}
		joined[0].Store(false)
		c.eventually("the first stands down", func() bool { return !first.serving.Load() })
		joined[1].Store(false)

		c.eventually("one holds the role", func() bool { return first.serving.Load() != second.serving.Load() })
		holder := second
		if first.serving.Load() {
			holder = first
		}
		c.fleet.finishAll()
		reply, err := holder.handleWait(t.Context(), wire.Wait{Job: req.Job.ID, Wait: 20 * time.Second})
		assert.NilError(t, err)
		assert.Equal(t, reply.Outcome.State, core.Succeeded)
		assert.Equal(t, c.fleet.startsOf(req.Job.ID), 2)
		first.kill()
		second.kill()
	}
}

// TestRetryAtAnotherZoneFindsTheFirstAdmission submits one request ID in two zones that
// share a log.
func TestRetryAtAnotherZoneFindsTheFirstAdmission(t *testing.T) {
	c := newCluster(t)
	owner := c.start("h1")
	c.serving(owner)
	req := job("r1", false, false)
	_, err := owner.submit(t, req)
	assert.NilError(t, err)

	elsewhere := newNode(c, "b1", "kr-b")
	c.active(elsewhere)
	reply, err := elsewhere.submit(t, req)
	assert.NilError(t, err)
	assert.Assert(t, reply.Elsewhere)
	assert.Equal(t, reply.Zone, zone)
	req.Digest++
	_, err = elsewhere.submit(t, req)
	assert.Assert(t, errkind.Is(err, errkind.RequestMismatch))
}

func TestWorkerThatRefusesStopsForItsTermProvesNothing(t *testing.T) {
	assert.Equal(t, refusalResult(platform.OpStop, core.RefusedBusy), core.CallUnknown)
	assert.Equal(t, refusalResult(platform.OpStop, core.RefusedUnknown), core.CallRefused)
	assert.Equal(t, refusalResult(platform.OpReserve, core.RefusedBusy), core.CallRefused)
	assert.Equal(t, notSent(platform.OpStart), core.CallRefused)
	assert.Equal(t, notSent(platform.OpStop), core.CallUnknown)
}
