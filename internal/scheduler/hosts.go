package scheduler

import (
	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

// updateSessions opens a session with each worker of the zone that is in the host list or
// in the configuration, and replaces a session whose worker's address has changed. A worker
// that disappears from the list keeps its session: the list lags behind, and the worker's own
// answers are more reliable.
func (s *Scheduler) updateSessions() {
	if s.act == nil {
		return
	}
	for _, h := range s.lastHosts {
		if h.Kind != platform.BackendHost || h.Zone != s.opts.Zone {
			continue
		}
		id := core.WorkerID(h.ID)
		ses, ok := s.act.sessions[id]
		if !ok || ses.addr != h.Addr {
			ses = s.openSession(s.act, id, h.Addr)
		}
		ses.leavingInHostList = h.State == platform.HostLeaving
		s.updateHealth(s.act, ses)
	}
	cur := s.config.Current()
	if cur.Set == nil {
		return
	}
	for _, w := range cur.Set.Core(cur.Generation).Workers {
		if _, ok := s.act.sessions[w.ID]; !ok && w.Zone == s.opts.Zone {
			s.openSession(s.act, w.ID, "")
		}
	}
}

// health returns the health of a worker as reported to the core: a live worker counts as
// leaving if the host list or an operator marks it so.
func (s *Scheduler) health(ses *session) core.WorkerHealth {
	if ses.observedHealth == core.WorkerLive && (ses.leavingInHostList || s.drainRequested[ses.worker]) {
		return core.WorkerLeaving
	}
	return ses.observedHealth
}

// setObservedHealth records the health that a worker's answers, or their absence, show.
func (s *Scheduler) setObservedHealth(act *activation, ses *session, health core.WorkerHealth) {
	s.post(act.ctx, func() {
		if act != s.act || act.sessions[ses.worker] != ses {
			return
		}
		ses.observedHealth = health
		s.updateHealth(act, ses)
	})
}

// updateHealth reports a worker's health to the core if it has changed.
func (s *Scheduler) updateHealth(act *activation, ses *session) {
	health := s.health(ses)
	if health == "" || health == ses.reportedHealth {
		return
	}
	ses.reportedHealth = health
	event.Info(s.logger, event.WorkerHealth, "worker", ses.worker, "health", health)
	s.applyEvent(act, core.WorkerChanged{Worker: ses.worker, Health: health})
}
