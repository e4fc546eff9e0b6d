// Package journal stores the state of jobs in the platform's log: admissions, placements
// and outcomes of all availability zones in one stream. Snapshots of the state are appended
// to the same stream, so that a new reader replays few records and retention loses no state.
//
// Whether a record takes effect depends only on the records before it, so that all readers
// of the stream agree. Clocks of different hosts are never compared.
//
// The journal belongs to package scheduler. Package ledger holds the state of jobs for package
// entry, from another kind of log.
package journal

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Record is one record of the jobs stream. At most one of its pointer fields is set; a
// record with none is a fence, which only announces its writer's term.
type Record struct {
	// ID is unique for each record; a record that is appended again after a lost response
	// keeps its ID.
	ID   string      `cbor:"1,keyasint"`
	Zone core.ZoneID `cbor:"2,keyasint"`
	// Holder and Term identify the writer. A placement takes effect only when its writer is
	// the leader of the highest term in the zone's records up to it.
	Holder   string        `cbor:"3,keyasint"`
	Term     core.Term     `cbor:"4,keyasint"`
	Admitted *Admitted     `cbor:"5,keyasint,omitempty"`
	Placed   *Placed       `cbor:"6,keyasint,omitempty"`
	Ended    *Ended        `cbor:"7,keyasint,omitempty"`
	Snapshot *SnapshotPart `cbor:"8,keyasint,omitempty"`
	Expired  *Expired      `cbor:"9,keyasint,omitempty"`
}

// Admitted admits a job. Only the first admission of a job ID in offset order takes effect.
type Admitted struct {
	Job core.Job `cbor:"1,keyasint"`
	// Digest is a hash of the caller's request.
	Digest uint64 `cbor:"2,keyasint"`
}

// Placed is the intent to start a job's tasks; it is in the log before anything is sent to
// a worker. Of several placements of one attempt only the first takes effect.
type Placed struct {
	Job        core.JobID       `cbor:"1,keyasint"`
	Attempt    int              `cbor:"2,keyasint"`
	Placements []core.Placement `cbor:"3,keyasint"`
}

// Ended is a job's final outcome. Only the first one of a job takes effect; State.end ignores
// outcomes that a former leader decided itself.
type Ended struct {
	Job     core.JobID   `cbor:"1,keyasint"`
	Outcome core.Outcome `cbor:"2,keyasint"`
	// Forget makes the job's ID available for another submission: the job was refused after
	// its admission and did not run.
	Forget bool `cbor:"3,keyasint,omitempty"`
}

// Expired drops the outcomes that were recorded before an offset.
type Expired struct {
	Before platform.Offset `cbor:"1,keyasint"`
}

// SnapshotPart is one part of a snapshot, the state as of an offset. A snapshot is complete
// when all Parts parts have been read.
type SnapshotPart struct {
	// Snapshot is the ID that all parts of one snapshot share.
	Snapshot string `cbor:"1,keyasint"`
	Part     int    `cbor:"2,keyasint"`
	Parts    int    `cbor:"3,keyasint"`
	// Covers is the offset before which all records are reflected in the snapshot.
	Covers  platform.Offset `cbor:"4,keyasint"`
	Entries []Entry         `cbor:"5,keyasint"`
	// Holders are the leaders of the zones' highest terms; only part 0 has them.
	Holders []ZoneHolder `cbor:"6,keyasint,omitempty"`
}

// ZoneHolder is the leader of the highest term in a zone's records.
type ZoneHolder struct {
	Zone   core.ZoneID `cbor:"1,keyasint"`
	Holder string      `cbor:"2,keyasint"`
	Term   core.Term   `cbor:"3,keyasint"`
}

// Entry is the state of one job.
type Entry struct {
	Job    core.Job    `cbor:"1,keyasint"`
	Digest uint64      `cbor:"2,keyasint"`
	Zone   core.ZoneID `cbor:"3,keyasint"`
	// AdmittedBy, PlacedBy and EndedBy are the IDs of the records that took effect.
	AdmittedBy string  `cbor:"4,keyasint"`
	Placed     *Placed `cbor:"5,keyasint,omitempty"`
	PlacedBy   string  `cbor:"6,keyasint,omitempty"`
	// Outcome is set when the job has ended.
	Outcome *core.Outcome   `cbor:"7,keyasint,omitempty"`
	EndedBy string          `cbor:"8,keyasint,omitempty"`
	EndedAt platform.Offset `cbor:"9,keyasint,omitempty"`
}

// Live reports whether the job has not ended.
func (e Entry) Live() bool { return e.Outcome == nil }

// Encode returns the record in the log's encoding, CBOR.
func (r Record) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r)
	return data, trace.Wrap(err)
}

// Decode decodes a record of the log.
func Decode(data []byte) (Record, error) {
	var r Record
	err := cbor.Unmarshal(data, &r)
	return r, trace.Wrap(err)
}
