package intake

import (
	"maps"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"agatewinch/internal/event"
)

// reportInterval is the shortest time between two log lines of a Reporter.
const reportInterval = 5 * time.Second

// Reporter logs refusals and evictions, several in one line.
type Reporter struct {
	logger logr.Logger
	limit  rate.Sometimes

	mu     sync.Mutex
	counts map[string]int
}

// NewReporter returns a reporter without counts.
func NewReporter(logger logr.Logger) *Reporter {
	return &Reporter{logger: logger, limit: rate.Sometimes{Interval: reportInterval}, counts: map[string]int{}}
}

// Note counts a refusal or an eviction. It logs the counts since the last line unless that is recent.
func (r *Reporter) Note(reason string) {
	r.mu.Lock()
	r.counts[reason]++
	r.mu.Unlock()
	r.limit.Do(func() {
		r.mu.Lock()
		counts := maps.Clone(r.counts)
		clear(r.counts)
		r.mu.Unlock()
		event.Info(r.logger, event.ClientsLimited, "counts", counts)
	})
}
