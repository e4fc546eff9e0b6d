package routing

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/wire"
)

// loadEstimates corrects each zone's last reported load by the jobs sent there since, so
// that a burst between two heartbeats does not all go to the zone with the lowest load.
type loadEstimates struct {
	mu    sync.Mutex
	zones map[core.ZoneID]*sentLoad
}

// sentLoad is the load of the jobs sent to a zone since a heartbeat.
type sentLoad struct {
	heartbeat    heartbeatID
	jobs         int
	accelerators int
}

func newLoadEstimates() *loadEstimates { return &loadEstimates{zones: map[core.ZoneID]*sentLoad{}} }

// sentSince returns the load sent to the zone since the heartbeat. The caller holds mu.
func (l *loadEstimates) sentSince(hb wire.Heartbeat) *sentLoad {
	s, ok := l.zones[hb.Zone]
	if !ok || s.heartbeat != heartbeatIDOf(hb) {
		s = &sentLoad{heartbeat: heartbeatIDOf(hb)}
		l.zones[hb.Zone] = s
	}
	return s
}

func (l *loadEstimates) recordSent(hb wire.Heartbeat, shape core.Shape) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sentSince(hb)
	s.jobs++
	s.accelerators += shape.Accelerators()
}

// estimate returns the load in the heartbeat, corrected by the jobs sent since.
func (l *loadEstimates) estimate(hb wire.Heartbeat) core.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.sentSince(hb)
	load := hb.Load
	load.FreeAccelerators = max(load.FreeAccelerators-s.accelerators, 0)
	if load.FreeAccelerators == 0 {
		load.Queued += s.jobs
	}
	load.LargestFreeCell = min(load.LargestFreeCell, load.FreeAccelerators)
	return load
}

// canStart reports whether a zone with this load could start the shape at once, as far
// as the load summary shows. For cells larger than a worker only the total of free
// accelerators is checked.
func canStart(load core.Stats, shape core.Shape) bool {
	if load.Queued > 0 || load.FreeAccelerators < shape.Accelerators() {
		return false
	}
	return shape.CellSize > maxWorkerCell || load.LargestFreeCell >= shape.CellSize
}

// maxWorkerCell is the largest cell, in accelerators, that fits on one worker.
const maxWorkerCell = 8

// candidate is a scheduler to which a job may be sent.
type candidate struct {
	wire.Heartbeat
	load core.Stats
	rank int
}

// rank returns a zone's preference for a job; lower is better. A job that needs no
// accelerators always prefers the gate's own zone.
func (r *Router) rank(zone core.ZoneID, load core.Stats, job core.Job) int {
	local := zone == r.opts.Zone
	fits := canStart(load, job.Shape)
	guaranteed := r.opts.Guaranteed(job.Org, zone)
	switch {
	case local && (fits || guaranteed || job.Shape.CellSize == 0):
		return 0
	case fits && guaranteed:
		return 1
	case fits:
		return 2
	case local:
		return 3
	case guaranteed:
		return 4
	default:
		return 5
	}
}

// order returns the active schedulers in the order in which to try them for a job.
func (r *Router) order(job core.Job) []wire.Heartbeat {
	var found []candidate
	for _, hb := range r.actives() {
		load := r.loads.estimate(hb)
		found = append(found, candidate{Heartbeat: hb, load: load, rank: r.rank(hb.Zone, load, job)})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.load.Queued, b.load.Queued),
			cmp.Compare(b.load.FreeAccelerators, a.load.FreeAccelerators),
			cmp.Compare(a.Host, b.Host),
		)
	})
	out := make([]wire.Heartbeat, 0, len(found))
	for _, c := range found {
		out = append(out, c.Heartbeat)
	}
	return out
}

// heartbeatThrottle limits the calls of Directory.ExchangeHeartbeats for each zone, so that the
// callers that wait for a zone do not all send it heartbeats at once.
type heartbeatThrottle struct {
	directory Directory

	mu   sync.Mutex
	last map[core.ZoneID]time.Time
}

func newHeartbeatThrottle(d Directory) *heartbeatThrottle {
	return &heartbeatThrottle{directory: d, last: map[core.ZoneID]time.Time{}}
}

func (t *heartbeatThrottle) exchange(ctx context.Context, zone core.ZoneID) {
	if !t.due(zone, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	t.directory.ExchangeHeartbeats(ctx, zone)
}

func (t *heartbeatThrottle) due(zone core.ZoneID, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.last[zone]) < minExchangeInterval {
		return false
	}
	t.last[zone] = now
	return true
}
