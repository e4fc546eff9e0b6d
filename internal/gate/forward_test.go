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

// holder is a scheduler of zone a that is active or not, and holds submissions until
// it is released.
type holder struct {
	host   string
	server *peer.Server
	web    *httptest.Server
	addr   string

	mu      sync.Mutex
	active  bool
	term    core.Term
	seq     uint64
	taken   int
	release chan struct{}
}

func newHolder(t testing.TB, host string, active bool, term core.Term) *holder {
	h := &holder{host: host, active: active, term: term, release: make(chan struct{})}
	h.server = peer.NewServer(h.handle)
	h.web = httptest.NewServer(h.server)
	h.addr = strings.TrimPrefix(h.web.URL, "http://")
	t.Cleanup(h.kill)
	return h
}

// kill breaks all connections at once, as the process's death would.
func (h *holder) kill() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = h.web.Listener.Close()
	_ = h.server.Shutdown(ctx)
	h.web.Close()
}

func (h *holder) activate(term core.Term) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active, h.term = true, term
}

func (h *holder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.taken
}

func (h *holder) handle(ctx context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if kind == wire.KindHeartbeat {
		h.seq++
		return wire.Heartbeat{Host: h.host, Role: wire.RoleScheduler, Zone: "a", Active: h.active, Term: h.term, Incarnation: 1, Seq: h.seq}, nil
	}
	if !h.active {
		return nil, errkind.New(errkind.NoScheduler, "not active")
	}
	var req wire.Submit
	if err := wire.DecodeBody(body, &req); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "malformed")
	}
	h.taken++
	h.mu.Unlock()
	select {
	case <-h.release:
	case <-ctx.Done():
	}
	h.mu.Lock()
	out := core.Outcome{State: core.Succeeded, Ran: errkind.RanYes, Outputs: []core.TaskOutput{{Output: []byte(req.Job.ID)}}}
	return wire.JobReply{Job: req.Job.ID, State: core.Succeeded, Outcome: &out}, nil
}

// runGate runs a gate of zone a that knows the given addresses.
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

func until(t testing.TB, cond func() bool) {
	deadline := time.Now().Add(30 * time.Second)
	for !cond() {
		assert.Assert(t, time.Now().Before(deadline), "what the test waits for never came")
		time.Sleep(time.Millisecond)
	}
}

func TestWaitingCallersGoOnWithTheNextHolderAfterADeath(t *testing.T) {
	first, second := newHolder(t, "s1", true, 1), newHolder(t, "s2", false, 0)
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
	until(t, func() bool { return first.count() == callers })
	close(second.release)
	first.kill()
	second.activate(2)
	calls.Wait()
	assert.Equal(t, second.count(), callers)
}

func TestSilentActiveSchedulerIsLeftForTheNextHolder(t *testing.T) {
	first, second := newHolder(t, "s1", true, 1), newHolder(t, "s2", false, 0)
	relay := peertest.NewRelay(t, first.addr)
	g := runGate(t, relay.Addr(), second.addr)
	done := make(chan error, 1)
	go func() {
		_, err := g.router.Submit(t.Context(), waitingJob("j"))
		done <- err
	}()
	until(t, func() bool { return first.count() == 1 })
	close(second.release)
	relay.Hold(peertest.FromTarget, true)
	second.activate(2)
	assert.NilError(t, <-done)
	relay.Hold(peertest.FromTarget, false)
}

// TestPlannedStopOfTheServerCutsOffNoRequest stops a real HTTP server while requests
// are in progress on it.
func TestPlannedStopOfTheServerCutsOffNoRequest(t *testing.T) {
	b := newConfiguredBed(t)
	release := make(chan struct{})
	b.sched.mu.Lock()
	b.sched.hold = release
	b.sched.mu.Unlock()
	server := httptest.NewServer(b.gate.Handler())
	defer server.Close()
	b.url = server.URL
	const requests = 20
	var calls sync.WaitGroup
	for i := range requests {
		body := api.SubmitRequest{
			RequestID: "stop-" + strings.Repeat("r", i+1), Caller: "c", Class: "check", Idempotent: true, WaitSeconds: 20,
			Shape: core.Shape{Cells: 1, CellSize: 1, CPU: 1},
		}
		calls.Go(func() {
			resp := b.call(http.MethodPost, api.PathJobs, haneulKey, body)
			assert.Check(t, resp.status == http.StatusOK, resp.text)
			assert.Check(t, strings.Contains(resp.text, body.RequestID))
		})
	}
	until(t, func() bool { return b.sched.held() == requests })
	b.gate.Leave()
	assert.Assert(t, !b.gate.Ready())
	b.gate.Drain()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Config.Shutdown(t.Context()) }()
	select {
	case err := <-stopped:
		t.Fatalf("the stop did not wait for the requests in progress: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(release)
	calls.Wait()
	assert.NilError(t, <-stopped)
}

// BenchmarkFailoverRouting measures the time from a new holder's activation to its
// getting the job of a caller that waited with the one that died.
func BenchmarkFailoverRouting(b *testing.B) {
	for range b.N {
		b.StopTimer()
		first, second := newHolder(b, "s1", true, 1), newHolder(b, "s2", false, 0)
		g := runGate(b, first.addr, second.addr)
		done := make(chan error, 1)
		go func() {
			_, err := g.router.Submit(b.Context(), waitingJob("j"))
			done <- err
		}()
		until(b, func() bool { return first.count() == 1 })
		close(second.release)
		first.kill()
		time.Sleep(time.Second) // The zone has no active scheduler meanwhile.
		second.activate(2)
		b.StartTimer()
		assert.NilError(b, <-done)
	}
}
