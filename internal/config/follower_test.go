package config

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
)

// startFollower runs a follower until the end of the test.
func startFollower(t *testing.T, log platform.Log, interval time.Duration) *Follower {
	t.Helper()
	f := NewFollower(log)
	f.SnapshotInterval = interval
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("not yet: %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(2*time.Millisecond))
}

func apply(t *testing.T, f *Follower, base core.Generation) (core.Generation, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	return f.Apply(ctx, Proposal{Base: base, Set: mustDecode(t)})
}

func TestAppliedSetIsInForceOnEveryFollower(t *testing.T) {
	log := fakelog.New()
	a, b := startFollower(t, log, time.Hour), startFollower(t, log, time.Hour)
	gen, err := apply(t, a, 0)
	assert.NilError(t, err)
	eventually(t, "b has the generation", func() bool { return b.Current().Generation == gen })
}

func TestConflictNamesBothGenerations(t *testing.T) {
	f := startFollower(t, fakelog.New(), time.Hour)
	first, err := apply(t, f, 0)
	assert.NilError(t, err)
	second, err := apply(t, f, first)
	assert.NilError(t, err)
	assert.Assert(t, second > first)
	_, err = apply(t, f, first)
	assert.Assert(t, errkind.Is(err, errkind.Conflict))
	assert.ErrorContains(t, err, "built on generation 1, but generation 2 is in force")
}

func TestLostAppendResponseIsResolvedByReadingTheStream(t *testing.T) {
	log := fakelog.New()
	log.SetFault(func() fakelog.Fault { return fakelog.AnswerLost })
	gen, err := apply(t, startFollower(t, log, time.Hour), 0)
	assert.NilError(t, err)
	assert.Equal(t, gen, core.Generation(1))
}

func TestRefusedAppendReturnsLogUnavailable(t *testing.T) {
	log := fakelog.New()
	f := startFollower(t, log, time.Hour)
	eventually(t, "the follower has read the log", f.Ready)
	log.SetDown(true)
	_, err := apply(t, f, 0)
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable))
}

func TestLogOutageKeepsTheConfigurationInForce(t *testing.T) {
	log := fakelog.New()
	f := startFollower(t, log, time.Hour)
	gen, err := apply(t, f, 0)
	assert.NilError(t, err)
	log.SetDown(true)
	assert.Equal(t, f.Current().Generation, gen)
	assert.Assert(t, f.Ready())
}

func TestHostPartitionedFromTheLogServesItsPeersConfiguration(t *testing.T) {
	log := fakelog.New()
	peer := startFollower(t, log, time.Hour)
	gen, err := apply(t, peer, 0)
	assert.NilError(t, err)
	unreachableLog := fakelog.New()
	unreachableLog.SetDown(true)
	f := startFollower(t, unreachableLog, time.Hour)
	assert.Assert(t, !f.Ready())
	cur := peer.Current()
	assert.Assert(t, f.Offer(cur.Record, cur.Generation))
	assert.Assert(t, !f.Ready(), "ready before all peers were asked")
	f.PeersConsulted()
	assert.Assert(t, f.Ready())
	assert.Equal(t, f.Current().Generation, gen)
	assert.Assert(t, !f.Offer(cur.Record, gen-1), "an older generation was accepted")
	assert.Assert(t, !f.Offer([]byte("junk"), gen+1))
	assert.Assert(t, !f.Offer([]byte(`{"kind":"snapshot","generation":3}`), gen+9), "a record of another generation was accepted")
}

func TestSnapshotLetsANewHostStartOnATrimmedLog(t *testing.T) {
	log := fakelog.New()
	f := startFollower(t, log, 20*time.Millisecond)
	gen, err := apply(t, f, 0)
	assert.NilError(t, err)
	log.Trim(platform.StreamConfig, 1)
	eventually(t, "a snapshot follows the trim", func() bool { return len(log.Records(platform.StreamConfig)) > 0 })
	fresh := startFollower(t, log, time.Hour)
	eventually(t, "the new host has the generation", func() bool { return fresh.Ready() && fresh.Current().Generation == gen })
	next, err := apply(t, fresh, gen)
	assert.NilError(t, err)
	eventually(t, "the old host has the new generation", func() bool { return f.Current().Generation == next })
}

// lostRecords is the number of records that are trimmed before a follower reads them.
const lostRecords = 9

func TestForcedSetIsAcceptedOnlyIfTheGenerationInForceIsUnknown(t *testing.T) {
	log := fakelog.New()
	for range lostRecords {
		_, err := log.Append(context.Background(), platform.StreamConfig, [][]byte{[]byte("{}")})
		assert.NilError(t, err)
	}
	log.Trim(platform.StreamConfig, lostRecords)
	f := startFollower(t, log, time.Hour)
	_, err := apply(t, f, 0)
	assert.Assert(t, errkind.Is(err, errkind.LogUnavailable), "%v", err)
	force := Proposal{Force: true, Set: mustDecode(t)}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	gen, err := f.Apply(ctx, force)
	assert.NilError(t, err)
	assert.Equal(t, gen, core.Generation(lostRecords+1))
	force.ID = "again"
	_, err = f.Apply(ctx, force)
	assert.Assert(t, errkind.Is(err, errkind.Conflict))
}
