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
	linkDelay   = 150 * time.Millisecond
	logDelay    = 400 * time.Millisecond
	hostListLag = 10 * time.Second
	// The log loses the answer of every loseEvery-th append.
	loseEvery         = 3
	cancelledJobCount = 40
	stopTimeout       = 45 * time.Second
)

// Injector injects the faults of a schedule into a cluster.
type Injector struct {
	cluster   *harness.Cluster
	load      *harness.Load
	operators *Operators
	driving   context.Context

	mu           sync.Mutex
	outages      []Outage
	terminations []Termination
}

// Outage is the period of a fault, with the hosts that were unreachable or had a killed, paused
// or stopped process during it.
type Outage struct {
	Hosts      []string
	Began, End time.Time
}

// Termination is a graceful shutdown of a gate or a scheduler.
type Termination struct {
	// Gate is the name of the gate's host; it is empty for a scheduler.
	Gate string
	At   time.Time
	// Late is true if the process did not exit in time.
	Late bool
}

// NewInjector returns an injector. The jobs of cancel waves are submitted to load and driven
// until driving is done.
func NewInjector(driving context.Context, c *harness.Cluster, load *harness.Load, o *Operators) *Injector {
	return &Injector{cluster: c, load: load, operators: o, driving: driving}
}

// Run executes the schedule and returns once all faults have been removed.
func (i *Injector) Run(ctx context.Context, schedule []Fault) {
	began := time.Now()
	var wait sync.WaitGroup
	for _, f := range schedule {
		wait.Add(1)
		go func() {
			defer wait.Done()
			pause(ctx, time.Until(began.Add(f.At)))
			i.runFault(ctx, f)
		}()
	}
	wait.Wait()
	i.healAll(ctx)
}

func (i *Injector) runFault(ctx context.Context, f Fault) {
	i.cluster.T.Logf("fault: %v", f)
	start := time.Now()
	heal, hosts := i.inject(ctx, f)
	pause(ctx, f.Duration)
	if heal != nil {
		heal()
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.outages = append(i.outages, Outage{Hosts: hosts, Began: start, End: time.Now()})
}

// Recorded returns the outages and terminations so far, for the checks.
func (i *Injector) Recorded() ([]Outage, []Termination) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.outages, i.terminations
}

// inject starts a fault. It returns the function that ends the fault, which may be nil, and
// the hosts that cannot apply a new configuration during it.
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
		return i.pauseProcess(h.Scheduler), []string{h.Name}
	case PauseActive:
		h = i.active(ctx, f, h)
		return i.pauseProcess(h.Scheduler), []string{h.Name}
	case PauseGate:
		return i.pauseProcess(h.Gate), []string{h.Name}
	case StopScheduler:
		return i.terminate(h, h.Scheduler), []string{h.Name}
	case StopGate:
		return i.terminate(h, h.Gate), []string{h.Name}
	case ZoneHostsReplaced:
		return i.replaceZone(ctx, f.Zone)
	case CutRequests, CutAnswers, CutBoth, CutAfterBytes, HoldAnswers, SlowLink:
		links := i.cluster.Links()
		link := links[f.Link%len(links)]
		i.cluster.T.Logf("fault on the link from %s to %s", link.From, link.To)
		link.Set(linkFaults(f))
		return func() { link.Set(proxy.LinkFaults{}) }, nil
	case ZoneCutFromPlatform, ZoneCutFromPeers, ZoneCutFromBoth:
		return i.cutZone(f)
	case SchedulersPartitioned:
		inZone := func(name string) bool { return strings.HasPrefix(name, "scheduler/"+f.Zone+"-") }
		return i.cutLinks(func(l *harness.Link) bool { return inZone(l.From) && inZone(l.To) }), nil
	case ActiveCutFromWorkers:
		from := i.active(ctx, f, h).Scheduler.Name
		return i.cutLinks(func(l *harness.Link) bool { return l.From == from && strings.HasPrefix(l.To, "worker/") }), nil
	case CancelJobs:
		i.cancelJobs(f)
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
		return proxy.LinkFaults{Request: proxy.Faults{Delay: linkDelay}, Answer: proxy.Faults{Delay: linkDelay}}
	default:
		return proxy.DropBothDirections()
	}
}

