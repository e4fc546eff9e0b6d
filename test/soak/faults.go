package soak

import (
	"context"
	"maps"
	"slices"
	"time"

	"agatewinch/test/proxy"
)

// injectFaults starts random faults, which may overlap, until ctx is done. Meanwhile, it also
// injects faults into random orders to workers. It returns once all faults have ended.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := s.faultsByName()
	names := slices.Sorted(maps.Keys(kinds))
	done := make(chan struct{})
	started := 0
	s.setFailOrders(true)
	for ctx.Err() == nil {
		name := names[s.randomBelow(len(names))]
		started++
		go func() {
			s.note("%s", name)
			kinds[name]()
			done <- struct{}{}
		}()
		pause(ctx, s.randomDuration(maxFaultInterval))
	}
	for range started {
		<-done
	}
	s.setFailOrders(false)
}

func (s *soak) setFailOrders(fail bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failOrders = fail
}

func (s *soak) randomHost() *entryHost { return s.hosts[s.randomBelow(len(s.hosts))] }

// faultsByName returns the faults by name. Each function returns once its fault has ended.
func (s *soak) faultsByName() map[string]func() {
	storeLink := func(f proxy.LinkFaults) func() {
		return func() { s.applyLinkFault(s.randomHost().storeProxy, f, 4*time.Second) }
	}
	workerLink := func(f proxy.LinkFaults) func() {
		return func() { s.applyLinkFault(s.workerProxies[s.randomBelow(len(s.workerProxies))], f, 6*time.Second) }
	}
	return map[string]func(){
		"host killed":                   s.killHost,
		"hosts killed at once":          s.killAll,
		"host paused":                   s.pauseHost,
		"host stopped as planned":       s.stopHost,
		"manifest changed":              s.changeManifest,
		"zone evacuated":                s.evacuateZone,
		"worker crashed":                func() { s.workers[s.randomBelow(len(s.workers))].Crash(s.randomDuration(2 * time.Second)) },
		"store silent to a host":        storeLink(proxy.DropBothDirections()),
		"store refuses a host":          storeLink(proxy.LinkFaults{Refuse: true}),
		"store's answers to a host cut": storeLink(proxy.LinkFaults{Answer: proxy.Faults{Drop: true}}),
		"store slow to a host":          storeLink(proxy.LinkFaults{Answer: proxy.Faults{Delay: 200 * time.Millisecond}}),
		"store silent to all":           s.partitionStore,
		"worker silent":                 workerLink(proxy.DropBothDirections()),
		"worker's answers cut":          workerLink(proxy.LinkFaults{Answer: proxy.Faults{Drop: true}}),
		"worker refuses":                workerLink(proxy.LinkFaults{Refuse: true}),
		"worker slow":                   workerLink(proxy.LinkFaults{Request: proxy.Faults{Delay: 300 * time.Millisecond}}),
	}
}

func (s *soak) applyLinkFault(p *proxy.Proxy, f proxy.LinkFaults, maxDuration time.Duration) {
	p.Set("", f)
	time.Sleep(s.randomDuration(maxDuration))
	p.Set("", proxy.LinkFaults{})
}

func (s *soak) restart(h *entryHost) {
	if err := h.process.EnsureRunning(); err != nil {
		s.t.Errorf("restart process %s: %v", h.process.Name, err)
	}
}

func (s *soak) killHost() {
	h := s.randomHost()
	h.process.Kill()
	time.Sleep(s.randomDuration(2 * time.Second))
	s.restart(h)
}

func (s *soak) killAll() {
	for _, h := range s.hosts {
		h.process.Kill()
	}
	time.Sleep(s.randomDuration(time.Second))
	for _, h := range s.hosts {
		s.restart(h)
	}
}

func (s *soak) pauseHost() {
	h := s.randomHost()
	h.process.Pause()
	time.Sleep(s.randomDuration(4 * time.Second))
	h.process.Resume()
}

func (s *soak) stopHost() {
	h := s.randomHost()
	h.process.Terminate()
	if err := h.process.AwaitExit(stopTimeout); err != nil {
		s.note("host stopped as planned: %v", err) // another fault may have paused it
		h.process.Kill()                           // as the platform does after the grace period
	}
	s.restart(h)
}

func (s *soak) changeManifest() {
	s.mu.Lock()
	s.version += 1 + s.rand.IntN(3)
	version := s.version
	s.mu.Unlock()
	if err := s.store.PutManifest(context.Background(), manifest(version)); err != nil {
		s.t.Errorf("put manifest: %v", err)
	}
}

// minEvacuation is longer than the audit lets a task start in an evacuated zone.
const minEvacuation = 7500 * time.Millisecond

// evacuateZone evacuates a zone, unless that has been done, and takes that back later.
func (s *soak) evacuateZone() {
	name := zone(s.randomBelow(zoneCount))
	if !s.evacuations[name].TryLock() {
		return
	}
	defer s.evacuations[name].Unlock()
	s.putEvacuation(name, true)
	s.audit.SetEvacuated(name, true)
	time.Sleep(minEvacuation + s.randomDuration(3*time.Second))
	s.audit.SetEvacuated(name, false)
	s.putEvacuation(name, false)
}

func (s *soak) putEvacuation(zone string, evacuated bool) {
	if err := s.store.EvacuateZone(context.Background(), zone, evacuated); err != nil {
		s.t.Errorf("evacuate %s %t: %v", zone, evacuated, err)
	}
}

func (s *soak) partitionStore() {
	for _, h := range s.hosts {
		h.storeProxy.Set("", proxy.DropBothDirections())
	}
	time.Sleep(s.randomDuration(3 * time.Second))
	for _, h := range s.hosts {
		h.storeProxy.Set("", proxy.LinkFaults{})
	}
}
