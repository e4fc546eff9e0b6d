package soak

import (
	"context"
	"maps"
	"slices"
	"time"

	"agatewinch/test/proxy"
)

// injectFaults draws faults until ctx ends; they overlap. It returns once all have ended.
func (s *soak) injectFaults(ctx context.Context) {
	kinds := s.kinds()
	names := slices.Sorted(maps.Keys(kinds))
	done := make(chan struct{})
	begun := 0
	s.setFaulty(true)
	for ctx.Err() == nil {
		name := names[s.draw(len(names))]
		begun++
		go func() {
			s.note("%s", name)
			kinds[name]()
			done <- struct{}{}
		}()
		pause(ctx, s.upTo(faultEvery))
	}
	for range begun {
		<-done
	}
	s.setFaulty(false)
}

func (s *soak) setFaulty(faulty bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faulty = faulty
}

func (s *soak) host() *entryHost { return s.hosts[s.draw(len(s.hosts))] }

// kinds are the faults by name; each returns when it is over.
func (s *soak) kinds() map[string]func() {
	storeLink := func(f proxy.LinkFaults) func() {
		return func() { s.during(s.host().store, f, 4*time.Second) }
	}
	workerLink := func(f proxy.LinkFaults) func() {
		return func() { s.during(s.links[s.draw(len(s.links))], f, 6*time.Second) }
	}
	return map[string]func(){
		"host killed":                   s.killHost,
		"hosts killed at once":          s.killAll,
		"host paused":                   s.pauseHost,
		"host stopped as planned":       s.stopHost,
		"manifest changed":              s.changeManifest,
		"worker crashed":                func() { s.workers[s.draw(len(s.workers))].Crash(s.upTo(2 * time.Second)) },
		"store silent to a host":        storeLink(proxy.CutBothWays()),
		"store refuses a host":          storeLink(proxy.LinkFaults{Refuse: true}),
		"store's answers to a host cut": storeLink(proxy.LinkFaults{Answer: proxy.Faults{Drop: true}}),
		"store slow to a host":          storeLink(proxy.LinkFaults{Answer: proxy.Faults{Delay: 200 * time.Millisecond}}),
		"store silent to all":           s.storeAway,
		"worker silent":                 workerLink(proxy.CutBothWays()),
		"worker's answers cut":          workerLink(proxy.LinkFaults{Answer: proxy.Faults{Drop: true}}),
		"worker refuses":                workerLink(proxy.LinkFaults{Refuse: true}),
		"worker slow":                   workerLink(proxy.LinkFaults{Request: proxy.Faults{Delay: 300 * time.Millisecond}}),
	}
}

func (s *soak) during(p *proxy.Proxy, f proxy.LinkFaults, longest time.Duration) {
	p.Set("", f)
	time.Sleep(s.upTo(longest))
	p.Set("", proxy.LinkFaults{})
}

func (s *soak) restart(h *entryHost) {
	if err := h.process.EnsureRunning(); err != nil {
		s.t.Errorf("%s does not start: %v", h.process.Name, err)
	}
}

func (s *soak) killHost() {
	h := s.host()
	h.process.Kill()
	time.Sleep(s.upTo(2 * time.Second))
	s.restart(h)
}

func (s *soak) killAll() {
	for _, h := range s.hosts {
		h.process.Kill()
	}
	time.Sleep(s.upTo(time.Second))
	for _, h := range s.hosts {
		s.restart(h)
	}
}

func (s *soak) pauseHost() {
	h := s.host()
	h.process.Pause()
	time.Sleep(s.upTo(4 * time.Second))
	h.process.Resume()
}

func (s *soak) stopHost() {
	h := s.host()
	h.process.Terminate()
	if err := h.process.AwaitEnd(stopTime); err != nil {
		s.note("%v", err) // it may be paused as well
		return
	}
	s.restart(h)
}

func (s *soak) changeManifest() {
	s.mu.Lock()
	s.version += 1 + s.rand.IntN(3)
	version := s.version
	s.mu.Unlock()
	if err := s.store.PutManifest(context.Background(), manifest(version)); err != nil {
		s.t.Errorf("manifest: %v", err)
	}
}

func (s *soak) storeAway() {
	for _, h := range s.hosts {
		h.store.Set("", proxy.CutBothWays())
	}
	time.Sleep(s.upTo(3 * time.Second))
	for _, h := range s.hosts {
		h.store.Set("", proxy.LinkFaults{})
	}
}
