package dispatch_test

import (
	"time"

	"pgregory.net/rapid"

	"agatewinch/internal/core/dispatch"
)

// send makes a call whose outcome is drawn at random.
func (l *leader) send(id string, incarnation int64, execute func(*simWorker) dispatch.Outcome, answer func(dispatch.Outcome)) {
	sim := l.sim
	reply := func(o dispatch.Outcome) {
		if l.stopped {
			return
		}
		if o == dispatch.Fenced {
			l.stopped = true
			sim.tracef("leader with epoch %d is refused by a worker", l.epoch)
			return
		}
		answer(o)
		l.drive()
	}
	deliver := func(late bool) (dispatch.Outcome, bool) {
		w := sim.find(id)
		switch {
		case w == nil || !w.reachableFrom(l) || !w.up:
			return dispatch.Unanswered, false
		case w.incarnation != incarnation && incarnation != 0 && (late || !sim.ignoresIncarnation):
			return dispatch.OtherIncarnation, true
		}
		sim.mustKnowCancels = !late && !l.partitioned
		return execute(w), true
	}
	delay, outcome := sim.drawCallOutcome()
	switch outcome {
	case answered:
		sim.after(delay, func() {
			o, ok := deliver(false)
			if !ok {
				sim.after(callTimeout-delay, func() { reply(o) })
				return
			}
			sim.after(delay, func() { reply(o) })
		})
	case answerLost:
		sim.after(delay, func() { deliver(false) })
		sim.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case executedLate:
		sim.after(minLateDelay+delay*50, func() { deliver(true) })
		sim.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case dropped:
		sim.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case neverSent:
		sim.after(time.Millisecond, func() { reply(dispatch.NoConnection) })
	}
}

// callOutcome is what happens to a simulated call.
type callOutcome int

const (
	answered callOutcome = iota
	// answerLost calls are executed in time, but their answer does not arrive.
	answerLost
	// executedLate calls are executed only after the caller has given up waiting.
	executedLate
	// dropped calls are sent but never executed.
	dropped
	neverSent
)

// drawCallOutcome draws the outcome of a call, and a delay of up to 200 ms.
func (sim *simulation) drawCallOutcome() (time.Duration, callOutcome) {
	delay := time.Millisecond
	if sim.faultFree {
		return delay, answered
	}
	if rapid.IntRange(0, 9).Draw(sim.t, "slow") == 9 {
		delay = time.Duration(rapid.IntRange(1, 200).Draw(sim.t, "delay")) * time.Millisecond
	}
	return delay, rapid.SampledFrom([]callOutcome{answered, answered, answered, answered, answered, answered, answered, answerLost, executedLate, dropped, neverSent}).Draw(sim.t, "outcome")
}

// probe makes a call that may wait for a run to end before it is answered.
func (l *leader) probe(probe dispatch.Probe) {
	sim := l.sim
	var w *simWorker
	var incarnation int64
	l.send(probe.Worker, 0, func(target *simWorker) dispatch.Outcome {
		w, incarnation = target, target.incarnation
		if probe.Incarnation != 0 && w.incarnation != probe.Incarnation && !sim.ignoresIncarnation {
			return dispatch.OtherIncarnation
		}
		return w.renew(probe, l.epoch)
	}, func(o dispatch.Outcome) {
		if o != dispatch.Accepted {
			l.core.ProbeFailed(l.now(), probe, o)
			return
		}
		wait := time.Duration(0)
		if len(w.endsAfter(probe.Ack)) == 0 {
			wait = min(probe.MaxWait, time.Duration(rapid.IntRange(1, 20).Draw(sim.t, "wait"))*100*time.Millisecond)
		}
		sim.after(wait, func() {
			if l.stopped {
				return
			}
			if !w.up || !w.reachableFrom(l) || w.incarnation != incarnation {
				l.core.ProbeFailed(l.now(), probe, dispatch.Unanswered)
			} else {
				l.core.ProbeAnswered(l.now(), probe, w.report(probe.Ack))
			}
			l.drive()
		})
	})
}
