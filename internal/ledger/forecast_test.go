package ledger

import (
	"testing"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/admission"
	"agatewinch/internal/sharedlog"
)

func TestForecastIsReadWhileItIsFresh(t *testing.T) {
	l := New()
	assert.Assert(t, l.Forecast(1000) == nil)
	role, err := RoleRecord(Role{Epoch: 2})
	assert.NilError(t, err)
	f := &admission.Forecast{Epoch: 2, AtMs: 1000, Lanes: []admission.Lane{{Service: "s", Priority: 1, Backlog: 5, Drain: 2}}}
	rec, err := ForecastRecord(f)
	assert.NilError(t, err)
	assert.NilError(t, l.Apply([]sharedlog.Record{role, rec}))
	assert.DeepEqual(t, l.Forecast(1000), f)
	assert.Assert(t, l.Forecast(1001+admission.MaxAge.Milliseconds()) == nil)
}

func TestForecastThatCannotBeReadDropsTheOneBefore(t *testing.T) {
	for name, value := range map[string][]byte{"tombstone": nil, "unreadable": {0xff}} {
		l := New()
		rec, err := ForecastRecord(&admission.Forecast{AtMs: 1000})
		assert.NilError(t, err)
		assert.NilError(t, l.Apply([]sharedlog.Record{rec}))
		assert.Assert(t, l.Forecast(1000) != nil)
		err = l.Apply([]sharedlog.Record{{Key: keyForecast, Value: value}})
		assert.Equal(t, err != nil, name == "unreadable")
		assert.Assert(t, l.Forecast(1000) == nil, name)
	}
}

func TestEarliestRefusalOfAJobCounts(t *testing.T) {
	l := New()
	for _, at := range []int64{500, 300, 400} {
		rec, err := RefusalRecord("a", at)
		assert.NilError(t, err)
		assert.NilError(t, l.Apply([]sharedlog.Record{rec}))
	}
	assert.Equal(t, l.RefusedMs("a"), int64(300))
	assert.Equal(t, l.RefusedMs("b"), int64(0))
}

// Guards against refusals that stay in the log for good.
func TestRefusalsAreDroppedWhenTheyExpireOrTheirJobDoes(t *testing.T) {
	l := New()
	rec, err := RefusalRecord("a", 300)
	assert.NilError(t, err)
	assert.NilError(t, l.Apply([]sharedlog.Record{rec}))
	e := l.entries["a"]
	assert.Equal(t, len(e.ExpiredCancels("a", 300)), 0)
	tombstones := e.ExpiredCancels("a", 301)
	assert.DeepEqual(t, tombstones, []sharedlog.Record{{Key: keyRefusal + "a"}})
	assert.DeepEqual(t, e.JobTombstones("a"), []sharedlog.Record{{Key: keyJob + "a"}, {Key: keyCancel + "a"}, {Key: keyRefusal + "a"}})
	assert.NilError(t, l.Apply(tombstones))
	_, known := l.Find("a")
	assert.Assert(t, !known)
}
