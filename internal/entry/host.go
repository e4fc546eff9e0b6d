package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sync/errgroup"

	"agatewinch/internal/boottime"
	"agatewinch/internal/catalog"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/metrics"
	"agatewinch/internal/sharedlog"
)

// Host is an entry host. It serves callers and can hold the leader role.
type Host struct {
	settings      Settings
	log           sharedlog.Log
	catalogSource CatalogSource
	workerList    WorkerList
	workers       Workers
	advisor       Advisor
	fleet         Fleet
	waves         waves
	evacuations   evacuations
	logger        logr.Logger
	// incarnation distinguishes this start of the process from earlier ones.
	incarnation int64

	metrics *metrics.Registry
	// successors finds another host for the leader role; it may be nil.
	successors Successors

	ledger      *ledger.Ledger
	jobReaders  []*topicReader
	stateReader *topicReader
	writer      *jobWriter
	role        *role

	// sinceBoot is a steady clock that counts pauses of the process and its machine.
	sinceBoot func() time.Duration

	mu             sync.Mutex
	currentCatalog *catalog.Catalog
	// catalogConfirmedAt is when the call was sent that the configuration source last answered,
	// by sinceBoot.
	catalogConfirmedAt time.Duration
	// requiredVersion is the oldest configuration version that this host may use for its answers.
	requiredVersion int64
	// catalogLost is set while reads of the configuration fail.
	catalogLost atomic.Bool
	draining    atomic.Bool
	// jobsSignal wakes the leader after records of jobs or a new configuration have been applied.
	jobsSignal chan struct{}
}

// Dependencies holds the dependencies of a Host.
type Dependencies struct {
	Log        sharedlog.Log
	Catalog    CatalogSource
	WorkerList WorkerList
	Workers    Workers
	Advisor    Advisor
	Fleet      Fleet
	Logger     logr.Logger
}

// New returns a host; Run starts it.
func New(settings Settings, deps Dependencies) *Host {
	h := &Host{sinceBoot: boottime.Now,
		settings: settings, log: deps.Log, catalogSource: deps.Catalog, workerList: deps.WorkerList, workers: deps.Workers, advisor: deps.Advisor, fleet: deps.Fleet, logger: deps.Logger,
		incarnation: time.Now().UnixMilli(), metrics: metrics.New(metrics.SourceEntry), ledger: ledger.New(), jobsSignal: make(chan struct{}, 1),
	}
	for _, t := range ledger.TopicsJobs {
		h.jobReaders = append(h.jobReaders, newTopicReader(h, t, jobsBatchDelay, h.signalJobs))
	}
	h.stateReader = newTopicReader(h, ledger.TopicState, stateBatchDelay, nil)
	h.writer = newJobWriter(h)
	h.role = newRole(h)
	return h
}

// Metrics returns the host's counters and histograms.
func (h *Host) Metrics() *metrics.Registry { return h.metrics }

func (h *Host) signalJobs() {
	select {
	case h.jobsSignal <- struct{}{}:
	default:
	}
}

// Run reads the log, writes the records of callers' requests and claims the leader role when it
// is free. It returns nil once ctx has ended, or an error if the host's own entry cannot be encoded.
func (h *Host) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, reader := range h.jobReaders {
		g.Go(func() error { return reader.run(ctx) })
	}
	g.Go(func() error { return h.stateReader.run(ctx) })
	g.Go(func() error { return h.followCatalog(ctx) })
	g.Go(func() error { return h.writer.run(ctx) })
	g.Go(func() error { return h.role.run(ctx) })
	g.Go(func() error { return h.announce(ctx) })
	return g.Wait()
}

// Drain begins a graceful shutdown: the host reports itself not ready to the load balancer and
// gives up the leader role. It returns once the role is given up, or when ctx ends.
func (h *Host) Drain(ctx context.Context) {
	h.draining.Store(true)
	event.Info(h.logger, event.ProcessStopping)
	h.role.release(ctx)
}

// Draining implements Service.
func (h *Host) Draining() bool { return h.draining.Load() }

// Ready reports whether the load balancer should send callers to this host.
func (h *Host) Ready() bool {
	if h.draining.Load() {
		return false
	}
	if _, err := h.Catalog(); err != nil {
		return false
	}
	return h.caughtUp() && !h.catalogLost.Load() && !h.logUnavailable() && h.logAge() < maxReadyLogAge
}

// caughtUp reports whether this host has read every topic to its end since it started.
func (h *Host) caughtUp() bool {
	for _, reader := range h.jobReaders {
		if _, ok := reader.contactAge(); !ok {
			return false
		}
	}
	_, ok := h.stateReader.contactAge()
	return ok
}

// logAge returns the time since the log or the configuration source last answered this host.
func (h *Host) logAge() time.Duration {
	h.mu.Lock()
	age := h.sinceBoot() - h.catalogConfirmedAt
	h.mu.Unlock()
	for _, reader := range append(h.jobReaders[:len(h.jobReaders):len(h.jobReaders)], h.stateReader) {
		a, _ := reader.contactAge()
		age = min(age, a)
	}
	return age
}

// setCatalog handles an answer of the configuration source to a call that was sent at askedAt, by
// sinceBoot: c is nil if there is no new version.
func (h *Host) setCatalog(c *catalog.Catalog, askedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalogConfirmedAt = max(h.catalogConfirmedAt, askedAt)
	if c == nil || (h.currentCatalog != nil && c.Version <= h.currentCatalog.Version) {
		return
	}
	h.currentCatalog = c
	event.Info(h.logger, event.ConfigInForce, "version", c.Version, "queues", len(c.Queues))
	h.signalJobs()
}

// newestCatalog returns the newest configuration that this host has read, or nil. Unlike Catalog, it
// does not check whether the configuration has been confirmed recently.
func (h *Host) newestCatalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentCatalog
}
