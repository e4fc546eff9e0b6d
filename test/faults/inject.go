package faults

import (
	"context"
	"strings"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/standin"
	"agatewinch/test/harness"
	"agatewinch/test/proxy"
)

const (
	slowDelay     = 150 * time.Millisecond
	logDelay      = 400 * time.Millisecond
	listLag       = 10 * time.Second
	loseEvery     = 3
	cancelledJobs = 40
	stopTimeout   = 45 * time.Second
)

// Injector makes the faults of a schedule happen in a cluster.
type Injector struct {
	cluster   *harness.Cluster
	load      *harness.Load
	operators *Operators
	driving   context.Context

	mu      sync.Mutex
	outages []Outage
	stops   []Termination
}

// Outage is a time in which hosts could not be reached, or were not whole.
type Outage struct {
	Hosts      []string
	Began, End time.Time
}

// Termination is a planned stop of a gate.
type Termination struct {
	Gate string
	At   time.Time
	// Late is true when the process did not end in time.
	Late bool
}

// NewInjector returns an injector; cancel waves are submitted to load and driven until
// driving ends.
func NewInjector(driving context.Context, c *harness.Cluster, load *harness.Load, o *Operators) *Injector {
	return &Injector{cluster: c, load: load, operators: o, driving: driving}
}

// Run carries the schedule out and returns when every fault is healed.
func (i *Injector) Run(ctx context.Context, schedule []Fault) {
	began := time.Now()
	var wait sync.WaitGroup
	for _, f := range schedule {
		wait.Add(1)
		go func() {
			defer wait.Done()
			pause(ctx, time.Until(began.Add(f.At)))
			i.happen(ctx, f)
		}()
	}
	wait.Wait()
	i.healAll(ctx)
}

func (i *Injector) happen(ctx context.Context, f Fault) {
	i.cluster.T.Logf("fault: %v", f)
	start := time.Now()
	heal, hosts := i.inject(ctx, f)
	pause(ctx, f.For)
	if heal != nil {
		heal()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.outages = append(i.outages, Outage{Hosts: hosts, Began: start, End: time.Now()})
}

// Record returns what happened, for the checks.
func (i *Injector) Record() ([]Outage, []Termination) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outages, i.stops
}

// inject begins a fault. It returns what heals it, and the hosts that cannot take a
// new configuration meanwhile.
func (i *Injector) inject(ctx context.Context, f Fault) (heal func(), hosts []string) {
	h := i.host(f)
	switch f.Kind {
	case KillScheduler:
		return i.kill(h.Scheduler), []string{h.Name}
	case KillGate:
		return i.kill(h.Gate), []string{h.Name}
	case KillActive:
		h = i.active(ctx, f, h)
		return i.kill(h.Scheduler), []string{h.Name}
	case PauseScheduler:
		return i.freeze(h.Scheduler), []string{h.Name}
	case PauseActive:
		h = i.active(ctx, f, h)
		return i.freeze(h.Scheduler), []string{h.Name}
	case PauseGate:
		return i.freeze(h.Gate), []string{h.Name}
	case StopScheduler:
		return i.terminate(h, h.Scheduler), []string{h.Name}
	case StopGate:
		return i.terminate(h, h.Gate), []string{h.Name}
	case ZoneHostsReplaced:
		return i.replaceZone(ctx, f.Zone)
	case CutRequests, CutAnswers, CutBoth, CutAfterBytes, HoldAnswers, SlowLink:
		links := i.cluster.Links()
		link := links[f.Link%len(links)]
		i.cluster.T.Logf("link from %s to %s", link.From, link.To)
		link.Set(linkFaults(f))
		return func() { link.Set(proxy.LinkFaults{}) }, nil
	case ZoneOffPlatform, ZoneOffPeers, ZoneOffBoth:
		return i.cutZone(f)
	case SchedulersApart:
		between := func(name string) bool { return strings.HasPrefix(name, "scheduler/"+f.Zone+"-") }
		return i.cutLinks(func(l *harness.Link) bool { return between(l.From) && between(l.To) }), nil
	case ActiveOffWorkers:
		from := i.active(ctx, f, h).Scheduler.Name
		return i.cutLinks(func(l *harness.Link) bool { return l.From == from && strings.HasPrefix(l.To, "worker/") }), nil
	case CancelWave:
		i.cancelWave(f)
		return nil, nil
	case RacingApplies:
		i.raceApplies(ctx)
		return nil, nil
	default:
		return i.injectPlatform(ctx, f), nil
	}
}

func linkFaults(f Fault) proxy.LinkFaults {
	switch f.Kind {
	case CutRequests:
		return proxy.LinkFaults{Request: proxy.Faults{Drop: true}}
	case CutAnswers:
		return proxy.LinkFaults{Answer: proxy.Faults{Drop: true}}
	case CutAfterBytes:
		return proxy.LinkFaults{Answer: proxy.Faults{CutAfter: f.Bytes}}
	case HoldAnswers:
		return proxy.LinkFaults{Answer: proxy.Faults{Hold: true}}
	case SlowLink:
		return proxy.LinkFaults{Request: proxy.Faults{Delay: slowDelay}, Answer: proxy.Faults{Delay: slowDelay}}
	default:
		return proxy.CutBothWays()
	}
}

