package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// fanOutTimeout bounds how long a fan-out waits for the slowest scheduler.
const fanOutTimeout = 3 * time.Second

// fanOut calls all known schedulers in parallel. It returns their replies in the order of
// the schedulers, and the addresses of those that did not reply. A scheduler that replies
// with an error is in neither list: it was reached but has no result to add.
func fanOut[Reply any](ctx context.Context, g *Gate, kind wire.Kind, body any) (replies []Reply, unreachable []string) {
	ctx, cancel := context.WithTimeout(ctx, fanOutTimeout)
	defer cancel()
	peers := g.members.Schedulers()
	results := make([]Reply, len(peers))
	errs := make([]error, len(peers))
	var calls sync.WaitGroup
	for i, p := range peers {
		calls.Go(func() { errs[i] = p.Client.Call(ctx, kind, body, &results[i]) })
	}
	calls.Wait()
	for i, p := range peers {
		var refused *errkind.Error
		if errors.As(errs[i], &refused) {
			continue
		}
		if errs[i] != nil {
			unreachable = append(unreachable, p.Addr)
			continue
		}
		replies = append(replies, results[i])
	}
	return replies, unreachable
}
