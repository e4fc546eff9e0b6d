package scheduler

import (
	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

// updateSessions keeps one session with each worker of the zone that the host list or the
// configuration names. A worker that the list no longer names keeps its session: the list
// lags, and the worker's own answers tell more.
func (s *Scheduler) updateSessions() {
	if s.act == nil {
		return
	}
	for _, h := range s.listed {
		if h.Kind != platform.BackendHost || h.Zone != s.opts.Zone {
			continue
		}
		id := core.WorkerID(h.ID)
		ses, ok := s.act.sessions[id]
		if !ok || ses.addr != h.Addr {
			ses = s.openSession(s.act, id, h.Addr)
		}
		ses.listedLeaving = h.State == platform.HostLeaving
		s.healthChanged(s.act, ses)
	}
	cur := s.follow.Current()
	if cur.Set == nil {
		return
	}
	for _, w := range cur.Set.Core(cur.Generation).Workers {
		if _, ok := s.act.sessions[w.ID]; !ok && w.Zone == s.opts.Zone {
			s.openSession(s.act, w.ID, "")
		}
	}
}

// health is what the core is told of a worker: the worse of what its own answers, the
// host list and the operators say.
func (s *Scheduler) health(ses *session) core.WorkerHealth {
	if ses.direct == core.WorkerLive && (ses.listedLeaving || s.drained[ses.worker]) {
		return core.WorkerLeaving
	}
	return ses.direct
}

// setDirect takes note of what a worker's answers, or their lack, say.
func (s *Scheduler) setDirect(act *activation, ses *session, health core.WorkerHealth) {
	s.post(act.ctx, func() {
		if act != s.act || act.sessions[ses.worker] != ses {
			return
		}
		ses.direct = health
		s.healthChanged(act, ses)
	})
}

func (s *Scheduler) healthChanged(act *activation, ses *session) {
	health := s.health(ses)
	if health == "" || health == ses.told {
		return
	}
	ses.told = health
	event.Info(s.logger, event.WorkerHealth, "worker", ses.worker, "health", health)
	s.step(act, core.WorkerChanged{Worker: ses.worker, Health: health})
}
