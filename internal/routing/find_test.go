package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

func TestJobIsFoundInWhateverZoneHasIt(t *testing.T) {
	cl := newFakeCluster("a", "b", "c")
	cl.schedulers["s-c"].jobs["j"] = 1
	r := cl.router()
	for range 2 {
		reply, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
		assert.NilError(t, err)
		assert.Equal(t, reply.Zone, core.ZoneID("c"))
	}
	assert.Equal(t, cl.schedulers["s-a"].count(wire.KindWait), 1, "the job's zone was not cached")
}

func TestNotFoundRequiresEveryZone(t *testing.T) {
	cl := newFakeCluster("a", "b")
	_, err := cl.router().Wait(t.Context(), wire.Wait{Job: "j"})
	assert.Assert(t, errkind.Is(err, errkind.NotFound))
	cases := map[string]func(){
		"unreachable":         func() { cl.schedulers["s-b"].script = always(unreachable) },
		"answer lost":         func() { cl.schedulers["s-b"].script = always(answerLost) },
		"no active scheduler": func() { cl.schedulers["s-b"].heartbeat.Active = false },
	}
	for name, setFault := range cases {
		cl = newFakeCluster("a", "b")
		setFault()
		r := cl.router(func(o *Options) { o.ResolveTimeout = 50 * time.Millisecond })
		_, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%s: %v", name, err)
		_, err = r.Cancel(t.Context(), wire.Cancel{Job: "j"})
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%s: %v", name, err)
	}
}

func TestConfiguredZoneWithoutHeartbeatsGivesOutcomeUnknown(t *testing.T) {
	cl := newFakeCluster("a")
	r := cl.router(func(o *Options) {
		o.Zones = func() []core.ZoneID { return []core.ZoneID{"a", "silent"} }
		o.ResolveTimeout = 50 * time.Millisecond
	})
	_, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
}

func TestWaitSurvivesFailover(t *testing.T) {
	cl := newFakeCluster("a", "b")
	a := cl.schedulers["s-a"]
	a.jobs["j"] = 1
	cl.log["j"] = logEntry{zone: "a", digest: 1}
	a.unblock = make(chan struct{})
	r := cl.router()
	result := make(chan error, 1)
	go func() {
		_, err := r.Wait(t.Context(), wire.Wait{Job: "j", Wait: 2 * time.Second})
		result <- err
	}()
	waitFor(t, func() bool { return a.count(wire.KindWait) > 0 })
	cl.update(func() {
		a.heartbeat.Active = false
		cl.add("next", "a", true, 2).jobs["j"] = 1
	})
	a.breakBlockedCalls()
	assert.NilError(t, <-result)
}

func TestStaleCachedZoneFallsBackToAllZones(t *testing.T) {
	cl := newFakeCluster("a", "b")
	r := cl.router()
	r.zoneCache.pin("j", "a")
	cl.schedulers["s-b"].jobs["j"] = 1
	reply, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Zone, core.ZoneID("b"))
}

func TestZoneCacheIsBoundedAndKeepsEntriesInUse(t *testing.T) {
	cache := newZoneCache(3)
	_, err := cache.begin("held", 1)
	assert.NilError(t, err)
	cache.claim("held", "a")
	for i := range 10 {
		cache.pin(core.JobID(fmt.Sprint(i)), "b")
	}
	assert.Assert(t, len(cache.byJob) <= 4)
	assert.Equal(t, cache.zone("held"), core.ZoneID("a"))
	assert.Equal(t, cache.zone("9"), core.ZoneID("b"))
	assert.Equal(t, cache.zone("1"), core.ZoneID(""))
	cache.finish("held")
	assert.Equal(t, cache.zone("held"), core.ZoneID(""))
}

func TestCircuitOpensAfterFailuresAndClosesOnAnAnswer(t *testing.T) {
	cl := newFakeCluster("a")
	b := cl.router().breakers
	hb := wire.Heartbeat{Host: "h", Seq: 1}
	now := time.Now()
	for range failureThreshold {
		assert.Assert(t, b.allow(hb, now))
		b.recordResult(hb, false, now)
	}
	assert.Assert(t, !b.allow(hb, now))
	later := now.Add(2 * maxOpenTime)
	assert.Assert(t, b.allow(hb, later), "no trial call after the open time")
	assert.Assert(t, !b.allow(hb, later), "more than one trial call")
	newer := hb
	newer.Seq++
	assert.Assert(t, b.allow(newer, later), "a heartbeat does not let calls through")
	b.recordResult(hb, true, later)
	assert.Assert(t, b.allow(hb, later))
}
