package membership_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/membership"
	"agatewinch/internal/peer"
	"agatewinch/internal/peer/peertest"
	"agatewinch/internal/platform"
	"agatewinch/internal/wire"
	"agatewinch/test/knownred"
)

const (
	waitTimeout = 30 * time.Second
	interval    = 20 * time.Millisecond
	timeout     = 600 * time.Millisecond
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// node is one process with a membership and a peer server.
type node struct {
	*membership.Membership
	addr   string
	server *peer.Server
	stop   func()

	mu     sync.Mutex
	self   wire.Heartbeat
	record []byte
	// consulted is the generation in force when PeersConsulted was called.
	consulted core.Generation
	// maxDelay bounds the random delay of each heartbeat call.
	maxDelay time.Duration
}

func (n *node) heartbeat() wire.Heartbeat {
	if n.maxDelay > 0 {
		time.Sleep(rand.N(n.maxDelay))
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self
}

func (n *node) set(change func(*wire.Heartbeat)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(&n.self)
}

func (n *node) Offer(record []byte, gen core.Generation) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record = record
	n.self.Generation = gen
	return true
}

func (n *node) PeersConsulted() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.consulted = n.self.Generation
}

func (n *node) handle(_ context.Context, kind wire.Kind, body cbor.RawMessage) (any, error) {
	if kind == wire.KindConfig {
		n.mu.Lock()
		defer n.mu.Unlock()
		return wire.ConfigReply{Generation: n.self.Generation, Record: n.record}, nil
	}
	var hb wire.Heartbeat
	if err := wire.DecodeBody(body, &hb); err != nil {
		return nil, errkind.New(errkind.InvalidRequest, "cannot decode the heartbeat")
	}
	n.mu.Lock()
	m := n.Membership
	n.mu.Unlock()
	return m.HandleHeartbeat(hb), nil
}

// listen returns a node that answers calls but sends no heartbeats yet.
func listen(t *testing.T, host, role string, zone core.ZoneID) *node {
	n := &node{self: wire.Heartbeat{Host: host, Role: role, Zone: zone}}
	n.server = peer.NewServer(n.handle)
	web := httptest.NewUnstartedServer(n.server)
	n.addr = web.Listener.Addr().String()
	n.self.Addr = n.addr
	n.stop = sync.OnceFunc(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = n.server.Shutdown(ctx)
		web.Close()
	})
	n.Membership = membership.New(membership.Options{}, n.heartbeat)
	web.Start()
	t.Cleanup(n.stop)
	return n
}

// run runs the node with the given options until the test ends or the returned function is
// called.
func (n *node) run(t *testing.T, opts membership.Options) func() {
	if opts.Interval == 0 {
		opts.Interval = interval
	}
	if opts.Timeout == 0 {
		opts.Timeout = timeout
	}
	opts.FarFactor = max(opts.FarFactor, 1)
	m := membership.New(opts, n.heartbeat)
	n.mu.Lock()
	n.Membership = m
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = m.Run(ctx) })
	stop := sync.OnceFunc(func() {
		cancel()
		running.Wait()
	})
	t.Cleanup(stop)
	return stop
}

func seeds(addrs ...string) []membership.Seed {
	var out []membership.Seed
	for _, a := range addrs {
		out = append(out, membership.Seed{Addr: a, Zone: "a"})
	}
	return out
}

// eventually polls until cond returns true and fails the test after waitTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		assert.Assert(t, time.Now().Before(deadline), "timed out waiting for: %s", what)
		time.Sleep(5 * time.Millisecond)
	}
}

func (n *node) find(host string) (membership.Peer, bool) {
	for _, p := range n.Peers() {
		if p.Host == host {
			return p, true
		}
	}
	return membership.Peer{}, false
}

func (n *node) heard(host string) bool {
	p, ok := n.find(host)
	return ok && p.Heard
}

