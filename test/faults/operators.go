package faults

import (
	"context"
	"strings"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
	"agatewinch/test/harness"
)

const (
	applyEvery    = 1500 * time.Millisecond
	applyTimeout  = 10 * time.Second
	sampleEvery   = 100 * time.Millisecond
	sampleTimeout = time.Second
)

// Apply is an accepted configuration change. At is the time of the acceptance.
type Apply struct {
	Base, Generation core.Generation
	At               time.Time
}

// Sample is the generation that a process reported as in force at some time.
type Sample struct {
	Process, Host string
	Generation    core.Generation
	At            time.Time
}

// Operators applies configurations and samples the generation in force on each process.
type Operators struct {
	cluster *harness.Cluster

	mu      sync.Mutex
	applies []Apply
	samples []Sample
	weight  int
}

// NewOperators returns the operators of a cluster.
func NewOperators(c *harness.Cluster) *Operators { return &Operators{cluster: c} }

// Run applies configurations until applying is done, and samples generations until watching is
// done.
func (o *Operators) Run(applying, watching context.Context) {
	var wait sync.WaitGroup
	o.cluster.EachHost(func(h *harness.EntryHost) {
		wait.Go(func() { o.watchGate(watching, h) })
		wait.Go(func() { o.watchScheduler(watching, h) })
	})
	for n := 0; applying.Err() == nil; n++ {
		hosts := o.cluster.Hosts()
		o.apply(applying, hosts[n%len(hosts)])
		pause(applying, applyEvery)
	}
	wait.Wait()
}

// apply reads the configuration in force at a gate, changes one weight and applies the result.
// It records the change if it is accepted.
func (o *Operators) apply(ctx context.Context, h *harness.EntryHost) {
	ctx, cancel := context.WithTimeout(ctx, applyTimeout)
	defer cancel()
	current, err := o.cluster.Config(ctx, h)
	if err != nil || current.Set == nil {
		return
	}
	set := *current.Set
	set.Organisations = append(set.Organisations[:0:0], set.Organisations...)
	set.Organisations[0].Weight = o.nextWeight()
	generation, err := o.cluster.Apply(ctx, h, current.Generation, set)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applies = append(o.applies, Apply{Base: current.Generation, Generation: generation, At: time.Now()})
}

func (o *Operators) nextWeight() int {
	const weights = 5
	o.mu.Lock()
	defer o.mu.Unlock()
	o.weight++
	return 1 + o.weight%weights
}

func (o *Operators) watchGate(ctx context.Context, h *harness.EntryHost) {
	for ctx.Err() == nil {
		sampleCtx, cancel := context.WithTimeout(ctx, sampleTimeout)
		answer, err := o.cluster.Config(sampleCtx, h)
		cancel()
		if err == nil && answer.Set != nil {
			o.sample(Sample{Process: h.Gate.Name, Host: h.Name, Generation: answer.Generation})
		}
		pause(ctx, sampleEvery)
	}
}

func (o *Operators) watchScheduler(ctx context.Context, h *harness.EntryHost) {
	client := peer.NewClient(h.SchedulerAddr)
	for ctx.Err() == nil {
		sampleCtx, cancel := context.WithTimeout(ctx, sampleTimeout)
		var status wire.StatusReply
		err := client.Call(sampleCtx, wire.KindStatus, wire.Empty{}, &status)
		cancel()
		if err == nil && status.Generation > 0 {
			o.sample(Sample{Process: h.Scheduler.Name, Host: h.Name, Generation: status.Generation})
		}
		pause(ctx, sampleEvery)
	}
}

func (o *Operators) sample(s Sample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s.At = time.Now()
	o.samples = append(o.samples, s)
}

// Recorded returns the accepted changes and the samples so far.
func (o *Operators) Recorded() ([]Apply, []Sample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.applies, o.samples
}

// raceApplies applies a configuration through every gate concurrently.
func (i *Injector) raceApplies(ctx context.Context) {
	for _, h := range i.cluster.Hosts() {
		go i.operators.apply(ctx, h)
	}
}

// cancelJobs submits jobs that would run for the fault's duration. Each is cancelled a quarter
// of that time after it has been accepted.
func (i *Injector) cancelJobs(f Fault) {
	w := harness.Work{
		Name: "wave-" + f.At.String(), Org: harness.OrgSurvey, Class: harness.ClassGang, Idempotent: true,
		Shape: core.Shape{Cells: 1, CellSize: 1, CPU: 1, MemoryBytes: 1 << 30}, RunTime: f.Duration, CancelAfter: f.Duration / 4,
	}
	for n := range cancelledJobCount {
		i.load.Submit(i.driving, w, n)
	}
}

// cutZone cuts the links between a zone's hosts and the platform, the hosts of other zones, or
// both. In the last case it also returns the zone's hosts, which cannot apply a configuration
// during the fault.
func (i *Injector) cutZone(f Fault) (heal func(), hosts []string) {
	inZone := func(name string) bool {
		return strings.Contains(name, "/"+f.Zone+"-") && !strings.HasPrefix(name, "worker/")
	}
	isPlatformLink := func(l *harness.Link) bool { return l.To == harness.Platform && inZone(l.From) }
	isPeerLink := func(l *harness.Link) bool {
		betweenHosts := l.From != harness.Callers && l.To != harness.Platform && !strings.HasPrefix(l.To, "worker/")
		return betweenHosts && inZone(l.From) != inZone(l.To)
	}
	switch f.Kind {
	case ZoneCutFromPlatform:
		return i.cutLinks(isPlatformLink), nil
	case ZoneCutFromPeers:
		return i.cutLinks(isPeerLink), nil
	}
	for _, h := range i.cluster.Hosts() {
		if h.Zone == f.Zone {
			hosts = append(hosts, h.Name)
		}
	}
	return i.cutLinks(func(l *harness.Link) bool { return isPlatformLink(l) || isPeerLink(l) }), hosts
}
