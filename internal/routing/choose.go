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

// loads corrects the zones' last reported load by what was sent there since, so that a
// burst between two heartbeats does not all go to the zone that was emptiest.
type loads struct {
	mu    sync.Mutex
	zones map[core.ZoneID]*sent
}

type sent struct {
	since        beat
	jobs         int
	accelerators int
}

func newLoads() *loads { return &loads{zones: map[core.ZoneID]*sent{}} }

func (l *loads) since(hb wire.Heartbeat) *sent {
	s, ok := l.zones[hb.Zone]
	if !ok || s.since != beatOf(hb) {
		s = &sent{since: beatOf(hb)}
		l.zones[hb.Zone] = s
	}
	return s
}

func (l *loads) add(hb wire.Heartbeat, shape core.Shape) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.since(hb)
	s.jobs++
	s.accelerators += shape.Accelerators()
}

// now returns the heartbeat's load with what was sent since taken off.
func (l *loads) now(hb wire.Heartbeat) core.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.since(hb)
	load := hb.Load
	load.FreeAccelerators = max(load.FreeAccelerators-s.accelerators, 0)
	if load.FreeAccelerators == 0 {
		load.Queued += s.jobs
	}
	load.LargestFreeCell = min(load.LargestFreeCell, load.FreeAccelerators)
	return load
}

// holds reports whether a zone with this load could start the shape at once, as far as
// the summary tells. Cells larger than a worker are judged by the total alone.
func holds(load core.Stats, shape core.Shape) bool {
	if load.Queued > 0 || load.FreeAccelerators < shape.Accelerators() {
		return false
	}
	return shape.CellSize > maxWorkerCell || load.LargestFreeCell >= shape.CellSize
}

// maxWorkerCell is the largest cell that lies within one worker.
const maxWorkerCell = 8

// candidate is a scheduler that may get a job.
type candidate struct {
	wire.Heartbeat
	load core.Stats
	rank int
}

// rank places a zone in the order for a job; a lower rank is better.
func (r *Router) rank(zone core.ZoneID, load core.Stats, job core.Job) int {
	own := zone == r.opts.Zone
	fits := holds(load, job.Shape)
	guaranteed := r.opts.Guaranteed(job.Org, zone)
	switch {
	case own && (fits || guaranteed || job.Shape.CellSize == 0):
		return 0
	case fits && guaranteed:
		return 1
	case fits:
		return 2
	case own:
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
		load := r.loads.now(hb)
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

// probes keeps the callers that wait for the same zone from asking it all at once.
type probes struct {
	directory Directory

	mu   sync.Mutex
	last map[core.ZoneID]time.Time
}

func newProbes(d Directory) *probes { return &probes{directory: d, last: map[core.ZoneID]time.Time{}} }

func (p *probes) probe(ctx context.Context, zone core.ZoneID) {
	if !p.due(zone, time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	p.directory.Probe(ctx, zone)
}

func (p *probes) due(zone core.ZoneID, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.last[zone]) < probeInterval {
		return false
	}
	p.last[zone] = now
	return true
}