// assertHeard fails the test if the host is not heard. It then tells a peer that was dropped from one whose
// heartbeats are late: only the second is heard again.
func (n *node) assertHeard(t *testing.T, host, when string) {
	t.Helper()
	if n.heard(host) {
		return
	}
	p, known := n.find(host)
	time.Sleep(2 * timeout)
	t.Fatalf("a live peer is not heard %s: known %t, silent for %v; heard %v later: %t", when, known, p.Silent, 2*timeout, n.heard(host))
}

func TestPeersFromSettingsHearEachOther(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	a.run(t, membership.Options{Seeds: seeds(a.addr, b.addr)})
	b.run(t, membership.Options{})
	for _, pair := range []struct {
		n    *node
		host string
	}{{a, "b"}, {b, "a"}} {
		eventually(t, pair.host+" heard and reached", func() bool {
			p, ok := pair.n.find(pair.host)
			return ok && p.Heard && p.Reached
		})
	}
	assert.Equal(t, len(a.LivePeers("a")), 1)
	assert.Equal(t, len(a.LivePeers("elsewhere")), 0)
	assert.Assert(t, a.Client("b") != nil)
	assert.Assert(t, a.Client("nobody") == nil)
}

type hostList struct {
	mu    sync.Mutex
	hosts []platform.Host
	err   error
}

func (l *hostList) Hosts(context.Context) ([]platform.Host, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts, l.err
}

func (l *hostList) set(err error, addrs ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hosts, l.err = nil, err
	for _, a := range addrs {
		l.hosts = append(l.hosts, platform.Host{Kind: platform.EntryHost, Zone: "a", Addr: a, State: platform.HostLive})
	}
}

func TestLivePeerStaysLiveWhenTheHostListFailsOrOmitsIt(t *testing.T) {
	knownred.SkipIfListed(t)
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	list := &hostList{}
	list.set(nil, b.addr)
	a.run(t, membership.Options{Hosts: list, HostsInterval: interval})
	eventually(t, "a hears b", func() bool { return a.heard("b") })
	list.set(platform.ErrUnknown)
	time.Sleep(2 * timeout)
	a.assertHeard(t, "b", "during an outage of the host list")
	list.set(nil)
	time.Sleep(2 * timeout)
	a.assertHeard(t, "b", "while the host list omits it")
}

func TestListedHostThatIsNotHeardIsNotLive(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	b.stop()
	list := &hostList{}
	list.set(nil, b.addr)
	a.run(t, membership.Options{Hosts: list, HostsInterval: interval})
	time.Sleep(2 * timeout)
	assert.Equal(t, len(a.AllLivePeers()), 0)
}

func TestSilentPeerIsReportedAndThenForgotten(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	a.run(t, membership.Options{Seeds: seeds(b.addr), ForgetAfter: 4 * timeout})
	eventually(t, "a hears b", func() bool { return a.heard("b") })
	changed := a.Changed()
	b.stop()
	select {
	case <-changed:
	case <-time.After(waitTimeout):
		t.Fatal("Changed did not report that b fell silent")
	}
	eventually(t, "a no longer hears b", func() bool { p, ok := a.find("b"); return !ok || !p.Heard })
	eventually(t, "a has forgotten b", func() bool { _, ok := a.find("b"); return !ok })
}

func TestChangeOfActiveStateIsReported(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	a.run(t, membership.Options{Seeds: seeds(b.addr)})
	eventually(t, "a hears b", func() bool { return a.heard("b") })
	changed := a.Changed()
	b.set(func(hb *wire.Heartbeat) { hb.Active, hb.Term = true, 7 })
	select {
	case <-changed:
	case <-time.After(waitTimeout):
		t.Fatal("Changed did not report that b became active")
	}
	p, _ := a.find("b")
	assert.Assert(t, p.Active && p.Term == 7)
}

