package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/core/job"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// operators is a catalog source on which a test evacuates zones. Each host has one of its own.
type operators struct {
	staticCatalog
	mu      sync.Mutex
	zones   []string
	changed chan struct{}
	err     error
	// held makes reads neither answer nor fail.
	held bool
}

func newOperators() *operators { return &operators{changed: make(chan struct{})} }

func (o *operators) set(f func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	f()
	close(o.changed)
	o.changed = make(chan struct{})
}

func (o *operators) evacuate(zones ...string) { o.set(func() { o.zones = zones }) }

func (o *operators) EvacuatedZones() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.zones
}

func (o *operators) Next(ctx context.Context, wait time.Duration) (*catalog.Catalog, error) {
	o.mu.Lock()
	changed, err, held := o.changed, o.err, o.held
	o.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if held {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return nil, sharedlog.ErrUnknown
	}
	c, _ := o.staticCatalog.Next(ctx, 0)
	if c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	select {
	case <-changed:
	case <-ctx.Done():
	}
	return nil, nil
}

// zonedWorkers lists a worker in each of two zones.
type zonedWorkers struct{ *workers }

func (w zonedWorkers) List(ctx context.Context) ([]dispatch.WorkerInfo, error) {
	list, _ := w.workers.List(ctx)
	a, b := list[0], list[0]
	a.Zone = "a"
	b.ID, b.Zone, b.Rack = "w1", "b", "r1"
	return []dispatch.WorkerInfo{a, b}, nil
}

// startZones counts the starts in each zone.
type startZones struct {
	mu    sync.Mutex
	count map[string]int
}

func (z *startZones) in(zone string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.count[zone]
}

// countingWorkers counts the starts of each zone.
type countingWorkers struct {
	*workers
	zones *startZones
}

func (w countingWorkers) Start(ctx context.Context, s dispatch.Start, epoch int64) dispatch.Outcome {
	o := w.workers.Start(ctx, s, epoch)
	if o == dispatch.Accepted {
		w.zones.mu.Lock()
		w.zones.count[s.Zone]++
		w.zones.mu.Unlock()
	}
	return o
}

const evacuationTime = 1200 * time.Millisecond

// zonedHosts starts n hosts with the sources of their operators' requests, which evacuate the given zones.
func zonedHosts(t *testing.T, log sharedlog.Log, n int, zones ...string) ([]*Host, []*operators, *startZones) {
	t.Helper()
	starts := &startZones{count: map[string]int{}}
	var sources []*operators
	hosts, _ := runWith(t, n, func(w *workers, name string) *Host {
		o := newOperators()
		o.zones = zones
		sources = append(sources, o)
		settings := newHost(nil, w, name).settings
		settings.EvacuationTime, settings.ConfigApplyExtension = evacuationTime, 400*time.Millisecond
		return New(settings, Dependencies{Log: log, Catalog: o, WorkerList: zonedWorkers{w}, Workers: countingWorkers{w, starts}, Logger: logr.Discard()})
	})
	return hosts, sources, starts
}

// submitJobs submits n jobs to a host, numbered from first on.
func submitJobs(t *testing.T, h *Host, first, n int) {
	t.Helper()
	for i := range n {
		assert.NilError(t, h.Submit(t.Context(), &queue, "org", submission(fmt.Sprintf("%016x", first+i))))
	}
}

func awaitSuccess(t *testing.T, h *Host, first, n int) {
	t.Helper()
	for i := range n {
		eventually(t, func() bool {
			state, err := h.State(t.Context(), &queue, "org", fmt.Sprintf("%016x", first+i))
			return err == nil && state == job.Succeeded
		})
	}
}

func TestEvacuatedZoneGetsNoStartsUntilItIsTakenBack(t *testing.T) {
	hosts, sources, zones := zonedHosts(t, memlog.New(), 1)
	sources[0].evacuate("a")
	eventually(t, func() bool { return len(evacuated(hosts[0])) == 1 })
	submitJobs(t, hosts[0], 1, 20)
	awaitSuccess(t, hosts[0], 1, 20)
	assert.Equal(t, zones.in("a"), 0)
	sources[0].evacuate("b")
	eventually(t, func() bool { return evacuated(hosts[0])[0] == "b" })
	before := zones.in("b")
	submitJobs(t, hosts[0], 100, 5)
	awaitSuccess(t, hosts[0], 100, 5)
	assert.Equal(t, zones.in("b"), before)
	assert.Assert(t, zones.in("a") > 0)
}

func evacuated(h *Host) []string {
	zones, _, _ := h.evacuations.get()
	return zones
}

// All zones are evacuated, the leader's process ends, and another host takes over.
func TestNewLeaderStartsNothingInEvacuatedZones(t *testing.T) {
	hosts, sources, zones := zonedHosts(t, memlog.New(), 2, "a", "b")
	eventually(t, func() bool { return len(evacuated(hosts[0])) == 2 && len(evacuated(hosts[1])) == 2 })
	leader, other := hosts[0], hosts[1]
	eventually(t, func() bool { return hosts[0].role.isLeading() || hosts[1].role.isLeading() })
	if other.role.isLeading() {
		leader, other = other, leader
	}
	submitJobs(t, other, 1, 3)
	leader.Drain(t.Context())
	eventually(t, other.role.isLeading)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, zones.in("a")+zones.in("b"), 0)
	for _, o := range sources {
		o.evacuate()
	}
	awaitSuccess(t, other, 1, 3)
}

