package dispatch

import (
	"cmp"
	"fmt"
	"slices"

	"agatewinch/internal/core/estimate"
)

// outcomeNames are the outcomes as they appear in log lines, in the order of the constants.
var outcomeNames = [...]string{"accepted", "unanswered", "refused", "no room", "unhealthy", "other life", "fenced", "no connection", "no valid ticket", "withheld"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// paceInputs describes the inputs of a pace change, for its log line: the paces in percent and tail,
// the worst tail latency as a fraction of its target.
func paceInputs(to, from int, tail float64) string {
	return fmt.Sprintf("to %d%% from %d%%, tail latency at %.2f of its target", to, from, tail)
}

// speedInputs describes the slowdown of a worker, for its log line.
func speedInputs(slowdown float64) string {
	return fmt.Sprintf("runs take %.2f times as long", slowdown)
}

// learnedInputs describes the learned run times of a kind, for its log line.
func learnedInputs(l estimate.Learned) string {
	return fmt.Sprintf("organisation %q, queue %q, image %q: median %.2f, nine tenths %.2f of the declared time, %d runs", l.Org, l.Queue, l.Image, l.Median, l.High, l.Runs)
}

// sortRuns orders runs by task and number.
func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.task.id.Job, b.task.id.Job), cmp.Compare(a.task.id.Occurrence, b.task.id.Occurrence),
			cmp.Compare(a.task.id.Step, b.task.id.Step), cmp.Compare(a.task.id.Index, b.task.id.Index), cmp.Compare(a.number, b.number))
	})
}
