package config

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// RecordFormat is the format version of the sets that this build writes, and the highest
// that it reads. Increment it whenever a field is added to Set or a check is added.
const RecordFormat = 1

// MaxRecordBytes is the maximum size of one record of the configuration stream.
const MaxRecordBytes = 2 << 20

// RecordKind is the kind of a record of the configuration stream.
type RecordKind string

// The kinds of record. Every build ignores records of any other kind.
const (
	// RecordApply proposes a set that builds on Base.
	RecordApply RecordKind = "apply"
	// RecordSnapshot repeats the set in force as of an offset. A reader that knows the
	// generation in force does not use this set.
	RecordSnapshot RecordKind = "snapshot"
)

// Record is one record of the configuration stream. Whether a proposal is accepted must
// not depend on Format or Set, so that builds of all formats decide alike; the fields
// that decide it keep their meaning in every format.
type Record struct {
	Format int        `json:"format"`
	Kind   RecordKind `json:"kind"`
	// ID identifies the proposal, so that its writer can find the result in the stream
	// when the reply to the append was lost.
	ID string `json:"id"`
	// Base is the generation that a proposal builds on.
	Base core.Generation `json:"base"`
	// Force makes a proposal accepted whatever generation is in force.
	Force bool `json:"force,omitempty"`
	// AsOf and Generation are set in a snapshot: Generation is in force after all records
	// below offset AsOf.
	AsOf       platform.Offset `json:"as_of,omitempty"`
	Generation core.Generation `json:"generation,omitempty"`
	Set        json.RawMessage `json:"set"`
}

// decodeRecord decodes a record but not its set. ok is false for a record that every
// reader must ignore: too large, not JSON or of an unknown kind.
func decodeRecord(data []byte) (rec Record, ok bool) {
	if len(data) > MaxRecordBytes || json.Unmarshal(data, &rec) != nil {
		return Record{}, false
	}
	return rec, rec.Kind == RecordApply || rec.Kind == RecordSnapshot
}

// canProduceGeneration reports whether the record can be the proposal or a snapshot of
// generation gen: a proposal's generation is above its base, and a snapshot contains its
// generation.
func (r Record) canProduceGeneration(gen core.Generation) bool {
	if r.Kind == RecordSnapshot {
		return r.Generation == gen
	}
	return gen > r.Base
}

// decodeSet decodes the record's set, rejects unknown fields and checks the set as
// strictly as when its files were read.
func (r Record) decodeSet() (*Set, error) {
	if r.Format < 1 || r.Format > RecordFormat {
		return nil, trace.BadParameter("configuration record has format %d, which this build does not support", r.Format)
	}
	var set Set
	dec := json.NewDecoder(bytes.NewReader(r.Set))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&set); err != nil {
		return nil, trace.BadParameter("cannot decode the set of a configuration record: %v", err)
	}
	if faults := set.Check(); len(faults) > 0 {
		return nil, trace.Wrap(JoinFaults(faults))
	}
	return &set, nil
}

// encodeRecord encodes rec with the set in the format of this build.
func encodeRecord(rec Record, set *Set) ([]byte, error) {
	body, err := json.Marshal(set)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	rec.Format, rec.Set = RecordFormat, body
	data, err := json.Marshal(rec)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(data) > MaxRecordBytes {
		return nil, trace.LimitExceeded("the encoded configuration exceeds %d bytes", MaxRecordBytes)
	}
	return data, nil
}
