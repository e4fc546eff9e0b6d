package routing

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// TestPartitionedZoneServesReachableParts checks the table of
// docs/operators/zone-cut-off.md. Zone a is the gate's own; each zone has one job. The
// name of a case says what cannot be reached. Its error kinds are those expected for new
// jobs, idempotent and logged, and for polls of the jobs of both zones; empty is success.
func TestPartitionedZoneServesReachableParts(t *testing.T) {
	logDown := &errkind.Error{Kind: errkind.LogUnavailable}
	cases := []struct {
		name       string
		partition  func(a, b *fakeScheduler)
		idempotent errkind.Kind
		logged     errkind.Kind
		ownPoll    errkind.Kind
		otherPoll  errkind.Kind
	}{
		{
			name: "platform only, for all zones",
			partition: func(a, b *fakeScheduler) {
				a.refuseLogged, b.refuseLogged = logDown, logDown
			},
			logged: errkind.LogUnavailable,
		},
		{name: "platform only, for this zone", partition: func(a, _ *fakeScheduler) { a.refuseLogged = logDown }},
		{name: "other zones", partition: func(_, b *fakeScheduler) { b.script = always(unreachable) }, otherPoll: errkind.OutcomeUnknown},
		{
			name: "platform and other zones",
			partition: func(a, b *fakeScheduler) {
				a.refuseLogged = logDown
				b.script = always(unreachable)
			},
			logged: errkind.LogUnavailable, otherPoll: errkind.OutcomeUnknown,
		},
		{name: "own schedulers", partition: func(a, _ *fakeScheduler) { a.script = always(unreachable) }, ownPoll: errkind.OutcomeUnknown},
		{
			name: "everything",
			partition: func(a, b *fakeScheduler) {
				a.script, b.script = always(unreachable), always(unreachable)
			},
			idempotent: errkind.NoScheduler, logged: errkind.NoScheduler,
			ownPoll: errkind.OutcomeUnknown, otherPoll: errkind.OutcomeUnknown,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cl := newFakeCluster("a", "b")
			a, b := cl.schedulers["s-a"], cl.schedulers["s-b"]
			a.jobs["own"], b.jobs["other"] = 1, 1
			c.partition(a, b)
			r := cl.router(func(o *Options) { o.ResolveTimeout = 50 * time.Millisecond })
			assert.Equal(t, submitKind(t, r, idempotentJob("new")), c.idempotent)
			assert.Equal(t, submitKind(t, r, nonIdempotentJob("new once")), c.logged)
			assert.Equal(t, pollKind(t, r, "own"), c.ownPoll)
			assert.Equal(t, pollKind(t, r, "other"), c.otherPoll)
		})
	}
}

func submitKind(t *testing.T, r *Router, req wire.Submit) errkind.Kind {
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := r.Submit(ctx, req)
	return kindOf(err)
}

func pollKind(t *testing.T, r *Router, job core.JobID) errkind.Kind {
	_, err := r.Wait(t.Context(), wire.Wait{Job: job})
	return kindOf(err)
}

func kindOf(err error) errkind.Kind {
	if err == nil {
		return errkind.None
	}
	return errkind.Of(err).Kind
}