func TestRestartedProcessReplacesThePreviousOneOfItsHost(t *testing.T) {
	a, old := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	old.set(func(hb *wire.Heartbeat) { hb.Term = 9 })
	a.run(t, membership.Options{Seeds: seeds(old.addr)})
	eventually(t, "a hears b", func() bool { return a.heard("b") })
	before, _ := a.find("b")
	old.stop()
	b := listen(t, "b", wire.RoleScheduler, "a")
	b.run(t, membership.Options{Seeds: seeds(a.addr)})
	eventually(t, "a hears the restarted b at its new address", func() bool {
		p, ok := a.find("b")
		return ok && p.Heard && p.Addr == b.addr && p.Incarnation != before.Incarnation
	})
	assert.Equal(t, a.Client("b").Addr(), b.addr)
}

func TestLateHeartbeatDoesNotUndoANewerOne(t *testing.T) {
	a := listen(t, "a", wire.RoleScheduler, "a")
	hb := wire.Heartbeat{Host: "b", Role: wire.RoleScheduler, Zone: "a", Incarnation: 1}
	newer, older := hb, hb
	newer.Seq, newer.Leaving = 2, true
	older.Seq = 1
	a.HandleHeartbeat(newer)
	a.HandleHeartbeat(older)
	p, _ := a.find("b")
	assert.Assert(t, p.Leaving)
}

func TestOwnAddressIsNotAPeer(t *testing.T) {
	a := listen(t, "a", wire.RoleScheduler, "a")
	proxy := peertest.NewProxy(t, a.addr)
	a.run(t, membership.Options{Seeds: seeds(a.addr, proxy.Addr())})
	time.Sleep(2 * timeout)
	assert.Equal(t, len(a.Peers()), 0)
}

// TestOneWayPartitionIsDetected guards against a peer that counts as reached although it
// receives nothing: b's heartbeats arrive at a, but a's responses and heartbeats to b are held
// back.
func TestOneWayPartitionIsDetected(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	toA := peertest.NewProxy(t, a.addr)
	toB := peertest.NewProxy(t, b.addr)
	a.set(func(hb *wire.Heartbeat) { hb.Addr = toA.Addr() })
	b.set(func(hb *wire.Heartbeat) { hb.Addr = toB.Addr() })
	a.run(t, membership.Options{})
	b.run(t, membership.Options{Seeds: seeds(toA.Addr())})
	eventually(t, "a and b hear each other", func() bool { p, ok := a.find("b"); return ok && p.Heard && p.Reached })
	toA.Hold(peertest.FromTarget, true)
	toB.Hold(peertest.ToTarget, true)
	eventually(t, "a hears b but does not reach it", func() bool { p, _ := a.find("b"); return p.Heard && !p.Reached })
	eventually(t, "b no longer hears a", func() bool { p, ok := b.find("a"); return !ok || !p.Heard })
	toA.Hold(peertest.FromTarget, false)
	toB.Hold(peertest.ToTarget, false)
	eventually(t, "a and b reach each other again", func() bool {
		p, _ := a.find("b")
		q, _ := b.find("a")
		return p.Reached && q.Reached
	})
}

func TestNewerConfigurationIsFetchedFromAPeer(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	b.set(func(hb *wire.Heartbeat) { hb.Generation = 5 })
	b.record = []byte("five")
	a.run(t, membership.Options{Seeds: seeds(b.addr), Config: a})
	eventually(t, "a has generation 5", func() bool { return a.heartbeat().Generation == 5 })
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Equal(t, string(a.record), "five")
}

func TestPeersCountAsConsultedOnceTheHighestGenerationIsInForce(t *testing.T) {
	consultPeers(t, 0)
}

// Guards against peers that count as consulted while the generation of one that has answered is not known yet.
func TestAnsweringPeersCountAsConsultedOnlyWithTheirGeneration(t *testing.T) {
	for range 10 {
		consultPeers(t, 5*time.Millisecond)
	}
}