// injectPlatform begins a fault of the stand-in platform.
func (i *Injector) injectPlatform(ctx context.Context, f Fault) func() {
	admin := i.cluster.Admin
	worker := core.WorkerID(harness.WorkerName(f.Zone, f.Worker))
	log := func(change func(*standin.LogFaults)) func() {
		faults := harness.BaseLog()
		change(&faults)
		i.must(admin.SetLog(ctx, faults))
		return func() { i.must(admin.SetLog(ctx, harness.BaseLog())) }
	}
	list := func(l standin.HostListFaults) func() {
		i.must(admin.SetHostList(ctx, l))
		return func() { i.must(admin.SetHostList(ctx, standin.HostListFaults{})) }
	}
	set := func(change func(*standin.WorkerFaults)) func() {
		faults := harness.BaseWorker()
		change(&faults)
		i.must(admin.SetWorker(ctx, worker, faults))
		return func() { i.must(admin.SetWorker(ctx, worker, harness.BaseWorker())) }
	}
	switch f.Kind {
	case LogDown:
		return log(func(l *standin.LogFaults) { l.Mode = standin.LogRefusing })
	case LogHangs:
		return log(func(l *standin.LogFaults) { l.Mode = standin.LogHanging })
	case LogSlow:
		return log(func(l *standin.LogFaults) { l.Delay = logDelay })
	case LogLosesAnswers:
		return log(func(l *standin.LogFaults) { l.LoseEvery = loseEvery })
	case HostListLags:
		return list(standin.HostListFaults{Lag: listLag})
	case HostListDown:
		return list(standin.HostListFaults{Down: true})
	case DoubleReports:
		return set(func(w *standin.WorkerFaults) { w.DoubleReports = true })
	case WorkerFailsAll:
		return set(func(w *standin.WorkerFaults) { w.FailAll, w.FailAfter = true, shortestTime/10 })
	case WorkerLeaves:
		return set(func(w *standin.WorkerFaults) { w.Leaving = true })
	case WorkerFreezes:
		return set(func(w *standin.WorkerFaults) { w.Frozen = true })
	case WorkerRestarts:
		i.must(admin.RestartWorker(ctx, worker))
	case CutWorker:
		return i.cutLinks(func(l *harness.Link) bool { return l.To == "worker/"+string(worker) })
	}
	return nil
}

// host returns the f.Host-th of the zone's present hosts.
func (i *Injector) host(f Fault) *harness.EntryHost {
	var zone []*harness.EntryHost
	for _, h := range i.cluster.Hosts() {
		if h.Zone == f.Zone {
			zone = append(zone, h)
		}
	}
	if len(zone) == 0 {
		// Another fault is replacing the zone's hosts.
		return i.cluster.Hosts()[0]
	}
	return zone[f.Host%len(zone)]
}

// active returns the host of the zone's active scheduler, or h when none is known.
func (i *Injector) active(ctx context.Context, f Fault, h *harness.EntryHost) *harness.EntryHost {
	ctx, cancel := context.WithTimeout(ctx, shortestTime)
	defer cancel()
	if a := i.cluster.Active(ctx, f.Zone); a != nil {
		return a
	}
	return h
}

func (i *Injector) kill(p *harness.Process) func() {
	p.Kill()
	return func() { i.must(p.EnsureRunning()) }
}

func (i *Injector) freeze(p *harness.Process) func() {
	p.Pause()
	return p.Resume
}

// terminate stops a process as planned; it starts again after its end.
func (i *Injector) terminate(h *harness.EntryHost, p *harness.Process) func() {
	at := time.Now()
	p.Terminate()
	return func() {
		late := p.AwaitEnd(stopTimeout) != nil
		if late {
			p.Kill()
		}
		i.must(p.EnsureRunning())
		i.mu.Lock()
		defer i.mu.Unlock()
		gate := ""
		if p == h.Gate {
			gate = h.Name
		}
		i.stops = append(i.stops, Termination{Gate: gate, At: at, Late: late})
	}
}

// replaceZone kills every entry host of a zone for good. New ones, with other names and
// addresses, come at the fault's end.
func (i *Injector) replaceZone(ctx context.Context, zone string) (heal func(), hosts []string) {
	hosts, err := i.cluster.RetireZone(ctx, zone)
	i.must(err)
	return func() { i.must(i.cluster.AddHosts(ctx, zone, len(hosts))) }, hosts
}

// cutLinks cuts every link that match selects, both ways.
func (i *Injector) cutLinks(match func(*harness.Link) bool) func() {
	var cut []*harness.Link
	for _, l := range i.cluster.Links() {
		if match(l) {
			l.Set(proxy.CutBothWays())
			cut = append(cut, l)
		}
	}
	return func() {
		for _, l := range cut {
			l.Set(proxy.LinkFaults{})
		}
	}
}

// healAll ends every fault that may still be open.
func (i *Injector) healAll(ctx context.Context) {
	for _, l := range i.cluster.Links() {
		l.Set(proxy.LinkFaults{})
	}
	i.must(i.cluster.Admin.SetLog(ctx, harness.BaseLog()))
	i.must(i.cluster.Admin.SetHostList(ctx, standin.HostListFaults{}))
	for _, r := range i.cluster.Set.Racks {
		for _, w := range r.Workers {
			i.must(i.cluster.Admin.SetWorker(ctx, core.WorkerID(w.Name), harness.BaseWorker()))
		}
	}
	for _, h := range i.cluster.Hosts() {
		for _, p := range []*harness.Process{h.Gate, h.Scheduler} {
			p.Resume()
			i.must(p.EnsureRunning())
		}
	}
}

func (i *Injector) must(err error) {
	if err != nil {
		i.cluster.T.Errorf("fault injection: %v", err)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
