package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// The bounds of the retry delay that is sent with a refusal, before its jitter.
const (
	MinRetryAfter = time.Second
	MaxRetryAfter = 5 * time.Minute
)

// RetryAfter returns the delay after which a caller who has to wait for the given time should come
// again. A jitter keeps callers who were refused together from returning together.
func RetryAfter(wait time.Duration, id string) time.Duration {
	return time.Duration(float64(min(max(wait, MinRetryAfter), MaxRetryAfter)) * Jitter(id))
}

// Jitter returns a factor between 0.75 and 1.25, derived from a hash of the job ID: the same job always
// gets the same one.
func Jitter(id string) float64 {
	const steps = 1 << 16
	return 0.75 + 0.5*float64(xxhash.Sum64String(id)%steps)/steps
}
