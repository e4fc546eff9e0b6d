package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/catalog"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/metrics"
	"agatewinch/internal/sharedlog"
)

// Host is one entry host.
type Host struct {
	set     Settings
	log     sharedlog.Log
	source  CatalogSource
	list    WorkerList
	workers Workers
	advisor Advisor
	fleet   Fleet
	waves   waves
	out     logr.Logger
	// incarnation tells the lives of the process apart.
	incarnation int64

	metrics *metrics.Registry
	// successors finds another host for the role; it may be nil.
	successors Successors

	ledger *ledger.Ledger
	jobs   []*follower
	state  *follower
	writer *jobWriter
	role   *role

	mu        sync.Mutex
	current   *catalog.Catalog
	catalogAt time.Time
	// required is the oldest version by which this host may answer.
	required int64
	// catalogLost says that the last read of the configuration failed.
	catalogLost atomic.Bool
	draining    atomic.Bool
	jobsSignal  chan struct{}
}

// Parts are what a host is made of.
type Parts struct {
	Log     sharedlog.Log
	Catalog CatalogSource
	List    WorkerList
	Workers Workers
	Advisor Advisor
	Fleet   Fleet
	Out     logr.Logger
}

// New returns a host that has not begun.
func New(set Settings, p Parts) *Host {
	h := &Host{
		set: set, log: p.Log, source: p.Catalog, list: p.List, workers: p.Workers, advisor: p.Advisor, fleet: p.Fleet, out: p.Out,
		incarnation: time.Now().UnixMilli(), metrics: metrics.New(metrics.SourceEntry), ledger: ledger.New(), jobsSignal: make(chan struct{}, 1),
	}
	for _, t := range ledger.TopicsJobs {
		h.jobs = append(h.jobs, newFollower(h, t, jobsGather, h.signalJobs))
	}
	h.state = newFollower(h, ledger.TopicState, stateGather, nil)
	h.writer = newJobWriter(h)
	h.role = newRole(h)
	return h
}

// Metrics are the host's counters and histograms.
func (h *Host) Metrics() *metrics.Registry { return h.metrics }

func (h *Host) signalJobs() {
	select {
	case h.jobsSignal <- struct{}{}:
	default:
	}
}

// Run follows the log and takes the deciding role when it is free. It ends with ctx.
func (h *Host) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, f := range h.jobs {
		g.Go(func() error { return f.run(ctx) })
	}
	g.Go(func() error { return h.state.run(ctx) })
	g.Go(func() error { return h.followCatalog(ctx) })
	g.Go(func() error { return h.writer.run(ctx) })
	g.Go(func() error { return h.role.run(ctx) })
	g.Go(func() error { return h.announce(ctx) })
	return g.Wait()
}

// Drain begins a planned stop: the host leaves the balancer's view and gives up its role.
func (h *Host) Drain(ctx context.Context) {
	h.draining.Store(true)
	event.Info(h.out, event.ProcessStopping)
	h.role.release(ctx)
}

// Draining implements Service.
func (h *Host) Draining() bool { return h.draining.Load() }

// Ready reports whether the balancer should send callers here.
func (h *Host) Ready() bool {
	if h.draining.Load() {
		return false
	}
	if _, err := h.Catalog(); err != nil {
		return false
	}
	return h.caughtUp() && !h.catalogLost.Load() && !h.cutOff() && h.logAge() < readyAge
}

func (h *Host) caughtUp() bool {
	for _, f := range h.jobs {
		if _, ok := f.age(); !ok {
			return false
		}
	}
	_, ok := h.state.age()
	return ok
}

// logAge is how long ago the log answered this host.
func (h *Host) logAge() time.Duration {
	h.mu.Lock()
	age := time.Since(h.catalogAt)
	h.mu.Unlock()
	for _, f := range append(h.jobs[:len(h.jobs):len(h.jobs)], h.state) {
		a, _ := f.age()
		age = min(age, a)
	}
	return age
}

func (h *Host) setCatalog(c *catalog.Catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalogAt = time.Now()
	if c == nil || (h.current != nil && c.Version <= h.current.Version) {
		return
	}
	h.current = c
	event.Info(h.out, event.ConfigInForce, "version", c.Version, "queues", len(c.Queues))
	h.signalJobs()
}

func (h *Host) newest() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}
