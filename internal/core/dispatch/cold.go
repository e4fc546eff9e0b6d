package dispatch

import "time"

// coldWeight is the score added for a worker that is cold. It is half the weight of a worker's accelerators
// in best fit: a warm worker is preferred among those that fit about as well, and a cold one to waiting.
const coldWeight = 2.0

// setCold sets whether a worker is cold, from its newest entry. The time that remained when it wrote the
// entry counts from then on, by its own clock.
func (w *worker) setCold(now Now) {
	age := time.Duration(w.clockAtLeast(now.Mono)-w.entryClockMs) * time.Millisecond
	w.cold = w.ColdRemaining > max(0, age)
}

// coldScore is the part of the score that prefers warm workers.
func (w *worker) coldScore() float64 {
	if w.cold {
		return coldWeight
	}
	return 0
}
