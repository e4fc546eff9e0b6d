package dispatch

import "time"

const (
	// failuresInRow is how many ends as failed, without one as done between them, make
	// a worker suspect; two different jobs have to be among them.
	failuresInRow = 3
	// quarantineFirst is the first quarantine; it doubles with each further one.
	quarantineFirst = 4 * time.Second
	quarantineMax   = 16 * time.Second
)

// health tells a worker that fails what it starts from a job that fails everywhere.
type health struct {
	fails int
	jobs  map[string]bool
	until time.Duration
	last  time.Duration
}

func (h *health) quarantined(now time.Duration) bool { return now < h.until }

func (h *health) done() { *h = health{} }

func (h *health) failed(now time.Duration, jobID string) (quarantined bool) {
	if h.jobs == nil {
		h.jobs = map[string]bool{}
	}
	h.fails++
	h.jobs[jobID] = true
	if h.fails < failuresInRow || len(h.jobs) < 2 {
		return false
	}
	return h.quarantine(now)
}

func (h *health) quarantine(now time.Duration) bool {
	if h.last == 0 {
		h.last = quarantineFirst
	} else {
		h.last = min(2*h.last, quarantineMax)
	}
	h.until = now + h.last
	h.fails = failuresInRow - 1 // one more failure after it is enough
	return true
}
