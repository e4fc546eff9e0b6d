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

// Wait returns a job's state after waiting up to req.Wait for the job to end.
func (r *Router) Wait(ctx context.Context, req wire.Wait) (wire.JobReply, error) {
	end := time.Now().Add(req.Wait)
	q := query[wire.JobReply]{
		job: req.Job, kind: wire.KindWait, wait: req.Wait,
		body: func() any {
			return wire.Wait{Job: req.Job, Wait: max(time.Until(end), 0)}
		},
		redirect: redirect,
	}
	return find(ctx, r, q)
}

// Cancel requests the cancellation of a job and returns the job's state.
func (r *Router) Cancel(ctx context.Context, req wire.Cancel) (wire.JobReply, error) {
	q := query[wire.JobReply]{
		job: req.Job, kind: wire.KindCancel, body: func() any { return req }, redirect: redirect,
	}
	return find(ctx, r, q)
}

// Explain returns the scheduler's explanation of a job's state.
func (r *Router) Explain(ctx context.Context, req wire.Explain) (core.Explanation, error) {
	q := query[core.Explanation]{
		job: req.Job, kind: wire.KindExplain, body: func() any { return req },
		redirect: func(core.Explanation) (core.ZoneID, bool) { return "", false },
	}
	return find(ctx, r, q)
}

func redirect(reply wire.JobReply) (core.ZoneID, bool) { return reply.Zone, reply.Elsewhere }

// query is an idempotent request about a job.
type query[Reply any] struct {
	job  core.JobID
	kind wire.Kind
	wait time.Duration
	// body returns the request with the remaining wait.
	body func() any
	// redirect reports whether a reply redirects the query, and to which zone.
	redirect func(Reply) (core.ZoneID, bool)
}

// find queries the schedulers until one answers for the job or every zone has replied
// that the job is not found. While a zone cannot be queried the job may be there: if that
// lasts until ResolveTimeout after the query's wait, the error is OutcomeUnknown, not
// NotFound.
func find[Reply any](ctx context.Context, r *Router, q query[Reply]) (Reply, error) {
	delays := newRoundBackoff()
	deadline := time.Now().Add(max(q.wait, 0) + r.opts.ResolveTimeout)
	for {
		changed := r.opts.Directory.Changed()
		reply, state, err := queryRound(ctx, r, q)
		if state == answered || state == refused {
			return reply, err
		}
		if !r.waitForRound(ctx, r.zoneCache.zone(q.job), changed, delays, deadline) {
			return reply, &errkind.Error{
				Kind: errkind.OutcomeUnknown, Message: "cannot look up the job: a zone that may have it cannot be queried now",
				RetryAfterSeconds: noSchedulerRetryAfterSeconds,
			}
		}
	}
}

// queryRound queries the zone that is known to have the job. It queries all zones at
// once when none is known, or when that zone replies that it does not have the job.
func queryRound[Reply any](ctx context.Context, r *Router, q query[Reply]) (Reply, result, error) {
	var none Reply
	known := r.zoneCache.zone(q.job)
	if known == "" {
		return queryAll(ctx, r, q)
	}
	hb, ok := r.actives()[known]
	if !ok {
		return none, notSent, nil
	}
	a := queryZone(ctx, r, q, hb)
	if a.result == refused && errkind.Is(a.err, errkind.NotFound) {
		r.zoneCache.invalidate(q.job, known)
		return queryAll(ctx, r, q)
	}
	return a.reply, a.result, a.err
}

// answer is the result of a query to one zone.
type answer[Reply any] struct {
	reply  Reply
	result result
	err    error
}

// queryZone queries one zone's active scheduler. A redirect counts as not sent, and so
// does a refusal after which another scheduler may be tried, such as that of a scheduler
// that is not active.
func queryZone[Reply any](ctx context.Context, r *Router, q query[Reply], hb wire.Heartbeat) answer[Reply] {
	var a answer[Reply]
	var peerErr *errkind.Error
	a.result, peerErr = r.call(ctx, hb, q.kind, q.body(), &a.reply, q.wait+callSlack)
	switch {
	case a.result == answered:
		zone, moved := q.redirect(a.reply)
		if moved {
			a.result = notSent
		} else {
			zone = hb.Zone
		}
		r.zoneCache.pin(q.job, zone)
	case a.result == refused && mayTryElsewhere(peerErr.Kind):
		a.result = notSent
	case a.result == refused:
		a.err = peerErr
	}
	return a
}

// queryAll queries all zones at once and returns the first reply, or the first error
// other than "not found". It returns "not found" only when every zone has replied so.
func queryAll[Reply any](ctx context.Context, r *Router, q query[Reply]) (Reply, result, error) {
	ctx, cancel := context.WithCancel(ctx)
	var queries sync.WaitGroup
	defer queries.Wait()
	defer cancel()
	actives := r.actives()
	answers := make(chan answer[Reply], len(actives))
	for _, hb := range actives {
		queries.Go(func() { answers <- queryZone(ctx, r, q, hb) })
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

// zones returns the zones that may have a job: those of the configuration, and those from
// whose schedulers heartbeats are received.
func (r *Router) zones() []core.ZoneID {
	zones := slices.Clone(r.opts.Zones())
	for _, hb := range r.opts.Directory.Schedulers() {
		zones = append(zones, hb.Zone)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}
