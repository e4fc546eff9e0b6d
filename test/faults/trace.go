package faults

import (
	"fmt"
	"strings"
	"time"

	"agatewinch/test/harness"
)

// trace lists the calls of every job that a finding names, with their responses, and then its
// ledger entries.
func (e Evidence) trace(finding string) string {
	var out strings.Builder
	for _, r := range e.Requests {
		if !strings.Contains(finding, "job "+string(r.ID())+" ") && !strings.Contains(finding, "job "+string(r.ID())+":") {
			continue
		}
		e.traceRequest(&out, r)
	}
	return out.String()
}

func (e Evidence) traceRequest(out *strings.Builder, r *harness.Request) {
	const clock = "15:04:05.000"
	for _, c := range r.Calls() {
		fmt.Fprintf(out, "  %s-%s %s at %s: ", c.Sent.Format(clock), c.Returned.Format(clock), c.Kind, c.Gate)
		switch {
		case c.Lost:
			fmt.Fprintf(out, "no response (dialled %v)\n", c.Dialled)
		case c.Answer.Error != nil:
			fmt.Fprintf(out, "%d %s %s ran %s: %s\n", c.Status, c.Answer.State, c.Answer.Error.Kind, c.Answer.Error.Ran, c.Answer.Error.Message)
		default:
			fmt.Fprintf(out, "%d %s on %v\n", c.Status, c.Answer.State, c.Answer.Workers)
		}
	}
	for _, entry := range e.Ledger {
		if entry.Task.Job == r.ID() {
			at := time.Unix(0, entry.Unix).Format(clock)
			fmt.Fprintf(out, "  %s ledger: attempt %d task %d of %d %s on %s, holder %s/%d, ok %v\n",
				at, entry.Task.Attempt, entry.Task.Index, entry.Cells, entry.Kind, entry.Worker, entry.Holder.ID, entry.Holder.Term, entry.OK)
		}
	}
}
