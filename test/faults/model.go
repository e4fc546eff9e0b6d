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

// The history of one non-idempotent request ID, as operations on the job's state:
// effects are taken from the ledger, answers from the callers.

// checkTimeout bounds the search for an order of one history.
const checkTimeout = 10 * time.Second

type operationKind int

const (
	opStarts operationKind = iota
	opEnds
	opAnswer
)

// operation is the input of one step: an effect, or an answer that was given.
type operation struct {
	kind operationKind
	// ok goes with opEnds.
	ok bool
	// state, ran and kind go with opAnswer.
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
	// phaseNever follows an answer that nothing ran and nothing will.
	phaseNever
)

// requestModel is what one non-idempotent request may do: it starts at most once, and
// answers tell the truth about it.
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
		return phase != phaseNever, phase
	case op.state == core.Succeeded:
		return phase == phaseSucceeded, phase
	case op.ran == errkind.RanNo:
		return phase == phaseNone || phase == phaseNever, phaseNever
	case op.ran == errkind.RanYes:
		return phase != phaseNone && phase != phaseNever, phase
	}
	return true, phase
}

// brokenHistories finds non-idempotent requests whose history has no truthful order.
func (e Evidence) brokenHistories() []string {
	runs := map[core.JobID][]*audit.Run{}
	for _, r := range audit.Runs(e.Ledger) {
		runs[r.Job] = append(runs[r.Job], r)
	}
	var out []string
	for _, r := range e.Requests {
		if r.Body.Idempotent {
			continue
		}
		history := historyOf(r.Calls(), runs[r.ID()])
		result := porcupine.CheckOperationsTimeout(requestModel, history, checkTimeout)
		if result == porcupine.Illegal {
			out = append(out, fmt.Sprintf("job %s: no truthful order of %s", r.ID(), describe(history)))
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

// historyOf joins what the caller was told with what ran. All times are of one
// machine's wall clock.
func historyOf(calls []harness.Call, runs []*audit.Run) []porcupine.Operation {
	var history []porcupine.Operation
	add := func(op operation, from, to int64) {
		history = append(history, porcupine.Operation{ClientId: len(history), Input: op, Call: from, Return: to})
	}
	for _, r := range runs {
		addRun(add, r)
	}
	for _, c := range calls {
		if !c.JobLevel() {
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

// addRun adds the start and the end of a run. A run that was stopped from outside has
// a failed end; one that goes on has none.
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
