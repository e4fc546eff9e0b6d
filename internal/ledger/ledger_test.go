package ledger

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/core/job"
	"agatewinch/internal/sharedlog"
)

func must(t assert.TestingT, r sharedlog.Record, err error) sharedlog.Record {
	assert.NilError(t, err)
	return r
}

func record(t assert.TestingT, f func() (sharedlog.Record, error)) sharedlog.Record {
	r, err := f()
	return must(t, r, err)
}

func submitted(t assert.TestingT, id, payload string) sharedlog.Record {
	return record(t, func() (sharedlog.Record, error) {
		return JobRecord(&job.Job{ID: id, Queue: "q", Payload: payload, Steps: []job.Step{{Count: 1}}})
	})
}

func ended(t assert.TestingT, id string, s job.State) sharedlog.Record {
	return record(t, func() (sharedlog.Record, error) { return EndRecord(id, Ended{State: s, AtMs: 1}) })
}

func TestRepeatedSubmissionOfAnIDIsIgnored(t *testing.T) {
	l := New()
	assert.NilError(t, l.Apply([]sharedlog.Record{submitted(t, "a", "first"), submitted(t, "a", "second")}))
	e, ok := l.Find("a")
	assert.Assert(t, ok)
	assert.Equal(t, e.Job.Payload, "first")
}

func TestRepeatedRecordsDoNotChangeTheEndState(t *testing.T) {
	l := New()
	assert.NilError(t, l.Apply([]sharedlog.Record{submitted(t, "a", "x"), ended(t, "a", job.Succeeded), submitted(t, "a", "x"), CancelRecord("a")}))
	state, _, ok := l.StateOf("a")
	assert.Assert(t, ok)
	assert.Equal(t, state, job.Succeeded)
}

func TestStatesOfAJob(t *testing.T) {
	l := New()
	assert.NilError(t, l.Apply([]sharedlog.Record{submitted(t, "a", "x")}))
	assert.Equal(t, l.Waiting("q"), 1)
	id := job.TaskID{Job: "a"}
	placed := record(t, func() (sharedlog.Record, error) { return TaskRecord(id, job.TaskRecord{Run: 1, Active: true}) })
	assert.NilError(t, l.Apply([]sharedlog.Record{placed}))
	assert.Equal(t, l.Waiting("q"), 1, "a placed task has not started")
	started := record(t, func() (sharedlog.Record, error) {
		return TaskRecord(id, job.TaskRecord{Run: 1, Active: true, Started: true})
	})
	assert.NilError(t, l.Apply([]sharedlog.Record{started}))
	state, _, _ := l.StateOf("a")
	assert.Equal(t, state, job.Running)
	assert.Equal(t, l.Waiting("q"), 0)
	assert.NilError(t, l.Apply([]sharedlog.Record{CancelRecord("a")}))
	state, _, _ = l.StateOf("a")
	assert.Equal(t, state, job.Cancelled)
}

func TestUndecodableRecordIsSkipped(t *testing.T) {
	l := New()
	err := l.Apply([]sharedlog.Record{{Key: keyJob + "bad", Value: []byte{0xff}}, {Key: "unknown", Value: []byte{1}}, submitted(t, "a", "x")})
	assert.ErrorContains(t, err, "j/bad")
	_, ok := l.Find("a")
	assert.Assert(t, ok)
}

func TestRoleOfALowerEpochIsIgnored(t *testing.T) {
	l := New()
	for _, epoch := range []int64{1, 3, 2} {
		assert.NilError(t, l.Apply([]sharedlog.Record{record(t, func() (sharedlog.Record, error) { return RoleRecord(Role{Epoch: epoch, Holder: "h"}) })}))
	}
	assert.Equal(t, l.Role().Epoch, int64(3))
}

// TestNewestRecordsGiveTheStateOfAllRecords checks that a ledger that has applied the newest
// record of each key, and then some records again, has the same jobs, cancellations and ends as
// a ledger that has applied all records.
func TestNewestRecordsGiveTheStateOfAllRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var all []sharedlog.Record
		for range rapid.IntRange(1, 30).Draw(rt, "records") {
			id := rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "job")
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				all = append(all, submitted(rt, id, "x"))
			case 1:
				all = append(all, CancelRecord(id))
			case 2:
				task := job.TaskRecord{Run: rapid.IntRange(1, 5).Draw(rt, "run"), Started: rapid.Bool().Draw(rt, "began")}
				all = append(all, record(rt, func() (sharedlog.Record, error) { return TaskRecord(job.TaskID{Job: id}, task) }))
			case 3:
				all = append(all, ended(rt, id, job.Failed))
			}
		}
		read, loaded := New(), New()
		assert.NilError(rt, read.Apply(all))
		newest := map[string]sharedlog.Record{}
		for _, r := range all {
			newest[r.Key] = r
		}
		for _, r := range newest {
			assert.NilError(rt, loaded.Apply([]sharedlog.Record{r}))
		}
		assert.NilError(rt, loaded.Apply(all[rapid.IntRange(0, len(all)).Draw(rt, "from"):]))
		for _, id := range []string{"a", "b"} {
			a, okA := read.Find(id)
			b, okB := loaded.Find(id)
			assert.Equal(rt, okA, okB)
			assert.Equal(rt, a.Cancelled, b.Cancelled)
			assert.Equal(rt, a.Ended == nil, b.Ended == nil)
		}
	})
}

// The submission and the cancellation are in different topics, so that either may be read first.
func TestEarlyCancellationAppliesInEitherOrder(t *testing.T) {
	job := func(org string) sharedlog.Record {
		return record(t, func() (sharedlog.Record, error) {
			return JobRecord(&job.Job{ID: "a", Org: org, Queue: "q", Steps: []job.Step{{Count: 1}}})
		})
	}
	early := record(t, func() (sharedlog.Record, error) { return EarlyCancelRecord("a", "org", 1) })
	for _, tc := range []struct {
		records   []sharedlog.Record
		cancelled bool
	}{
		{[]sharedlog.Record{early, job("org")}, true},
		{[]sharedlog.Record{job("org"), early}, true},
		{[]sharedlog.Record{early, job("other")}, false},
		{[]sharedlog.Record{job("other"), early}, false},
		{[]sharedlog.Record{early, {Key: early.Key}, job("org")}, false},
	} {
		l := New()
		assert.NilError(t, l.Apply(tc.records))
		e, ok := l.Find("a")
		assert.Assert(t, ok)
		assert.Equal(t, e.Cancelled, tc.cancelled)
	}
	l := New()
	assert.NilError(t, l.Apply([]sharedlog.Record{early, {Key: early.Key}}))
	_, known := l.Find("a")
	assert.Assert(t, !known, "nothing is kept of a dropped cancellation")
}
