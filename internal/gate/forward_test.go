package gate

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/api"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/membership"
	"agatewinch/internal/peer"
	"agatewinch/internal/peer/peertest"
	"agatewinch/internal/platform/fakelog"
	"agatewinch/internal/wire"
)

// blockingScheduler is a scheduler of zone a, active or not, that blocks submissions
// until release is closed.
type blockingScheduler struct {
	host       string
	server     *peer.Server
	httpServer *httptest.Server
	addr       string

	mu       sync.Mutex
	active   bool
	term     core.Term
	seq      uint64
	received int
	release  chan struct{}
}

func newBlockingScheduler(t testing.TB, host string, active bool, term core.Term) *blockingScheduler {
	s := &blockingScheduler{host: host, active: active, term: term, release: make(chan struct{})}
	s.server = peer.NewServer(s.handle)
	s.httpServer = httptest.NewServer(s.server)
	s.addr = strings.TrimPrefix(s.httpServer.URL, "http://")
	t.Cleanup(s.kill)
	return s
}

// kill breaks all connections at once, as a crash of the process would.
func (s *blockingScheduler) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = s.httpServer.Listener.Close()
	_ = s.server.Shutdown(ctx)
	s.httpServer.Close()
}

func (s *blockingScheduler) activate(term core.Term) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active, s.term = true, term
}

func (s *blockingScheduler) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received
}

func (s *blockingScheduler) handle(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kind == wire.KindHeartbeat {
		s.seq++
		return wire.Heartbeat{Host: s.host, Role: wire.RoleScheduler, Zone: "a", Active: s.active, Term: s.term, Incarnation: 1, Seq: s.seq}, nil
	}
	if !s.active {
		return nil, errkind.New(errkind.NoScheduler, "not active")
	}
	var req wire.Submit
	if err := wire.DecodeBody(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "malformed")
	}
	s.received++
	s.mu.Unlock()
	select {
	case <-s.release:
	case <-ctx.Done():
	}
	s.mu.Lock()
	out := core.Outcome{State: core.Succeeded, Ran: errkind.RanYes, Outputs: []core.TaskOutput{{Output: []byte(req.Job.ID)}}}
	return wire.JobReply{Job: req.Job.ID, State: core.Succeeded, Outcome: &out}, nil
}

// runGate runs a gate of zone a with the given scheduler addresses.
func runGate(t testing.TB, addrs ...string) *Gate {
	var seeds []membership.Seed
	for _, a := range addrs {
		seeds = append(seeds, membership.Seed{Zone: "a", Addr: a})
	}
	g := New(Options{
		Host: "gate-1", Zone: "a", Limits: DefaultLimits,
		Peers: PeerOptions{Schedulers: seeds, Interval: 20 * time.Millisecond, Timeout: 500 * time.Millisecond},
	}, logr.Discard(), fakelog.New())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = g.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return g
}

func waitingJob(id core.JobID) wire.Submit {
	return wire.Submit{
		Wait: 20 * time.Second, Digest: 1,
		Job: core.Job{ID: id, Org: "o", Class: "c", Idempotent: true, Waiting: true, Shape: core.Shape{Cells: 1}},
	}
}

func waitFor(t testing.TB, cond func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !cond() {
		assert.Assert(t, time.Now().Before(deadline), "timed out waiting for a condition")
		time.Sleep(time.Millisecond)
	}
}

func TestWaitingCallersFailOverToNextActiveScheduler(t *testing.T) {
	first, second := newBlockingScheduler(t, "s1", true, 1), newBlockingScheduler(t, "s2", false, 0)
	g := runGate(t, first.addr, second.addr)
	const callers = 20
	var calls sync.WaitGroup
	for i := range callers {
		id := core.JobID(strings.Repeat("j", i+1))
		calls.Go(func() {
			reply, err := g.router.Submit(t.Context(), waitingJob(id))
			assert.Check(t, err)
			assert.Check(t, reply.Outcome != nil && string(reply.Outcome.Outputs[0].Output) == string(id))
		})
	}
	waitFor(t, func() bool { return first.count() == callers })
	close(second.release)
	first.kill()
	second.activate(2)
	calls.Wait()
	assert.Equal(t, second.count(), callers)
}

func TestCallerFailsOverFromUnresponsiveActiveScheduler(t *testing.T) {
	first, second := newBlockingScheduler(t, "s1", true, 1), newBlockingScheduler(t, "s2", false, 0)
	proxy := peertest.NewProxy(t, first.addr)
	g := runGate(t, proxy.Addr(), second.addr)
	done := make(chan error, 1)
	go func() {
		_, err := g.router.Submit(t.Context(), waitingJob("j"))
		done <- err
	}()
	waitFor(t, func() bool { return first.count() == 1 })
	close(second.release)
	proxy.Hold(peertest.FromTarget, true)
	second.activate(2)
	assert.NilError(t, <-done)
	proxy.Hold(peertest.FromTarget, false)
}

// TestShutdownCompletesRequestsInProgress guards against a graceful shutdown that cuts off
// requests in progress. It shuts down a real HTTP server while submissions are blocked in
// the scheduler.
func TestShutdownCompletesRequestsInProgress(t *testing.T) {
	h := newConfiguredHarness(t)
	release := make(chan struct{})
	h.sched.mu.Lock()
	h.sched.unblock = release
	h.sched.mu.Unlock()
	server := httptest.NewServer(h.gate.Handler())
	defer server.Close()
	h.url = server.URL
	const requests = 20
	var calls sync.WaitGroup
	for i := range requests {
		body := api.SubmitRequest{
			RequestID: "stop-" + strings.Repeat("r", i+1), Caller: "c", Class: "check", Idempotent: true, WaitSeconds: 20,
			Shape: core.Shape{Cells: 1, CellSize: 1, CPU: 1},
		}
		calls.Go(func() {
			resp := h.call(http.MethodPost, api.PathJobs, haneulKey, body)
			assert.Check(t, resp.status == http.StatusOK, resp.text)
			assert.Check(t, strings.Contains(resp.text, body.RequestID))
		})
	}
	waitFor(t, func() bool { return h.sched.blockedCount() == requests })
	h.gate.Leave()
	assert.Assert(t, !h.gate.Ready())
	h.gate.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Config.Shutdown(t.Context()) }()
	select {
	case err := <-stopped:
		t.Fatalf("the shutdown did not wait for the requests in progress: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	calls.Wait()
	assert.NilError(t, <-stopped)
}

// BenchmarkFailoverRouting measures the time from the activation of the next scheduler
// to the result of a job whose caller was waiting on the scheduler that was killed.
func BenchmarkFailoverRouting(b *testing.B) {
	for range b.N {
		b.StopTimer()
		first, second := newBlockingScheduler(b, "s1", true, 1), newBlockingScheduler(b, "s2", false, 0)
		g := runGate(b, first.addr, second.addr)
		done := make(chan error, 1)
		go func() {
			_, err := g.router.Submit(b.Context(), waitingJob("j"))
			done <- err
		}()
		waitFor(b, func() bool { return first.count() == 1 })
		close(second.release)
		first.kill()
		time.Sleep(time.Second) // The zone has no active scheduler during this time.
		second.activate(2)
		b.StartTimer()
		assert.NilError(b, <-done)
	}
}
