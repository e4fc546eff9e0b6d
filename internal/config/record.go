package config

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// RecordFormat is the format of the sets that this build writes, and the highest that
// it reads. It grows whenever a field is added to Set or a check is added.
const RecordFormat = 1

// MaxRecordBytes bounds one record of the configuration stream.
const MaxRecordBytes = 2 << 20

// RecordKind tells what a record of the configuration stream does.
type RecordKind string

// The kinds of record. Records of any other kind change nothing, on any build.
const (
	// RecordApply proposes a set that builds on Base.
	RecordApply RecordKind = "apply"
	// RecordSnapshot repeats the set in force as of an offset. It changes nothing for a
	// reader that has read up to there.
	RecordSnapshot RecordKind = "snapshot"
)

// Record is one record of the configuration stream. Whether it is accepted depends
// only on the fields outside Set, and these keep their meaning in every format.
type Record struct {
	Format int        `json:"format"`
	Kind   RecordKind `json:"kind"`
	// ID names the attempt, so that its writer finds it again after a lost answer.
	ID string `json:"id"`
	// Base is the generation that a proposal builds on.
	Base core.Generation `json:"base"`
	// Force makes a proposal accepted whatever is in force.
	Force bool `json:"force,omitempty"`
	// AsOf and Generation belong to a snapshot: after all records below AsOf,
	// Generation is in force.
	AsOf       platform.Offset `json:"as_of,omitempty"`
	Generation core.Generation `json:"generation,omitempty"`
	Set        json.RawMessage `json:"set"`
}

// decodeRecord reads the fields that decide acceptance; ok is false for a record that
// no reader can use.
func decodeRecord(data []byte) (rec Record, ok bool) {
	if len(data) > MaxRecordBytes || json.Unmarshal(data, &rec) != nil {
		return Record{}, false
	}
	return rec, rec.Kind == RecordApply || rec.Kind == RecordSnapshot
}

// mayStandFor reports whether the record can be the one that carries gen: a proposal's
// generation is above its base, a snapshot names its own.
func (r Record) mayStandFor(gen core.Generation) bool {
	if r.Kind == RecordSnapshot {
		return r.Generation == gen
	}
	return gen > r.Base
}

// decodeSet reads a record's set as strictly as its files were read.
func (r Record) decodeSet() (*Set, error) {
	if r.Format < 1 || r.Format > RecordFormat {
		return nil, trace.BadParameter("format %d is not known to this build", r.Format)
	}
	var set Set
	dec := json.NewDecoder(bytes.NewReader(r.Set))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&set); err != nil {
		return nil, trace.BadParameter("%v", err)
	}
	if faults := set.Check(); len(faults) > 0 {
		return nil, trace.Wrap(JoinFaults(faults))
	}
	return &set, nil
}

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
		return nil, trace.LimitExceeded("the configuration is over %d bytes", MaxRecordBytes)
	}
	return data, nil
}
