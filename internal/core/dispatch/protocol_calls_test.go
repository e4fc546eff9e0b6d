package dispatch_test

import (
	"time"

	"pgregory.net/rapid"

	"agatewinch/internal/core/dispatch"
)

// send makes a call whose outcome is drawn at random.
func (h *leader) send(id string, incarnation int64, carryOut func(*simWorker) dispatch.Outcome, answer func(dispatch.Outcome)) {
	w := h.w
	reply := func(o dispatch.Outcome) {
		if h.stopped {
			return
		}
		if o == dispatch.Fenced {
			h.stopped = true
			w.tracef("epoch %d is rejected by a worker", h.epoch)
			return
		}
		answer(o)
		h.drive()
	}
	reach := func(late bool) (dispatch.Outcome, bool) {
		p := w.find(id)
		switch {
		case p == nil || p.partitioned || !p.up:
			return dispatch.Unanswered, false
		case p.incarnation != incarnation && incarnation != 0 && (late || !w.ignoresIncarnation):
			return dispatch.OtherIncarnation, true
		}
		w.mustKnowCancels = !late && !h.partitioned
		return carryOut(p), true
	}
	delay, outcome := w.drawCallOutcome()
	switch outcome {
	case answered:
		w.after(delay, func() {
			o, ok := reach(false)
			if !ok {
				w.after(callTimeout-delay, func() { reply(o) })
				return
			}
			w.after(delay, func() { reply(o) })
		})
	case answerLost:
		w.after(delay, func() { reach(false) })
		w.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case executedLate:
		w.after(minLateDelay+delay*50, func() { reach(true) })
		w.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case dropped:
		w.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case neverSent:
		w.after(time.Millisecond, func() { reply(dispatch.NoConnection) })
	}
}

type callOutcome int

const (
	answered callOutcome = iota
	answerLost
	executedLate
	dropped
	neverSent
)

// drawCallOutcome draws the outcome of a call, and a delay of up to 200 ms.
func (w *simulation) drawCallOutcome() (time.Duration, callOutcome) {
	delay := time.Millisecond
	if w.faultFree {
		return delay, answered
	}
	if rapid.IntRange(0, 9).Draw(w.t, "slow") == 9 {
		delay = time.Duration(rapid.IntRange(1, 200).Draw(w.t, "delay")) * time.Millisecond
	}
	return delay, rapid.SampledFrom([]callOutcome{answered, answered, answered, answered, answered, answered, answered, answerLost, executedLate, dropped, neverSent}).Draw(w.t, "fate")
}

// probe makes a call that may wait for a run to end before it is answered.
func (h *leader) probe(probe dispatch.Probe) {
	w := h.w
	var p *simWorker
	var incarnation int64
	h.send(probe.Worker, 0, func(at *simWorker) dispatch.Outcome {
		p, incarnation = at, at.incarnation
		if probe.Incarnation != 0 && p.incarnation != probe.Incarnation && !w.ignoresIncarnation {
			return dispatch.OtherIncarnation
		}
		return p.renew(probe, h.epoch)
	}, func(o dispatch.Outcome) {
		if o != dispatch.Accepted {
			h.core.ProbeFailed(h.now(), probe, o)
			return
		}
		wait := time.Duration(0)
		if len(p.endsAfter(probe.Ack)) == 0 {
			wait = min(probe.MaxWait, time.Duration(rapid.IntRange(1, 20).Draw(w.t, "wait"))*100*time.Millisecond)
		}
		w.after(wait, func() {
			if h.stopped {
				return
			}
			if !p.up || p.partitioned || p.incarnation != incarnation {
				h.core.ProbeFailed(h.now(), probe, dispatch.Unanswered)
			} else {
				h.core.ProbeAnswered(h.now(), probe, p.report(probe.Ack))
			}
			h.drive()
		})
	})
}
