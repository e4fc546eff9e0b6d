package routing

import (
	"context"
	"errors"
	"time"

	"agatewinch/internal/errkind"
	"agatewinch/internal/peer"
	"agatewinch/internal/wire"
)

// result is what one call to one scheduler came to.
type result int

const (
	// answered means that the scheduler carried the request out and replied.
	answered result = iota
	// refused means that the scheduler replied with an error.
	refused
	// notSent means that nothing reached the scheduler and nothing will.
	notSent
	// lost means that the request may have been carried out.
	lost
	// skipped means that the circuit to the scheduler is open.
	skipped
	// ended means that the caller's own context has ended after the request was sent.
	ended
)

// call makes one call to a scheduler, which may take limit.
func (r *Router) call(ctx context.Context, to wire.Heartbeat, kind wire.Kind, body, out any, limit time.Duration) (result, *errkind.Error) {
	caller := r.opts.Directory.Caller(to.Host)
	if caller == nil || !r.breakers.allow(to, time.Now()) {
		return skipped, nil
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	err := caller.Call(callCtx, kind, body, out)
	res, kinded := classify(err)
	switch {
	case res == answered, res == refused:
		r.breakers.done(to, true, time.Now())
	case ctx.Err() != nil:
		if res == lost {
			res = ended
		}
	default:
		r.breakers.done(to, false, time.Now())
	}
	return res, kinded
}

// classify tells what a call's error means. An internal error of the peer leaves open
// whether the request took effect.
func classify(err error) (result, *errkind.Error) {
	var kinded *errkind.Error
	switch {
	case err == nil:
		return answered, nil
	case errors.Is(err, peer.ErrNotSent):
		return notSent, nil
	case !errors.As(err, &kinded):
		return lost, nil
	case kinded.Kind == errkind.Internal:
		return lost, nil
	default:
		return refused, kinded
	}
}

// notRun reports whether a refusal says for certain that the request had no effect and
// that another scheduler may do better.
func notRun(kind errkind.Kind) bool {
	switch kind {
	case errkind.NoScheduler, errkind.Draining, errkind.QueueFull, errkind.LogUnavailable, errkind.NeverRunnable:
		return true
	default:
		return false
	}
}
