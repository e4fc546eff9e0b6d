package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"agatewinch/internal/errkind"
	"agatewinch/internal/wire"
)

// fanOutTimeout bounds how long an answer waits for the slowest scheduler.
const fanOutTimeout = 3 * time.Second

// fanOut asks every scheduler at once. It returns the answers in the schedulers' order
// and the addresses of those that did not answer. A scheduler that answers with an error
// of its own was reached but adds nothing.
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
