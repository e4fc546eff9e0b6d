package entry

import (
	"context"
	"fmt"
	"time"

	"agatewinch/internal/core/admission"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/event"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
)

// forecastInterval is how often the leader renews its forecast while room is short. It is a quarter of
// admission.MaxAge.
const forecastInterval = admission.MaxAge / 4

// forecastRecords returns the record of a new forecast while room is short and the last one is
// forecastInterval old, and once it is not short any more. Without room being short nothing is written.
func (l *leader) forecastRecords() []sharedlog.Record {
	if time.Since(l.forecastAt) < forecastInterval {
		return nil
	}
	l.forecastAt = time.Now()
	now := l.now()
	lanes := l.core.Forecast(now)
	if len(lanes) == 0 && !l.forecastOpen {
		return nil
	}
	if (len(lanes) > 0) != l.forecastOpen {
		event.Info(l.host.logger, event.RoomShort, "lanes", len(lanes), "epoch", l.epoch)
	}
	l.forecastOpen = len(lanes) > 0
	rec, err := ledger.ForecastRecord(&admission.Forecast{Epoch: l.epoch, AtMs: now.UnixMs, Lanes: lanes})
	if err != nil {
		event.Error(l.host.logger, err, event.LogWriteError)
		return nil
	}
	return []sharedlog.Record{rec}
}

// admit refuses a job that could only end when it is of no use any more, by the leader's forecast. It
// reads the log to its end before, since another host may have accepted the job already: that one is
// not refused, and admit reports it as known.
func (h *Host) admit(ctx context.Context, j *job.Job) (known bool, err error) {
	if _, refused := h.excess(j); !refused {
		return false, nil
	}
	if h.readToEnd(ctx) != nil {
		return false, nil // this host cannot know that the job was not accepted
	}
	if e, ok := h.ledger.Find(j.ID); ok && e.Job != nil {
		return true, nil
	}
	excess, refused := h.excess(j)
	if !refused {
		return false, nil
	}
	h.recordRefusal(j.ID)
	return false, retryableError(errkind.QueueFull, admission.RetryAfter(excess, j.ID).Seconds(),
		fmt.Sprintf("the job could only end %v after the time until which it is of use", excess.Round(time.Millisecond)))
}

// excess returns how much too late j would end by the leader's forecast, and whether it is refused. It
// is not while the log does not answer this host, or the forecast is not fresh.
func (h *Host) excess(j *job.Job) (time.Duration, bool) {
	if h.stateReader.isLost() {
		return 0, false
	}
	f := h.ledger.Forecast(time.Now().UnixMilli())
	if f == nil {
		return 0, false
	}
	return f.Refused(j)
}

// recordRefusal writes to the log that a job is refused for the first time, so that its caller keeps its
// place when it returns to any host. The answer does not wait for that, and nothing is written while other
// records wait for the log: the caller then loses its place, not its job.
func (h *Host) recordRefusal(id string) {
	if h.ledger.RefusedMs(id) > 0 {
		return
	}
	rec, err := ledger.RefusalRecord(id, time.Now().UnixMilli())
	if err != nil {
		event.Error(h.logger, err, event.LogWriteError)
		return
	}
	h.writer.tryWrite(rec)
}
