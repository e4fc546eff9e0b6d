package faults

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"agatewinch/internal/audit"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/test/harness"
)

// This file checks that the history of each non-idempotent request is linearizable. A history
// consists of operations on the job's state: the starts and ends of its runs, from the ledger,
// and the responses that its caller received.

// checkTimeout limits the search for a valid order of one history.
const checkTimeout = 10 * time.Second

type operationKind int

const (
	opStarts operationKind = iota
	opEnds
	opAnswer
)

// operation is the input of one step: the start or the end of a run, or a response to a caller.
type operation struct {
	kind operationKind
	// ok is set for opEnds.
	ok bool
	// state, ran and outcome are set for opAnswer.
	state   core.JobState
	ran     errkind.Ran
	outcome errkind.Kind
}

type jobPhase int

const (
	phaseNone jobPhase = iota
	phaseRunning
	phaseSucceeded
	phaseFailed
	// phaseNotRun follows a response that says that nothing ran. The job must not start
	// after it.
	phaseNotRun
)

// requestModel is the sequential specification of one non-idempotent request: the job starts
// at most once, and every response agrees with the job's phase.
var requestModel = porcupine.Model{
	Init: func() any { return phaseNone },
	Step: func(state, input, _ any) (bool, any) {
		return step(state.(jobPhase), input.(operation))
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

func step(phase jobPhase, op operation) (bool, any) {
	switch op.kind {
	case opStarts:
		return phase == phaseNone, phaseRunning
	case opEnds:
		if op.ok {
			return phase == phaseRunning, phaseSucceeded
		}
		return phase == phaseRunning, phaseFailed
	}
	switch {
	case !op.state.Ended():
		return phase != phaseNotRun, phase
	case op.state == core.Succeeded:
		return phase == phaseSucceeded, phase
	case op.ran == errkind.RanNo:
		return phase == phaseNone || phase == phaseNotRun, phaseNotRun
	case op.ran == errkind.RanYes:
		return phase != phaseNone && phase != phaseNotRun, phase
	}
	return true, phase
}

// invalidHistories finds non-idempotent requests whose history is not linearizable. A search
// that reaches checkTimeout is no finding.
func (e Evidence) invalidHistories() []string {
	runs := map[core.JobID][]*audit.Run{}
	for _, r := range audit.Runs(e.Ledger) {
		runs[r.Job] = append(runs[r.Job], r)
	}
	var out []string
	for _, r := range e.Requests {
		if r.Body.Idempotent {
			continue
		}
		history := jobHistory(r.Calls(), runs[r.ID()])
		result := porcupine.CheckOperationsTimeout(requestModel, history, checkTimeout)
		if result == porcupine.Illegal {
			out = append(out, fmt.Sprintf("job %s: history is not linearizable: %s", r.ID(), describe(history)))
		}
	}
	return out
}

func describe(history []porcupine.Operation) string {
	text := ""
	for _, o := range history {
		text += fmt.Sprintf("[%+v]", o.Input)
	}
	return text
}

// jobHistory combines the responses to the caller with the runs. All times come from the wall
// clock of one machine, so they are comparable.
func jobHistory(calls []harness.Call, runs []*audit.Run) []porcupine.Operation {
	var history []porcupine.Operation
	add := func(op operation, from, to int64) {
		history = append(history, porcupine.Operation{ClientId: len(history), Input: op, Call: from, Return: to})
	}
	for _, r := range runs {
		addRun(add, r)
	}
	for _, c := range calls {
		if !c.HasJobState() {
			continue
		}
		op := operation{kind: opAnswer, state: c.Answer.State}
		if c.Answer.Error != nil {
			op.ran, op.outcome = c.Answer.Error.Ran, c.Answer.Error.Kind
		}
		add(op, c.Sent.UnixNano(), c.Returned.UnixNano())
	}
	return history
}

// addRun adds the start and the end of a run. The run ends as failed unless a task started for each
// of its cells and every task succeeded; a task that was stopped before its end did not succeed. A
// run that still has running tasks has no end. A run that resumed from a checkpoint has no start.
func addRun(add func(operation, int64, int64), r *audit.Run) {
	if len(r.Tasks) == 0 {
		return
	}
	first, last, stopped := int64(math.MaxInt64), int64(0), 0
	ok := len(r.Tasks) >= r.Cells
	for _, t := range r.Tasks {
		first = min(first, t.StartUnix)
		if t.Stop > 0 {
			stopped++
		}
		last = max(last, t.StartUnix+int64(t.Stop-t.Start))
		ok = ok && t.OK
	}
	if r.Fresh {
		add(operation{kind: opStarts}, first, first)
	}
	if stopped == len(r.Tasks) {
		add(operation{kind: opEnds, ok: ok}, last, last)
	}
}
