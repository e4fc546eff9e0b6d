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

// stallTime is how long a run's progress may stand still; a worker is looked at every
// two seconds, so that this takes two looks without progress.
const stallTime = 3500 * time.Millisecond

// watchStalled moves tasks that make no progress to other workers.
func (c *Core) watchStalled(now Now) {
	for _, w := range c.sorted {
		if w.misses > 0 {
			continue
		}
		for _, r := range c.runsOf(w) {
			if r.phase != running || r.task.step.spec.LongRunning || r.task.step.spec.Fills || w.holdAt <= r.percentAt+stallTime || r.percent >= 100 || r.seenAt+stallTime > w.holdAt {
				continue
			}
			c.note(Note{What: "stalled", Task: r.task.id.String(), Run: r.number, Worker: w.ID})
			r.task.failedOn = append(r.task.failedOn, w.ID)
			w.health.quarantine(now.Mono)
			c.stop(now, r, "stalled")
			if r.task.step.spec.Gang {
				c.breakGang(now, r.task.step, r.number)
			}
		}
	}
}
