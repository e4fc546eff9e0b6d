package ledger

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/sharedlog"
)

// keyEarlyCancel is the key prefix of early cancellations: those of jobs that were not known when they
// were cancelled. The log may still carry out a submission whose append was not answered; a job that
// was cancelled in the meantime must not run. An early cancellation applies only to a job of the
// organisation that cancelled it, which the key names by its hash.
const keyEarlyCancel = "x/"

// earlyCancellation is the record of an early cancellation.
type earlyCancellation struct {
	// AtMs is the time of the cancellation in Unix milliseconds.
	AtMs int64 `cbor:"1,keyasint"`
}

// EarlyCancelRecord returns the record of the cancellation of a job that is not known.
func EarlyCancelRecord(id, org string, atMs int64) (sharedlog.Record, error) {
	return encode(earlyCancelKey(id, orgHash(org)), earlyCancellation{AtMs: atMs})
}

func orgHash(org string) uint64 { return xxhash.Sum64String(org) }

func earlyCancelKey(id string, org uint64) string {
	return fmt.Sprintf("%s%s/%016x", keyEarlyCancel, id, org)
}

// applyEarlyCancel applies the record of an early cancellation, whose key is given without its prefix.
func (l *Ledger) applyEarlyCancel(key string, value []byte, tombstone bool) error {
	id, hash, ok := strings.Cut(key, "/")
	org, err := strconv.ParseUint(hash, 16, 64)
	if !ok || err != nil {
		return trace.BadParameter("the record's key names no organisation")
	}
	if tombstone {
		l.dropEarlyCancel(id, org)
		return nil
	}
	var c earlyCancellation
	if err := cbor.Unmarshal(value, &c); err != nil {
		return err
	}
	e := l.entry(id)
	if e.earlyCancels == nil {
		e.earlyCancels = map[uint64]int64{}
	}
	e.earlyCancels[org] = c.AtMs
	e.applyEarlyCancels()
	l.recordUpdate(id)
	return nil
}

func (l *Ledger) dropEarlyCancel(id string, org uint64) {
	e := l.entries[id]
	if e == nil {
		return
	}
	delete(e.earlyCancels, org)
	l.dropIfEmpty(id, e)
}

// dropIfEmpty drops an entry without any content.
func (l *Ledger) dropIfEmpty(id string, e *Entry) {
	if e.Job == nil && e.Ended == nil && !e.Cancelled && len(e.Tasks) == 0 && len(e.earlyCancels) == 0 && e.refusedMs == 0 {
		delete(l.entries, id)
	}
}

// applyEarlyCancels cancels the job if its organisation cancelled it before it was known.
func (e *Entry) applyEarlyCancels() {
	if e.Job != nil {
		_, cancelled := e.earlyCancels[orgHash(e.Job.Org)]
		e.Cancelled = e.Cancelled || cancelled
	}
}

// JobTombstones returns the tombstones of a job's submission and cancellations.
func (e *Entry) JobTombstones(id string) []sharedlog.Record {
	records := append([]sharedlog.Record{{Key: keyJob + id}, {Key: keyCancel + id}}, e.earlyTombstones(id)...)
	return append(records, e.expiredRefusal(id, math.MaxInt64)...)
}

// ExpiredCancels returns the tombstones of early cancellations and of a refusal if no job with the ID has
// become known and all of them were made before the given time, in Unix milliseconds.
func (e *Entry) ExpiredCancels(id string, beforeMs int64) []sharedlog.Record {
	if e.Job != nil || e.Ended != nil {
		return nil
	}
	refused := e.expiredRefusal(id, beforeMs)
	for _, at := range e.earlyCancels {
		if at >= beforeMs {
			return refused
		}
	}
	return append(e.earlyTombstones(id), refused...)
}

func (e *Entry) earlyTombstones(id string) []sharedlog.Record {
	var out []sharedlog.Record
	for org := range e.earlyCancels {
		out = append(out, sharedlog.Record{Key: earlyCancelKey(id, org)})
	}
	return out
}