// consultPeers runs a node with one silent peer and three of different generations, and checks which generation
// is in force when its peers count as consulted. Steps of the node are delayed by up to maxDelay.
func consultPeers(t *testing.T, maxDelay time.Duration) {
	t.Helper()
	a := listen(t, "a", wire.RoleScheduler, "a")
	a.maxDelay = maxDelay
	silent := listen(t, "s", wire.RoleScheduler, "a")
	silent.stop()
	addrs := []string{silent.addr}
	for gen, host := range []string{"b", "c", "d"} {
		n := listen(t, host, wire.RoleScheduler, "a")
		n.set(func(hb *wire.Heartbeat) { hb.Generation = core.Generation(gen + 1) })
		addrs = append(addrs, n.addr)
	}
	a.run(t, membership.Options{Seeds: seeds(addrs...), Config: a})
	eventually(t, "a has consulted its peers", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.consulted != 0
	})
	assert.Equal(t, a.consulted, core.Generation(3))
}

func TestIsolatedProcessHasNotConsultedPeers(t *testing.T) {
	a, silent := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "s", wire.RoleScheduler, "a")
	silent.stop()
	a.set(func(hb *wire.Heartbeat) { hb.Generation = 1 })
	a.run(t, membership.Options{Seeds: seeds(silent.addr), Config: a})
	time.Sleep(2 * timeout)
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Equal(t, a.consulted, core.Generation(0))
}

// TestStateChangeExpeditesHeartbeats sets the heartbeat interval between the zones
// longer than the test's timeout, so that only expedited heartbeats can bring the change.
func TestStateChangeExpeditesHeartbeats(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "b")
	opts := membership.Options{FarFactor: 100 * int(waitTimeout/interval), Config: b}
	b.run(t, opts)
	opts.Config, opts.Seeds = a, []membership.Seed{{Zone: "b", Addr: b.addr}}
	a.run(t, opts)
	eventually(t, "a hears b", func() bool { return a.heard("b") })
	a.set(func(hb *wire.Heartbeat) { hb.Generation, hb.Active = 3, true })
	eventually(t, "b learns that a is active", func() bool { p, _ := b.find("a"); return p.Active })
	eventually(t, "b has the configuration of generation 3", func() bool { return b.heartbeat().Generation == 3 })
}

func TestOlderConfigurationIsNotFetched(t *testing.T) {
	a, b := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "b", wire.RoleScheduler, "a")
	a.set(func(hb *wire.Heartbeat) { hb.Generation = 6 })
	b.set(func(hb *wire.Heartbeat) { hb.Generation = 5 })
	a.run(t, membership.Options{Seeds: seeds(b.addr), Config: a})
	eventually(t, "a hears b", func() bool { return a.heard("b") })
	time.Sleep(timeout)
	assert.Equal(t, a.heartbeat().Generation, core.Generation(6))
}

func TestGateWithoutAddressIsAMember(t *testing.T) {
	s, g := listen(t, "a", wire.RoleScheduler, "a"), listen(t, "a", wire.RoleGate, "a")
	g.set(func(hb *wire.Heartbeat) { hb.Addr = "" })
	s.run(t, membership.Options{})
	g.run(t, membership.Options{Seeds: []membership.Seed{{Addr: strings.Clone(s.addr), Zone: "a"}}})
	eventually(t, "the gate is heard", func() bool { return s.heard("a") })
	assert.Equal(t, s.LivePeers("a")[0].Role, wire.RoleGate)
}

func TestExchangeHeartbeatsSendsThemAtOnce(t *testing.T) {
	g, s := listen(t, "g", wire.RoleGate, "a"), listen(t, "s", wire.RoleScheduler, "a")
	g.run(t, membership.Options{Seeds: seeds(s.addr), Interval: time.Hour, Timeout: waitTimeout})
	eventually(t, "g hears s", func() bool { return g.heard("s") })
	s.set(func(hb *wire.Heartbeat) { hb.Active = true })
	g.ExchangeHeartbeats(t.Context(), "a")
	p, _ := g.find("s")
	assert.Assert(t, p.Active)
}
