package election

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
	"agatewinch/internal/wire"
)

const zone = core.ZoneID("kr-a")

// network delivers each election's heartbeats to the others, unless partitioned.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*node
	partitioned bool
}

type node struct {
	*Election
	net      *network
	log      *fakelog.Link
	stopping bool
	cancel   context.CancelFunc
	done     chan struct{}

	mu    sync.Mutex
	terms []core.Term
}

func (n *node) LivePeers(core.ZoneID) []wire.Heartbeat {
	n.net.mu.Lock()
	defer n.net.mu.Unlock()
	var out []wire.Heartbeat
	for host, other := range n.net.nodes {
		if host == n.opts.Host || n.net.partitioned {
			continue
		}
		active, term := other.Active()
		out = append(out, wire.Heartbeat{Host: host, Role: wire.RoleScheduler, Zone: zone, Active: active, Term: term, Leaving: other.stopping})
	}
	return out
}

func (n *node) Activate(_ context.Context, term core.Term) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.terms = append(n.terms, term)
	return nil
}

func (n *node) Deactivate(context.Context) {}

func (n *node) Ready() bool { return true }

func (n *node) lastTerm() core.Term {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.terms) == 0 {
		return 0
	}
	return n.terms[len(n.terms)-1]
}

func (net *network) start(t *testing.T, host string, log platform.Log) *node {
	t.Helper()
	opts := Options{
		Zone: zone, Host: host, Holder: host + ".1", RenewInterval: 20 * time.Millisecond, PollInterval: 10 * time.Millisecond, StaleAfter: 200 * time.Millisecond,
		LogTimeout: 100 * time.Millisecond, RankDelay: 50 * time.Millisecond, InitialListen: 100 * time.Millisecond,
	}
	n := &node{net: net, log: &fakelog.Link{Log: log}, done: make(chan struct{})}
	n.Election = New(opts, logr.Discard(), n.log, n, n)
	ctx, cancel := context.WithCancel(t.Context())
	n.cancel = cancel
	net.mu.Lock()
	net.nodes[host] = n
	net.mu.Unlock()
	go func() {
		defer close(n.done)
		_ = n.Run(ctx)
	}()
	t.Cleanup(n.kill)
	return n
}

// kill stops the node and its heartbeats after cutting its log, so that it cannot release
// its claim.
func (n *node) kill() {
	n.log.Disconnected.Store(true)
	n.net.mu.Lock()
	delete(n.net.nodes, n.opts.Host)
	n.net.mu.Unlock()
	n.cancel()
	<-n.done
}

func waitActive(t *testing.T, n *node, want bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if active, term := n.Active(); active != want {
			return poll.Continue("active %v, term %d", active, term)
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond))
}

func TestStandbyTakesOverWithAHigherTermWhenTheLeaderFails(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}}
	first := net.start(t, "host-1", log)
	waitActive(t, first, true)
	second := net.start(t, "host-2", log)
	first.kill()
	waitActive(t, second, true)
	assert.Assert(t, second.lastTerm() > first.lastTerm())
}

func TestStoppingLeaderHandsOverWhileItStillRuns(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}}
	first := net.start(t, "host-1", log)
	waitActive(t, first, true)
	second := net.start(t, "host-2", log)
	net.mu.Lock()
	first.stopping = true
	net.mu.Unlock()
	first.Stop()
	waitActive(t, second, true)
	waitActive(t, first, false)
}

func TestLeaderStepsDownForAHigherTermOfAWorkerAndClaimsAHigherOne(t *testing.T) {
	net := &network{nodes: map[string]*node{}}
	n := net.start(t, "host-1", fakelog.New())
	waitActive(t, n, true)
	n.Observe(40, true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n.lastTerm() > 40 {
			return poll.Success()
		}
		return poll.Continue("last term %d", n.lastTerm())
	}, poll.WithDelay(5*time.Millisecond))
}

func TestRoleIsTakenByRankWhileTheLogIsUnavailable(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}}
	log.SetDown(true)
	second := net.start(t, "host-2", log)
	first := net.start(t, "host-1", log)
	waitActive(t, first, true)
	active, _ := second.Active()
	assert.Assert(t, !active)
}

func TestLeadersOfAPartitionedZoneConvergeWhenTheLogRecovers(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}, partitioned: true}
	log.SetDown(true)
	first, second := net.start(t, "host-1", log), net.start(t, "host-2", log)
	waitActive(t, first, true)
	waitActive(t, second, true)
	assert.Equal(t, first.lastTerm(), second.lastTerm())
	net.mu.Lock()
	net.partitioned = false
	net.mu.Unlock()
	log.SetDown(false)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		a, ta := first.Active()
		b, tb := second.Active()
		newest := first.claims.view().newest
		if a != b && newest == second.claims.view().newest && (a && newest.Holder == first.opts.Holder || b && newest.Holder == second.opts.Holder) {
			return poll.Success()
		}
		return poll.Continue("active %v term %d, active %v term %d, newest claim %+v", a, ta, b, tb, newest)
	}, poll.WithDelay(5*time.Millisecond))
}

func TestProcessWithoutLogBacksOffLongerEachTimeItIsSuperseded(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}}
	log.SetDown(true)
	n := net.start(t, "host-1", log)
	waitActive(t, n, true)
	n.Observe(n.lastTerm()+1, true)
	waitActive(t, n, false)
	first := n.lastBackoff()
	assert.Assert(t, first > 0)
	waitActive(t, n, true)
	n.Observe(n.lastTerm()+1, true)
	waitActive(t, n, false)
	assert.Assert(t, n.lastBackoff() > first)
}

func (n *node) lastBackoff() time.Duration {
	n.Election.mu.Lock()
	defer n.Election.mu.Unlock()
	return n.backoff
}

func TestClaimWhoseAnswerIsLostIsReadBack(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}}
	log.SetFault(func() fakelog.Fault { return fakelog.AnswerLost })
	waitActive(t, net.start(t, "host-1", log), true)
}

func TestPausedLeaderIsNotConfirmedBeforeItHasReadTheClaimsAgain(t *testing.T) {
	log, net := fakelog.New(), &network{nodes: map[string]*node{}}
	n := net.start(t, "host-1", log)
	waitActive(t, n, true)
	n.kill()
	n.Election.mu.Lock()
	n.holding, n.resumed = true, time.Now()
	n.confirmed = n.resumed.Add(-time.Hour)
	n.Election.mu.Unlock()
	n.confirm()
	assert.Assert(t, !n.Confirmed())
	n.log.Disconnected.Store(false)
	assert.NilError(t, n.claims.read(t.Context(), 0))
	n.confirm()
	assert.Assert(t, n.Confirmed())
}
