package journal

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
	_ "agatewinch/test/rapidseed"
)

const zoneA, zoneB = core.ZoneID("kr-a"), core.ZoneID("kr-b")

func admitted(id string, zone core.ZoneID, holder string, term core.Term, job core.JobID) Record {
	return Record{ID: id, Zone: zone, Holder: holder, Term: term, Admitted: &Admitted{Job: core.Job{ID: job}, Digest: 7}}
}

func placed(id string, zone core.ZoneID, holder string, term core.Term, job core.JobID, attempt int) Record {
	return Record{ID: id, Zone: zone, Holder: holder, Term: term, Placed: &Placed{Job: job, Attempt: attempt}}
}

func ended(id string, zone core.ZoneID, holder string, term core.Term, job core.JobID, out core.Outcome) Record {
	return Record{ID: id, Zone: zone, Holder: holder, Term: term, Ended: &Ended{Job: job, Outcome: out}}
}

func apply(records ...Record) *State {
	s := NewState()
	for i, r := range records {
		s.Apply(platform.Offset(i), r)
	}
	return s
}

func TestFirstAdmissionInOffsetOrderOwnsTheJob(t *testing.T) {
	s := apply(admitted("1", zoneB, "b", 1, "j"), admitted("2", zoneA, "a", 9, "j"))
	e, ok := s.Entry("j")
	assert.Assert(t, ok)
	assert.Equal(t, e.Zone, zoneB)
	assert.Equal(t, e.AdmittedBy, "1")
}

func TestPlacementOfAFormerHolderIsVoidAfterTheNewTermsFence(t *testing.T) {
	fence := Record{ID: "2", Zone: zoneA, Holder: "new", Term: 2}
	s := apply(admitted("1", zoneA, "old", 1, "j"), fence, placed("3", zoneA, "old", 1, "j", 1), placed("4", zoneA, "new", 2, "j", 1))
	e, _ := s.Entry("j")
	assert.Equal(t, e.PlacedBy, "4")
}

func TestPlacementBeforeTheFenceTakesEffect(t *testing.T) {
	fence := Record{ID: "3", Zone: zoneA, Holder: "new", Term: 2}
	s := apply(admitted("1", zoneA, "old", 1, "j"), placed("2", zoneA, "old", 1, "j", 1), fence, placed("4", zoneA, "new", 2, "j", 1))
	e, _ := s.Entry("j")
	assert.Equal(t, e.PlacedBy, "2")
}

func TestSecondHolderOfATermCannotPlace(t *testing.T) {
	s := apply(admitted("1", zoneA, "x", 3, "j"), placed("2", zoneA, "y", 3, "j", 1))
	e, _ := s.Entry("j")
	assert.Equal(t, e.PlacedBy, "")
}

func TestFormerHoldersOutcomeTakesEffectOnlyWhenWorkersReportedIt(t *testing.T) {
	fence := Record{ID: "f", Zone: zoneA, Holder: "new", Term: 2}
	late := core.Outcome{State: core.Failed, Kind: errkind.DeadlineExceeded, Ran: errkind.RanNo}
	s := apply(admitted("1", zoneA, "old", 1, "j"), fence, ended("2", zoneA, "old", 1, "j", late))
	e, _ := s.Entry("j")
	assert.Assert(t, e.Live())
	s.Apply(3, ended("3", zoneA, "old", 1, "j", core.Outcome{State: core.Succeeded}))
	e, _ = s.Entry("j")
	assert.Equal(t, e.EndedBy, "3")
}

func TestAnotherZonesRecordsDoNotAffectAJob(t *testing.T) {
	s := apply(admitted("1", zoneA, "a", 1, "j"), placed("2", zoneB, "b", 9, "j", 1), ended("3", zoneB, "b", 9, "j", core.Outcome{State: core.Succeeded}))
	e, _ := s.Entry("j")
	assert.Assert(t, e.Live() && e.Placed == nil)
}

// drawRecord draws a record from few jobs, holders and terms, so that records conflict.
func drawRecord(t *rapid.T, n int) Record {
	id := fmt.Sprintf("r%d", n)
	zone := rapid.SampledFrom([]core.ZoneID{zoneA, zoneB}).Draw(t, "zone")
	holder := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "holder")
	term := core.Term(rapid.IntRange(1, 4).Draw(t, "term"))
	job := core.JobID(fmt.Sprintf("j%d", rapid.IntRange(0, 6).Draw(t, "job")))
	switch rapid.IntRange(0, 9).Draw(t, "kind") {
	case 0, 1, 2:
		return admitted(id, zone, holder, term, job)
	case 3, 4, 5:
		return placed(id, zone, holder, term, job, rapid.IntRange(1, 3).Draw(t, "attempt"))
	case 6, 7:
		out := rapid.SampledFrom([]core.Outcome{{State: core.Succeeded}, {State: core.Failed, Kind: errkind.Cancelled}}).Draw(t, "outcome")
		return ended(id, zone, holder, term, job, out)
	case 8:
		return Record{ID: id, Zone: zone, Holder: holder, Term: term, Expired: &Expired{Before: platform.Offset(rapid.IntRange(0, n).Draw(t, "before"))}}
	default:
		return Record{ID: id, Zone: zone, Holder: holder, Term: term}
	}
}

// TestReplayFromAnySnapshotEqualsTheWholeHistory checks that Bootstrap restores the full
// state from random records, some appended twice as after lost responses, and snapshots
// appended late by paused processes, after retention has trimmed a prefix covered by a
// snapshot.
func TestReplayFromAnySnapshotEqualsTheWholeHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log, model := fakelog.New(), NewState()
		var paused []SnapshotPart
		var safeTrim platform.Offset
		put := func(r Record) {
			data, err := r.Encode()
			assert.NilError(t, err)
			at, err := log.Append(t.Context(), platform.StreamJobs, [][]byte{data})
			assert.NilError(t, err)
			model.Apply(at, r)
		}
		for n := range rapid.IntRange(0, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0:
				paused = append(paused, model.Parts(fmt.Sprintf("s%d", n))...)
			case 1:
				for i := range paused {
					put(Record{ID: fmt.Sprintf("p%d.%d", n, i), Zone: zoneA, Holder: "x", Term: 1, Snapshot: &paused[i]})
					safeTrim = max(safeTrim, paused[i].Covers)
				}
				paused = nil
			case 2:
				r := drawRecord(t, n)
				put(r)
				put(r)
			default:
				put(drawRecord(t, n))
			}
		}
		log.Trim(platform.StreamJobs, platform.Offset(rapid.Uint64Range(0, uint64(safeTrim)).Draw(t, "trim")))
		got, err := Bootstrap(t.Context(), log)
		assert.NilError(t, err)
		assert.Assert(t, !got.Gap)
		assert.DeepEqual(t, got.State.Entries("", func(Entry) bool { return true }), model.Entries("", func(Entry) bool { return true }))
		assert.DeepEqual(t, got.State.sortedHolders(), model.sortedHolders())
		assert.Equal(t, got.State.live, model.live)
	})
}
