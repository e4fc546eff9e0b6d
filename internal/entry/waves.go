package entry

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
)

// machineListInterval is how often the machines are listed while a wave is open: several times
// within one machine's upkeep, but not more often, since each listing is a billed call.
const machineListInterval = time.Second

// waves holds the operators' requests for upkeep that this host has read.
type waves struct {
	mu  sync.Mutex
	all []dispatch.Wave
}

// AddWave adds a request for upkeep of machines. At most maxUnavailable of them may be down for it at
// a time. Its time limit counts from the first time that this host reads it; later reads of the same
// wave number are ignored.
func (h *Host) AddWave(number int64, machines []string, timeLimit time.Duration, maxUnavailable int) {
	h.waves.mu.Lock()
	defer h.waves.mu.Unlock()
	for _, w := range h.waves.all {
		if w.Number == number {
			return
		}
	}
	h.waves.all = append(h.waves.all, dispatch.Wave{Number: number, Machines: machines, DueMs: time.Now().Add(timeLimit).UnixMilli(), MaxUnavailable: maxUnavailable})
	event.Info(h.logger, event.WaveRead, "wave", number, "machines", len(machines), "within", timeLimit.String(), "at_once", maxUnavailable)
}

func (w *waves) list() []dispatch.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.all
}

// pollWaves passes new, unfinished waves to the core, and lists the machines while a wave is
// open.
func (l *leader) pollWaves(ctx context.Context) {
	reports, machines := dependency{topic: "wave reports"}, dependency{topic: "machines"}
	known := 0
	for ctx.Err() == nil {
		sleep(ctx, machineListInterval)
		if all := l.host.waves.list(); len(all) > known {
			done, err := l.host.fleet.Finished(ctx)
			if reports.observe(ctx, l.host.logger, err) {
				l.addWaves(all[known:], done)
				known = len(all)
			}
		}
		if !l.wavesOpen.Load() {
			continue
		}
		askedAt := l.now().Mono
		list, err := l.host.fleet.Machines(ctx)
		if machines.observe(ctx, l.host.logger, err) {
			l.post(func(now dispatch.Now) { l.core.SetMachines(now, askedAt, list) })
		}
	}
}

// addWaves passes to the core the waves that no former leader has finished.
func (l *leader) addWaves(newWaves []dispatch.Wave, done map[int64]bool) {
	l.post(func(dispatch.Now) {
		for _, w := range newWaves {
			if !done[w.Number] {
				recorded := l.host.ledger.Wave(w.Number)
				l.core.AddWave(w, dispatch.WaveProgress{Wave: w.Number, Ordered: recorded.Ordered, Done: recorded.Done})
			}
		}
	})
}

// dispatchWaves sends the core's upkeep orders and wave reports.
func (l *leader) dispatchWaves(ctx context.Context, a dispatch.Actions) {
	l.wavesOpen.Store(l.core.HasOpenWaves())
	for _, u := range a.Upkeeps {
		go func() {
			o := l.order(func() dispatch.Outcome { return l.host.fleet.Upkeep(ctx, u, l.epoch) })
			l.post(func(now dispatch.Now) { l.checkFence(o, u.Machine); l.core.UpkeepAnswered(now, u, o) })
		}()
	}
	for _, r := range a.WaveReports {
		go func() {
			err := l.host.fleet.Report(ctx, r)
			if err != nil {
				event.Error(l.host.logger, err, event.LogWriteError, "what", "wave report", "wave", r.Wave)
			}
			l.post(func(now dispatch.Now) { l.core.WaveReported(now, r, err) })
		}()
	}
}