// injectPlatform starts a fault of the stand-in platform or of a worker, and returns the
// function that ends it, which may be nil.
func (i *Injector) injectPlatform(ctx context.Context, f Fault) func() {
	admin := i.cluster.Admin
	worker := core.WorkerID(harness.WorkerName(f.Zone, f.Worker))
	setLog := func(change func(*standin.LogFaults)) func() {
		faults := harness.LogLimits()
		change(&faults)
		i.check(admin.SetLogFaults(ctx, faults))
		return func() { i.check(admin.SetLogFaults(ctx, harness.LogLimits())) }
	}
	setHostList := func(l standin.HostListFaults) func() {
		i.check(admin.SetHostListFaults(ctx, l))
		return func() { i.check(admin.SetHostListFaults(ctx, standin.HostListFaults{})) }
	}
	setWorker := func(change func(*standin.WorkerFaults)) func() {
		faults := harness.WorkerLimits()
		change(&faults)
		i.check(admin.SetWorkerFaults(ctx, worker, faults))
		return func() { i.check(admin.SetWorkerFaults(ctx, worker, harness.WorkerLimits())) }
	}
	switch f.Kind {
	case LogDown:
		return setLog(func(l *standin.LogFaults) { l.Mode = standin.LogRefusing })
	case LogHangs:
		return setLog(func(l *standin.LogFaults) { l.Mode = standin.LogHanging })
	case LogSlow:
		return setLog(func(l *standin.LogFaults) { l.Delay = logDelay })
	case LogLosesAnswers:
		return setLog(func(l *standin.LogFaults) { l.LoseEvery = loseEvery })
	case HostListLags:
		return setHostList(standin.HostListFaults{Lag: hostListLag})
	case HostListDown:
		return setHostList(standin.HostListFaults{Down: true})
	case DoubleReports:
		return setWorker(func(w *standin.WorkerFaults) { w.DoubleReports = true })
	case WorkerFailsAll:
		return setWorker(func(w *standin.WorkerFaults) { w.FailAll, w.FailAfter = true, minFaultTime/10 })
	case WorkerLeaves:
		return setWorker(func(w *standin.WorkerFaults) { w.Leaving = true })
	case WorkerFreezes:
		return setWorker(func(w *standin.WorkerFaults) { w.Frozen = true })
	case WorkerRestarts:
		i.check(admin.RestartWorker(ctx, worker))
	case CutWorker:
		return i.cutLinks(func(l *harness.Link) bool { return l.To == "worker/"+string(worker) })
	}
	return nil
}

// host returns the host that f.Host selects among the current hosts of f.Zone, or the first host
// of the cluster if the zone has none.
func (i *Injector) host(f Fault) *harness.EntryHost {
	var zone []*harness.EntryHost
	for _, h := range i.cluster.Hosts() {
		if h.Zone == f.Zone {
			zone = append(zone, h)
		}
	}
	if len(zone) == 0 {
		// A concurrent fault is replacing the zone's hosts.
		return i.cluster.Hosts()[0]
	}
	return zone[f.Host%len(zone)]
}

// active returns the host of the zone's active scheduler, or h if none is known.
func (i *Injector) active(ctx context.Context, f Fault, h *harness.EntryHost) *harness.EntryHost {
	ctx, cancel := context.WithTimeout(ctx, minFaultTime)
	defer cancel()
	if a := i.cluster.Active(ctx, f.Zone); a != nil {
		return a
	}
	return h
}

func (i *Injector) kill(p *harness.Process) func() {
	p.Kill()
	return func() { i.check(p.EnsureRunning()) }
}

func (i *Injector) pauseProcess(p *harness.Process) func() {
	p.Pause()
	return p.Resume
}

// terminate starts a graceful shutdown of a process. The returned function waits for the exit,
// kills the process if it has not exited within stopTimeout, restarts it and records the
// termination.
func (i *Injector) terminate(h *harness.EntryHost, p *harness.Process) func() {
	at := time.Now()
	p.Terminate()
	return func() {
		late := p.AwaitExit(stopTimeout) != nil
		if late {
			p.Kill()
		}
		i.check(p.EnsureRunning())
		i.mu.Lock()
		defer i.mu.Unlock()
		gate := ""
		if p == h.Gate {
			gate = h.Name
		}
		i.terminations = append(i.terminations, Termination{Gate: gate, At: at, Late: late})
	}
}

// replaceZone permanently kills all entry hosts of a zone. The returned function adds as many
// new hosts with other names and addresses.
func (i *Injector) replaceZone(ctx context.Context, zone string) (heal func(), hosts []string) {
	hosts, err := i.cluster.RetireZone(ctx, zone)
	i.check(err)
	return func() { i.check(i.cluster.AddHosts(ctx, zone, len(hosts))) }, hosts
}

// cutLinks drops all data in both directions of every link that match selects.
func (i *Injector) cutLinks(match func(*harness.Link) bool) func() {
	var cut []*harness.Link
	for _, l := range i.cluster.Links() {
		if match(l) {
			l.Set(proxy.DropBothDirections())
			cut = append(cut, l)
		}
	}
	return func() {
		for _, l := range cut {
			l.Set(proxy.LinkFaults{})
		}
	}
}

// healAll removes every fault that may still be active.
func (i *Injector) healAll(ctx context.Context) {
	for _, l := range i.cluster.Links() {
		l.Set(proxy.LinkFaults{})
	}
	i.check(i.cluster.Admin.SetLogFaults(ctx, harness.LogLimits()))
	i.check(i.cluster.Admin.SetHostListFaults(ctx, standin.HostListFaults{}))
	for _, r := range i.cluster.Set.Racks {
		for _, w := range r.Workers {
			i.check(i.cluster.Admin.SetWorkerFaults(ctx, core.WorkerID(w.Name), harness.WorkerLimits()))
		}
	}
	for _, h := range i.cluster.Hosts() {
		for _, p := range []*harness.Process{h.Gate, h.Scheduler} {
			p.Resume()
			i.check(p.EnsureRunning())
		}
	}
}

func (i *Injector) check(err error) {
	if err != nil {
		i.cluster.T.Errorf("fault injection failed: %v", err)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
