package bench

import (
	"context"

	"github.com/gravitational/trace"
)

// BreakWorkers makes n workers fail everything they start; the returned function mends them.
func (d *Driver) BreakWorkers(_ context.Context, n int) (restore func(), err error) {
	if n > 0 {
		return nil, trace.NotImplemented("workers cannot be broken")
	}
	return func() {}, nil
}