func TestHostsThatLostPowerStartNothingInEvacuatedZones(t *testing.T) {
	log := memlog.New()
	t.Run("before", func(t *testing.T) {
		hosts, _, _ := zonedHosts(t, log, 2, "a", "b")
		submitJobs(t, hosts[0], 1, 5)
	})
	hosts, sources, zones := zonedHosts(t, log, 2, "a")
	awaitSuccess(t, hosts[0], 1, 5)
	assert.Equal(t, zones.in("a"), 0)
	for _, o := range sources {
		o.evacuate()
	}
	eventually(t, func() bool { return len(evacuated(hosts[0]))+len(evacuated(hosts[1])) == 0 })
	submitJobs(t, hosts[0], 10, 10)
	awaitSuccess(t, hosts[0], 10, 10)
	assert.Assert(t, zones.in("a") > 0)
}

// The topic of the operators' requests neither answers nor fails, while the log accepts placements.
func TestLeaderThatCannotKnowOfAnEvacuationStartsNothing(t *testing.T) {
	hosts, sources, zones := zonedHosts(t, memlog.New(), 1)
	submitJobs(t, hosts[0], 1, 1)
	awaitSuccess(t, hosts[0], 1, 1)
	sources[0].set(func() { sources[0].held = true })
	eventually(t, func() bool { return !hosts[0].knowsEvacuations(0) })
	time.Sleep(2 * tickInterval)
	before := zones.in("a") + zones.in("b")
	submitJobs(t, hosts[0], 10, 1)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, zones.in("a")+zones.in("b"), before)
	sources[0].set(func() { sources[0].held = false })
	awaitSuccess(t, hosts[0], 10, 1)
}

func TestAgeOfTheLastReadBoundsStarts(t *testing.T) {
	clock := &pausableClock{}
	h := newHost(memlog.New(), &workers{}, "host")
	h.sinceBoot = clock.now
	assert.Assert(t, h.knowsEvacuations(clock.now()), "zones are never evacuated where the settings name no time for it")
	h.settings.EvacuationTime, h.settings.ConfigApplyExtension = 5*time.Second, 6*time.Second
	h.setEvacuatedZones(nil, clock.now(), false)
	claimedAt := clock.now()
	assert.Assert(t, h.knowsEvacuations(0))
	assert.Assert(t, !h.knowsEvacuations(claimedAt), "a new leader has to read the topic after its claim")
	clock.skip(4 * time.Second)
	assert.Assert(t, !h.knowsEvacuations(0))
	h.catalogLost.Store(true) // the store does not answer this host: evacuations may take effect later
	assert.Assert(t, h.knowsEvacuations(claimedAt))
	clock.skip(6 * time.Second)
	assert.Assert(t, !h.knowsEvacuations(claimedAt))
	h.catalogLost.Store(false)
	h.setEvacuatedZones(nil, clock.now(), false)
	assert.Assert(t, h.knowsEvacuations(claimedAt))
}

func TestReadsOfTheOperatorsTopicFitIntoTheTimeToEvacuate(t *testing.T) {
	for _, bound := range []time.Duration{300 * time.Millisecond, time.Second, 2 * time.Second, 3 * time.Second, 5 * time.Second, time.Minute} {
		s := Settings{EvacuationTime: bound}
		assert.Assert(t, 2*s.catalogWait() < s.evacuationBound(false), "%v", bound)
		assert.Assert(t, s.evacuationBound(false) < bound, "%v", bound)
		assert.Assert(t, s.catalogWait() <= catalogWait)
	}
	assert.Equal(t, Settings{}.catalogWait(), catalogWait)
}

// The evacuation is read after the start was decided and recorded.
func TestStartInHandIsWithheldOnceItsZoneIsEvacuated(t *testing.T) {
	l, w, _ := pausedLeader(t)
	l.permission.renew(l.host.sinceBoot())
	l.appendInFlight = true
	l.host.setEvacuatedZones([]string{""}, l.host.sinceBoot(), false) // the zone of the test's worker
	l.dispatchActions(t.Context())
	time.Sleep(50 * time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.Equal(t, len(w.starts), 0)
}

func TestUnreadableConfigurationDoesNotHideEvacuations(t *testing.T) {
	hosts, sources, _ := zonedHosts(t, memlog.New(), 1)
	sources[0].set(func() { sources[0].zones, sources[0].err = []string{"a"}, ErrCatalogUnreadable })
	eventually(t, func() bool { return len(evacuated(hosts[0])) == 1 })
	time.Sleep(evacuationTime)
	assert.Assert(t, hosts[0].knowsEvacuations(0))
}
