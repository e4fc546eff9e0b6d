package routing

import (
	"context"
	"slices"
	"sync"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// Wait returns a job's state, waiting up to req.Wait for its end.
func (r *Router) Wait(ctx context.Context, req wire.Wait) (wire.JobReply, error) {
	end := time.Now().Add(req.Wait)
	q := query[wire.JobReply]{
		job: req.Job, kind: wire.KindWait, wait: req.Wait,
		body: func() any {
			return wire.Wait{Job: req.Job, Wait: max(time.Until(end), 0)}
		},
		elsewhere: elsewhere,
	}
	return find(ctx, r, q)
}

// Cancel asks for a job's end and returns its state.
func (r *Router) Cancel(ctx context.Context, req wire.Cancel) (wire.JobReply, error) {
	q := query[wire.JobReply]{
		job: req.Job, kind: wire.KindCancel, body: func() any { return req }, elsewhere: elsewhere,
	}
	return find(ctx, r, q)
}

// Explain says why a job waits.
func (r *Router) Explain(ctx context.Context, req wire.Explain) (core.Explanation, error) {
	q := query[core.Explanation]{
		job: req.Job, kind: wire.KindExplain, body: func() any { return req },
		elsewhere: func(core.Explanation) (core.ZoneID, bool) { return "", false },
	}
	return find(ctx, r, q)
}

func elsewhere(reply wire.JobReply) (core.ZoneID, bool) { return reply.Zone, reply.Elsewhere }

// query is a request about a job that may be repeated at will.
type query[Reply any] struct {
	job  core.JobID
	kind wire.Kind
	wait time.Duration
	// body returns the request with what is left of its wait.
	body func() any
	// elsewhere returns the zone that a reply sends the query on to.
	elsewhere func(Reply) (core.ZoneID, bool)
}

// find asks for a job until a scheduler answers for it or every zone has said that it
// does not know it. A zone that cannot be asked leaves the answer open: then the error
// is never "not found".
func find[Reply any](ctx context.Context, r *Router, q query[Reply]) (Reply, error) {
	pauses := newPauses()
	giveUp := time.Now().Add(max(q.wait, 0) + r.opts.ResolveTimeout)
	for {
		changed := r.opts.Directory.Changed()
		reply, state, err := askRound(ctx, r, q)
		if state == answered || state == refused {
			return reply, err
		}
		if !r.pause(ctx, r.owners.zone(q.job), changed, pauses, giveUp) {
			return reply, &errkind.Error{
				Kind: errkind.OutcomeUnknown, Message: "a zone that may have the job cannot be asked now",
				RetryAfterSeconds: noSchedulerRetryAfterSeconds,
			}
		}
	}
}

// askRound asks the zone that is known to have the job, or all zones at once.
func askRound[Reply any](ctx context.Context, r *Router, q query[Reply]) (Reply, result, error) {
	var none Reply
	known := r.owners.zone(q.job)
	if known == "" {
		return askAll(ctx, r, q)
	}
	hb, ok := r.actives()[known]
	if !ok {
		return none, notSent, nil
	}
	a := askOne(ctx, r, q, hb)
	if a.result == refused && errkind.Is(a.err, errkind.NotFound) {
		r.owners.forget(q.job, known)
		return askAll(ctx, r, q)
	}
	return a.reply, a.result, a.err
}

// answer is what one zone said.
type answer[Reply any] struct {
	reply  Reply
	result result
	err    error
}

// askOne asks one zone's active scheduler. A reply that sends the query elsewhere, and
// a scheduler that is not or no longer active, count as not sent.
func askOne[Reply any](ctx context.Context, r *Router, q query[Reply], hb wire.Heartbeat) answer[Reply] {
	var a answer[Reply]
	var kinded *errkind.Error
	a.result, kinded = r.call(ctx, hb, q.kind, q.body(), &a.reply, q.wait+callSlack)
	switch {
	case a.result == answered:
		zone, moved := q.elsewhere(a.reply)
		if moved {
			a.result = notSent
		} else {
			zone = hb.Zone
		}
		r.owners.settle(q.job, zone)
	case a.result == refused && notRun(kinded.Kind):
		a.result = notSent
	case a.result == refused:
		a.err = kinded
	}
	return a
}

// askAll asks all zones at once and returns the first answer that is not "not found".
func askAll[Reply any](ctx context.Context, r *Router, q query[Reply]) (Reply, result, error) {
	ctx, cancel := context.WithCancel(ctx)
	var asking sync.WaitGroup
	defer asking.Wait()
	defer cancel()
	actives := r.actives()
	answers := make(chan answer[Reply], len(actives))
	for _, hb := range actives {
		asking.Go(func() { answers <- askOne(ctx, r, q, hb) })
	}
	var notFound []error
	for range actives {
		a := <-answers
		if a.result == refused && errkind.Is(a.err, errkind.NotFound) {
			notFound = append(notFound, a.err)
			continue
		}
		if a.result == answered || a.result == refused {
			return a.reply, a.result, a.err
		}
	}
	var none Reply
	if len(notFound) > 0 && len(notFound) == len(actives) && r.coversAllZones(actives) {
		return none, refused, notFound[0]
	}
	return none, notSent, nil
}

func (r *Router) coversAllZones(actives map[core.ZoneID]wire.Heartbeat) bool {
	for _, zone := range r.zones() {
		if _, ok := actives[zone]; !ok {
			return false
		}
	}
	return true
}

// zones returns the zones that may have a job: those of the configuration and those of
// which a scheduler is heard.
func (r *Router) zones() []core.ZoneID {
	zones := slices.Clone(r.opts.Zones())
	for _, hb := range r.opts.Directory.Schedulers() {
		zones = append(zones, hb.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
