package fakelog

import (
	"context"
	"sync/atomic"
	"time"

	"agatewinch/internal/platform"
)

// Link is one process's connection to a log. While Disconnected is set, appends and reads
// fail with platform.ErrNotApplied. A read in progress is not interrupted, but fails in the
// same way if Disconnected is set when it returns.
type Link struct {
	Log platform.Log
	// Disconnected is true while the process cannot reach the log.
	Disconnected atomic.Bool
}

// Append implements platform.Log.
func (l *Link) Append(ctx context.Context, s platform.Stream, data [][]byte) (platform.Offset, error) {
	if l.Disconnected.Load() {
		return 0, platform.ErrNotApplied
	}
	return l.Log.Append(ctx, s, data)
}

// Read implements platform.Log.
func (l *Link) Read(ctx context.Context, s platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if l.Disconnected.Load() {
		return platform.Page{}, platform.ErrNotApplied
	}
	page, err := l.Log.Read(ctx, s, from, limit, wait)
	if l.Disconnected.Load() {
		return platform.Page{}, platform.ErrNotApplied
	}
	return page, err
}
