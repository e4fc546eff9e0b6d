package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/core/admission"
	"agatewinch/internal/sharedlog"
)

// ForecastRecord returns the record of the leader's forecast.
func ForecastRecord(f *admission.Forecast) (sharedlog.Record, error) { return encode(keyForecast, f) }

// applyForecast applies the record of a forecast, or its tombstone. A forecast that cannot be decoded
// drops the one before it, which is out of date.
func (l *Ledger) applyForecast(value []byte) error {
	l.stateRecords++
	l.forecast = nil
	if len(value) == 0 {
		return nil
	}
	f := &admission.Forecast{}
	if err := cbor.Unmarshal(value, f); err != nil {
		return err
	}
	l.forecast = f
	return nil
}

// Forecast returns the newest forecast, which the caller must not change, if it is fresh at nowMs, in
// Unix milliseconds; nil otherwise.
func (l *Ledger) Forecast(nowMs int64) *admission.Forecast {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if l.forecast == nil || !l.forecast.Fresh(nowMs, l.role.Epoch) {
		return nil
	}
	return l.forecast
}
