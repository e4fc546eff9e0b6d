package ledger

import (
	"github.com/fxamacker/cbor/v2"

	"agatewinch/internal/sharedlog"
)

// keyRefusal is the key prefix of refusals for want of room. A caller who returns after one keeps its
// place: its job counts as having arrived when it was first refused, whichever host accepts it.
const keyRefusal = "r/"

// refusal is the record of a refused submission.
type refusal struct {
	// AtMs is the time of the first refusal in Unix milliseconds.
	AtMs int64 `cbor:"1,keyasint"`
}

// RefusalRecord returns the record of the first refusal of a job.
func RefusalRecord(id string, atMs int64) (sharedlog.Record, error) {
	return encode(keyRefusal+id, refusal{AtMs: atMs})
}

// applyRefusal applies the record of a refusal. Several hosts may refuse a job before they know of each
// other's: the earliest refusal counts.
func (l *Ledger) applyRefusal(id string, value []byte) error {
	if len(value) == 0 {
		if e := l.entries[id]; e != nil {
			e.refusedMs = 0
			l.dropIfEmpty(id, e)
		}
		return nil
	}
	var r refusal
	if err := cbor.Unmarshal(value, &r); err != nil {
		return err
	}
	e := l.entry(id)
	if e.refusedMs == 0 || r.AtMs < e.refusedMs {
		e.refusedMs = r.AtMs
	}
	return nil
}

// RefusedMs returns when a job was first refused, in Unix milliseconds; zero if no refusal is known.
func (l *Ledger) RefusedMs(id string) int64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if e := l.entries[id]; e != nil {
		return e.refusedMs
	}
	return 0
}

// expiredRefusal returns the tombstone of a refusal before the given time, in Unix milliseconds, of a job
// that was not accepted afterwards.
func (e *Entry) expiredRefusal(id string, beforeMs int64) []sharedlog.Record {
	if e.refusedMs == 0 || e.refusedMs >= beforeMs {
		return nil
	}
	return []sharedlog.Record{{Key: keyRefusal + id}}
}
