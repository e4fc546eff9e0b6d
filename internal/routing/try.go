package routing

import (
	"context"
	"errors"
	"time"

	"agatewinch/internal/errkind"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// result is the result of one call to one scheduler.
type result int

const (
	// answered means that the scheduler handled the request and replied.
	answered result = iota
	// refused means that the scheduler replied with an error.
	refused
	// notSent means that the scheduler did not execute the request and never will.
	notSent
	// lost means that the request may have taken effect: no answer came, or the scheduler
	// reported an internal error.
	lost
	// skipped means that no call was made: the circuit to the scheduler is open, or the
	// directory has no client of it.
	skipped
	// cancelled means that the caller's own context ended when the request may already have
	// taken effect.
	cancelled
)

// call makes one call to a scheduler, which times out after limit. The error is the one in
// the scheduler's reply and is set only if the result is refused.
func (r *Router) call(ctx context.Context, to wire.Heartbeat, kind wire.Kind, body, out any, limit time.Duration) (result, *errkind.Error) {
	client := r.opts.Directory.SchedulerClient(to.Host)
	if client == nil || !r.breakers.allow(to, time.Now()) {
		return skipped, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := client.Call(callCtx, kind, body, out)
	res, peerErr := classify(err)
	switch {
	case res == answered, res == refused:
		r.breakers.recordResult(to, true, time.Now())
	case ctx.Err() != nil:
		if res == lost {
			res = cancelled
		}
	default:
		r.breakers.recordResult(to, false, time.Now())
	}
	return res, peerErr
}

// classify maps a call's error to a result. An internal error of the peer counts as lost,
// because the request may have taken effect.
func classify(err error) (result, *errkind.Error) {
	var peerErr *errkind.Error
	switch {
	case err == nil:
		return answered, nil
	case errors.Is(err, peer.ErrNotSent):
		return notSent, nil
	case !errors.As(err, &peerErr):
		return lost, nil
	case peerErr.Kind == errkind.Internal:
		return lost, nil
	default:
		return refused, peerErr
	}
}

// mayTryElsewhere reports whether a refusal of this kind proves that the request had no
// effect and another scheduler may admit it.
func mayTryElsewhere(kind errkind.Kind) bool {
	switch kind {
	case errkind.NoScheduler, errkind.Draining, errkind.QueueFull, errkind.LogUnavailable, errkind.NeverRunnable:
		return true
	default:
		return false
	}
}
