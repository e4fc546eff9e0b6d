package entry

import (
	"context"
	"sync"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
)

// machinesEvery is how often the machines are listed while a wave is open: several times
// within an upkeep, at one priced call each.
const machinesEvery = time.Second

// waves are the operators' requests for upkeep that this host has read.
type waves struct {
	mu  sync.Mutex
	all []dispatch.Wave
}

// AddWave takes in a request for upkeep; its time counts from the first sight of it.
func (h *Host) AddWave(number int64, machines []string, within time.Duration, atOnce int) {
	h.waves.mu.Lock()
	defer h.waves.mu.Unlock()
	for _, w := range h.waves.all {
		if w.Number == number {
			return
		}
	}
	h.waves.all = append(h.waves.all, dispatch.Wave{Number: number, Machines: machines, DueMs: time.Now().Add(within).UnixMilli(), AtOnce: atOnce})
	event.Info(h.out, event.WaveRead, "wave", number, "machines", len(machines), "within", within.String(), "at_once", atOnce)
}

func (w *waves) list() []dispatch.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.all
}

// followWaves hands waves that are not done to the core, and lists the machines while one
// is open.
func (d *decider) followWaves(ctx context.Context) {
	reports, machines := dependency{topic: "reports on waves"}, dependency{topic: "machines"}
	known := 0
	for ctx.Err() == nil {
		sleep(ctx, machinesEvery)
		if all := d.host.waves.list(); len(all) > known {
			done, err := d.host.fleet.Finished(ctx)
			if reports.answered(ctx, d.host.out, err) {
				d.addWaves(all[known:], done)
				known = len(all)
			}
		}
		if !d.wavesOpen.Load() {
			continue
		}
		askedAt := d.now().Mono
		list, err := d.host.fleet.Machines(ctx)
		if machines.answered(ctx, d.host.out, err) {
			d.post(func(now dispatch.Now) { d.core.SetMachines(now, askedAt, list) })
		}
	}
}

// addWaves hands those waves to the core that no former decider has finished.
func (d *decider) addWaves(fresh []dispatch.Wave, done map[int64]bool) {
	d.post(func(dispatch.Now) {
		for _, w := range fresh {
			if !done[w.Number] {
				d.core.AddWave(w)
			}
		}
	})
}

// carryOutWaves sends orders for upkeep and reports.
func (d *decider) carryOutWaves(ctx context.Context, a dispatch.Actions) {
	d.wavesOpen.Store(d.core.WavesOpen())
	for _, u := range a.Upkeeps {
		go func() {
			o := d.host.fleet.Upkeep(ctx, u, d.epoch)
			d.post(func(now dispatch.Now) { d.checkFence(o, u.Machine); d.core.UpkeepAnswered(now, u, o) })
		}()
	}
	for _, r := range a.Reports {
		go func() {
			err := d.host.fleet.Report(ctx, r)
			if err != nil {
				event.Error(d.host.out, err, event.LogWriteError, "what", "report on a wave", "wave", r.Wave)
			}
			d.post(func(now dispatch.Now) { d.core.WaveReported(now, r, err) })
		}()
	}
}
