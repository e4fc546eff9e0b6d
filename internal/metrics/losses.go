package metrics

// LostWork is the work of runs that ended before their tasks were done, less what checkpoints saved.
type LostWork struct {
	// Runs is the number of such runs.
	Runs uint64 `json:"runs"`
	// CoreSeconds is their lost work; an accelerator counts as several cores.
	CoreSeconds float64 `json:"core_seconds"`
}

// maxInterruptions is the highest count of interrupted runs of a task that is counted by itself.
const maxInterruptions = 16

// Lose counts a run that was lost for the given cause with its work in core-seconds.
func (r *Registry) Lose(cause string, coreSeconds float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lost[cause]
	l.Runs++
	l.CoreSeconds += coreSeconds
	r.lost[cause] = l
}

// Interrupted counts a task of a finished job of which so many runs were interrupted.
func (r *Registry) Interrupted(runs int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.interruptions[min(runs, maxInterruptions)]++
}
