package dispatch_test

import (
	"time"

	"pgregory.net/rapid"

	"agatewinch/internal/core/dispatch"
)

// send makes a call whose fate is drawn at random.
func (h *leader) send(id string, incarnation int64, carryOut func(*simWorker) dispatch.Outcome, answer func(dispatch.Outcome)) {
	w := h.w
	reply := func(o dispatch.Outcome) {
		if h.gone {
			return
		}
		if o == dispatch.Fenced {
			h.gone = true
			w.tracef("epoch %d is rejected by a worker", h.epoch)
			return
		}
		answer(o)
		h.drive()
	}
	reach := func(late bool) (dispatch.Outcome, bool) {
		p := w.find(id)
		switch {
		case p == nil || p.cutOff || !p.up:
			return dispatch.Unanswered, false
		case p.incarnation != incarnation && incarnation != 0 && (late || !w.ignoresIncarnation):
			return dispatch.OtherLife, true
		}
		w.mustKnowCancels = !late && !h.cut
		return carryOut(p), true
	}
	delay, fate := w.fate()
	switch fate {
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
	case carriedOutLate:
		w.after(minLateDelay+delay*50, func() { reach(true) })
		w.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case dropped:
		w.after(callTimeout, func() { reply(dispatch.Unanswered) })
	case neverSent:
		w.after(time.Millisecond, func() { reply(dispatch.NoConnection) })
	}
}

type fate int

const (
	answered fate = iota
	answerLost
	carriedOutLate
	dropped
	neverSent
)

// fate draws the fate of a call, and a delay of up to 200 ms.
func (w *world) fate() (time.Duration, fate) {
	delay := time.Millisecond
	if w.faultFree {
		return delay, answered
	}
	if rapid.IntRange(0, 9).Draw(w.t, "slow") == 9 {
		delay = time.Duration(rapid.IntRange(1, 200).Draw(w.t, "delay")) * time.Millisecond
	}
	return delay, rapid.SampledFrom([]fate{answered, answered, answered, answered, answered, answered, answered, answerLost, carriedOutLate, dropped, neverSent}).Draw(w.t, "fate")
}

// probe makes a call that may wait for a run to end before it is answered.
func (h *leader) probe(probe dispatch.Hold) {
	w := h.w
	var p *simWorker
	var incarnation int64
	h.send(probe.Worker, 0, func(at *simWorker) dispatch.Outcome {
		p, incarnation = at, at.incarnation
		if probe.Born != 0 && p.incarnation != probe.Born && !w.ignoresIncarnation {
			return dispatch.OtherLife
		}
		return p.renew(probe, h.epoch)
	}, func(o dispatch.Outcome) {
		if o != dispatch.Accepted {
			h.core.HoldFailed(h.now(), probe, o)
			return
		}
		wait := time.Duration(0)
		if len(p.endsAfter(probe.Ack)) == 0 {
			wait = min(probe.Wait, time.Duration(rapid.IntRange(1, 20).Draw(w.t, "wait"))*100*time.Millisecond)
		}
		w.after(wait, func() {
			if h.gone {
				return
			}
			if !p.up || p.cutOff || p.incarnation != incarnation {
				h.core.HoldFailed(h.now(), probe, dispatch.Unanswered)
			} else {
				h.core.Held(h.now(), probe, p.report(probe.Ack))
			}
			h.drive()
		})
	})
}
