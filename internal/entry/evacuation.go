package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/event"
)

const (
	// evacuationMargin is subtracted from the time within which an evacuation has to take effect: the
	// time that a start order may take, and some for a busy process. It is at most
	// 1/evacuationMarginDivisor of that time.
	evacuationMargin        = 1500 * time.Millisecond
	evacuationMarginDivisor = 2
	// catalogReadsPerBound is how many waiting reads of the operators' topic have to fit into the age
	// that its last answer may have: the read that was answered, the one that waits, and one more.
	catalogReadsPerBound = 3
)

// evacuations holds the zones that operators have evacuated, as this host last read them.
type evacuations struct {
	mu    sync.Mutex
	zones []string
	// confirmedAt is when the call was sent that the operators' topic last answered, by sinceBoot.
	confirmedAt time.Duration
	// changes counts the changes of zones.
	changes int
	// refresh is set to make the next read of the topic return at once, and cancelRead ends the current
	// one.
	refresh    bool
	cancelRead context.CancelFunc
}

// set handles an answer to a call that was sent at askedAt, and reports whether the zones have changed.
func (e *evacuations) set(zones []string, askedAt time.Duration) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.confirmedAt = max(e.confirmedAt, askedAt)
	if slices.Equal(e.zones, zones) {
		return false
	}
	e.zones = zones
	e.changes++
	return true
}

// get returns the evacuated zones, the number of their changes and when they were last confirmed.
func (e *evacuations) get() (zones []string, changes int, confirmedAt time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.zones, e.changes, e.confirmedAt
}

// beginRead returns the context of the next read, and whether it should return at once.
func (e *evacuations) beginRead(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	ctx, e.cancelRead = context.WithCancel(ctx)
	now := e.refresh
	e.refresh = false
	return ctx, e.cancelRead, now
}

// readNow ends the current read of the operators' topic and begins another one at once.
func (e *evacuations) readNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh = true
	if e.cancelRead != nil {
		e.cancelRead()
	}
}

// setEvacuatedZones handles an answer of the configuration source to a call that was sent at askedAt, by
// sinceBoot. It wakes the leader if wake is set, the zones have changed or were not known any more.
func (h *Host) setEvacuatedZones(zones []string, askedAt time.Duration, wake bool) {
	wake = wake || !h.knowsEvacuations(0)
	changed := h.evacuations.set(zones, askedAt)
	if changed {
		event.Info(h.logger, event.ZonesEvacuated, "zones", append([]string{}, zones...)) // an empty list, not null
	}
	if changed || wake {
		h.signalJobs()
	}
}

// evacuationBound returns how old the last confirmation of the evacuated zones may be when a task starts.
// While the topic cannot be read, evacuations may take effect later.
func (s Settings) evacuationBound(lost bool) time.Duration {
	bound := s.EvacuationTime - min(evacuationMargin, s.EvacuationTime/evacuationMarginDivisor)
	if lost {
		bound += s.ConfigApplyExtension
	}
	return bound
}

// catalogWait returns how long a read of the operators' topic waits for a record.
func (s Settings) catalogWait() time.Duration {
	if s.EvacuationTime == 0 {
		return catalogWait
	}
	return min(catalogWait, s.evacuationBound(false)/catalogReadsPerBound)
}

// knowsEvacuations reports whether this host knows which zones are evacuated: an evacuation that it has not
// read cannot be due yet. A leader whose claim was sent at claimedAt has to have read the topic since
// then, unless the topic cannot be read.
func (h *Host) knowsEvacuations(claimedAt time.Duration) bool {
	if h.settings.EvacuationTime == 0 {
		return true
	}
	_, _, confirmedAt := h.evacuations.get()
	lost := h.catalogLost.Load()
	return (lost || confirmedAt >= claimedAt) && h.sinceBoot()-confirmedAt <= h.settings.evacuationBound(lost)
}

// mayStartIn reports whether the leader may send starts to workers of a zone now.
func (l *leader) mayStartIn(zone string) bool {
	zones, _, _ := l.host.evacuations.get()
	return !slices.Contains(zones, zone) && l.host.knowsEvacuations(l.claimedAt)
}

// updateEvacuations passes the evacuated zones to the core, or that they are not known.
func (l *leader) updateEvacuations(now dispatch.Now) {
	zones, changes, _ := l.host.evacuations.get()
	if changes != l.evacuationChanges {
		l.evacuationChanges = changes
		l.core.SetEvacuatedZones(now, zones)
	}
	if held := !l.host.knowsEvacuations(l.claimedAt); held != l.startsHeld {
		l.startsHeld = held
		l.core.HoldStarts(now, held)
		event.Info(l.host.logger, event.StartsHeld, "held", held, "epoch", l.epoch)
	}
}

// reportShortfall logs and publishes a change of the accelerators that are missing for the guarantees.
func (l *leader) reportShortfall() {
	if missing := l.core.GuaranteeShortfall(); missing != l.guaranteeShortfall {
		l.guaranteeShortfall = missing
		l.host.metrics.SetGuaranteeShortfall(missing)
		event.Info(l.host.logger, event.GuaranteesShort, "missing", missing, "epoch", l.epoch)
	}
}
