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
	w := newWorld("a", "b", "c")
	w.schedulers["s-c"].jobs["j"] = 1
	r := w.router()
	for range 2 {
		reply, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
		assert.NilError(t, err)
		assert.Equal(t, reply.Zone, core.ZoneID("c"))
	}
	assert.Equal(t, w.schedulers["s-a"].count(wire.KindWait), 1, "the owner was not remembered")
}

func TestNotFoundNeedsEveryZonesWord(t *testing.T) {
	w := newWorld("a", "b")
	_, err := w.router().Wait(t.Context(), wire.Wait{Job: "j"})
	assert.Assert(t, errkind.Is(err, errkind.NotFound))
	cases := map[string]func(){
		"unreachable": func() { w.schedulers["s-b"].script = always(unreachable) },
		"lost":        func() { w.schedulers["s-b"].script = always(answerLost) },
		"no active":   func() { w.schedulers["s-b"].beat.Active = false },
	}
	for name, cut := range cases {
		w = newWorld("a", "b")
		cut()
		r := w.router(func(o *Options) { o.ResolveTimeout = 50 * time.Millisecond })
		_, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%s: %v", name, err)
		_, err = r.Cancel(t.Context(), wire.Cancel{Job: "j"})
		assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%s: %v", name, err)
	}
}

func TestZoneOfTheConfigurationThatNobodyHearsLeavesTheAnswerOpen(t *testing.T) {
	w := newWorld("a")
	r := w.router(func(o *Options) {
		o.Zones = func() []core.ZoneID { return []core.ZoneID{"a", "silent"} }
		o.ResolveTimeout = 50 * time.Millisecond
	})
	_, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
	assert.Assert(t, errkind.Is(err, errkind.OutcomeUnknown), "%v", err)
}

func TestWaitOutlivesTheHoldersDeath(t *testing.T) {
	w := newWorld("a", "b")
	a := w.schedulers["s-a"]
	a.jobs["j"] = 1
	w.log["j"] = logged{zone: "a", digest: 1}
	a.hold = make(chan struct{})
	r := w.router()
	result := make(chan error, 1)
	go func() {
		_, err := r.Wait(t.Context(), wire.Wait{Job: "j", Wait: 2 * time.Second})
		result <- err
	}()
	await(t, func() bool { return a.count(wire.KindWait) > 0 })
	w.update(func() {
		a.beat.Active = false
		w.add("next", "a", true, 2).jobs["j"] = 1
	})
	a.breakHeld()
	assert.NilError(t, <-result)
}

func TestRememberedZoneThatForgotTheJobIsNotTheLastWord(t *testing.T) {
	w := newWorld("a", "b")
	r := w.router()
	r.owners.settle("j", "a")
	w.schedulers["s-b"].jobs["j"] = 1
	reply, err := r.Wait(t.Context(), wire.Wait{Job: "j"})
	assert.NilError(t, err)
	assert.Equal(t, reply.Zone, core.ZoneID("b"))
}

func TestOwnersAreBoundedAndKeepThoseInUse(t *testing.T) {
	o := newOwners(3)
	_, err := o.enter("held", 1)
	assert.NilError(t, err)
	o.claim("held", "a")
	for i := range 10 {
		o.settle(core.JobID(fmt.Sprint(i)), "b")
	}
	assert.Assert(t, len(o.byJob) <= 4)
	assert.Equal(t, o.zone("held"), core.ZoneID("a"))
	assert.Equal(t, o.zone("9"), core.ZoneID("b"))
	assert.Equal(t, o.zone("1"), core.ZoneID(""))
	o.leave("held")
	assert.Equal(t, o.zone("held"), core.ZoneID(""))
}

func TestCircuitOpensAfterFailuresAndClosesOnAnAnswer(t *testing.T) {
	w := newWorld("a")
	b := w.router().breakers
	hb := wire.Heartbeat{Host: "h", Seq: 1}
	now := time.Now()
	for range openAfter {
		assert.Assert(t, b.allow(hb, now))
		b.done(hb, false, now)
	}
	assert.Assert(t, !b.allow(hb, now))
	later := now.Add(2 * lastOpen)
	assert.Assert(t, b.allow(hb, later), "no probe after the pause")
	assert.Assert(t, !b.allow(hb, later), "more than one probe")
	heard := hb
	heard.Seq++
	assert.Assert(t, b.allow(heard, later), "a heartbeat does not let calls through")
	b.done(hb, true, later)
	assert.Assert(t, b.allow(hb, later))
}
