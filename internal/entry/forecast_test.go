package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/catalog"
	"agatewinch/internal/core/admission"
	"agatewinch/internal/core/job"
	"agatewinch/internal/errkind"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

var batchQueue = catalog.Queue{Name: "batches", Host: "a.example", Prefix: "/b/", Service: "service", Priority: 2, Attempts: 3, Stretch: 3, Objective: time.Second}

// hostShortOfRoom returns a host, which does not run, that has read a forecast of the leader with epoch 4
// by which waiting work takes an hour to start.
func hostShortOfRoom(t *testing.T, madeBefore time.Duration) (*Host, sharedlog.Log) {
	t.Helper()
	log := memlog.New()
	h := newHost(log, &workers{}, "host")
	for _, reader := range append(h.jobReaders, h.stateReader) {
		assert.NilError(t, reader.loadNewest(t.Context()))
		assert.NilError(t, reader.readOnce(t.Context(), 0))
	}
	role, err := ledger.RoleRecord(ledger.Role{Epoch: 4, Holder: "leader"})
	assert.NilError(t, err)
	forecast, err := ledger.ForecastRecord(&admission.Forecast{Epoch: 4, AtMs: time.Now().Add(-madeBefore).UnixMilli(), Lanes: []admission.Lane{{Service: "service", Priority: 2, Backlog: 3600, Drain: 1}}})
	assert.NilError(t, err)
	assert.NilError(t, h.ledger.Apply([]sharedlog.Record{role, forecast}))
	return h, log
}

// admits reports whether h would write a job to the log.
func admits(t *testing.T, h *Host) bool {
	t.Helper()
	j := submission("0000000000000001")
	j.Service, j.Priority, j.Stretch, j.Objective = "service", 2, 3, time.Second
	known, err := h.admit(t.Context(), j)
	return !known && err == nil
}

func TestJobThatCouldOnlyEndTooLateIsRefusedAtOnce(t *testing.T) {
	h, _ := hostShortOfRoom(t, 0)
	err := h.Submit(t.Context(), &batchQueue, "org", submission("0000000000000001"))
	assert.Assert(t, errkind.Is(err, errkind.QueueFull), "%v", err)
	assert.Assert(t, errkind.Of(err).RetryAfterSeconds >= 0.75*admission.MaxRetryAfter.Seconds(), "%v", errkind.Of(err).RetryAfterSeconds)
	assert.Equal(t, errkind.PropertiesOf(errkind.QueueFull).Ran, errkind.RanNo)
}

func TestNothingIsRefusedOnAForecastThatMayBeOutOfDate(t *testing.T) {
	t.Run("the leader stopped making forecasts", func(t *testing.T) {
		h, _ := hostShortOfRoom(t, admission.MaxAge+time.Second)
		assert.Assert(t, admits(t, h))
	})
	t.Run("another leader has taken over", func(t *testing.T) {
		h, _ := hostShortOfRoom(t, 0)
		assert.Assert(t, !admits(t, h))
		role, err := ledger.RoleRecord(ledger.Role{Epoch: 5, Holder: "successor"})
		assert.NilError(t, err)
		assert.NilError(t, h.ledger.Apply([]sharedlog.Record{role}))
		assert.Assert(t, admits(t, h))
	})
	t.Run("the log does not answer this host", func(t *testing.T) {
		h, _ := hostShortOfRoom(t, 0)
		h.stateReader.markFailed(errors.New("no answer"))
		assert.Assert(t, admits(t, h))
	})
	t.Run("the leader says that room is not short any more", func(t *testing.T) {
		h, _ := hostShortOfRoom(t, 0)
		none, err := ledger.ForecastRecord(&admission.Forecast{Epoch: 4, AtMs: time.Now().UnixMilli()})
		assert.NilError(t, err)
		assert.NilError(t, h.ledger.Apply([]sharedlog.Record{none}))
		assert.Assert(t, admits(t, h))
	})
	t.Run("this host has not read one", func(t *testing.T) {
		assert.Assert(t, admits(t, newHost(memlog.New(), &workers{}, "host")))
	})
}

// Guards against "not run" for a job that another host has accepted and this one has not read yet.
func TestJobThatAnotherHostHasAcceptedIsNotRefused(t *testing.T) {
	h, log := hostShortOfRoom(t, 0)
	accepted := submission("0000000000000001")
	accepted.Org, accepted.Queue = "org", batchQueue.Name
	rec, err := ledger.JobRecord(accepted)
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), ledger.TopicsJobs[1], []sharedlog.Record{rec}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	assert.NilError(t, h.Submit(t.Context(), &batchQueue, "org", submission("0000000000000001")))
}

// A host that cannot read the log to its end does not know whether the job was accepted.
func TestNothingIsRefusedWithoutReadingTheLogToItsEnd(t *testing.T) {
	h, _ := hostShortOfRoom(t, 0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	j := submission("0000000000000001")
	j.Service, j.Priority, j.Stretch, j.Objective = "service", 2, 3, time.Second
	h.log = unreadable{h.log}
	_, err := h.admit(ctx, j)
	assert.NilError(t, err)
}

// unreadable is a log whose reads fail.
type unreadable struct{ sharedlog.Log }

func (unreadable) Read(context.Context, sharedlog.Topic, int64, time.Duration) (sharedlog.ReadResult, error) {
	return sharedlog.ReadResult{}, sharedlog.ErrRefused
}

// A queue whose jobs have no objective is served as before.
func TestQueuesWithoutAnObjectiveAreNeverRefused(t *testing.T) {
	h, _ := hostShortOfRoom(t, 0)
	j := &job.Job{ID: "0000000000000001", Service: "service", Priority: 2, Steps: submission("").Steps}
	known, err := h.admit(t.Context(), j)
	assert.Assert(t, !known && err == nil)
}

// A caller who returns after a refusal, to any host, has waited since it was first refused.
func TestCallerKeepsItsPlaceAfterARefusal(t *testing.T) {
	h, log := hostShortOfRoom(t, 0)
	ctx, cancel := context.WithCancel(t.Context())
	var wait sync.WaitGroup
	wait.Go(func() { assert.Check(t, h.writer.run(ctx)) })
	defer func() { cancel(); wait.Wait() }()
	before := time.Now().UnixMilli()
	err := h.Submit(ctx, &batchQueue, "org", submission("0000000000000001"))
	assert.Assert(t, errkind.Is(err, errkind.QueueFull), "%v", err)
	eventually(t, func() bool { return h.ledger.RefusedMs("0000000000000001") >= before })
	refused := h.ledger.RefusedMs("0000000000000001")

	other, _ := hostShortOfRoom(t, admission.MaxAge+time.Second)
	other.log = log
	wait.Go(func() { assert.Check(t, other.writer.run(ctx)) })
	for _, reader := range other.jobReaders {
		assert.NilError(t, reader.catchUp(ctx))
	}
	assert.NilError(t, other.Submit(ctx, &batchQueue, "org", submission("0000000000000001")))
	accepted, ok := other.ledger.Find("0000000000000001")
	assert.Assert(t, ok)
	assert.Equal(t, accepted.Job.ArrivedMs(), refused)
	assert.Assert(t, accepted.Job.AcceptedMs >= refused)
}
