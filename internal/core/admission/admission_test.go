package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/job"
)

// batch is a job whose objective is 31 s; it is of use until 93 s after its submission.
func batch() *job.Job {
	return &job.Job{ID: "b", Service: "s", Priority: 2, Stretch: 3, Objective: time.Second, Steps: []job.Step{{Count: 4, Need: job.Resources{CPU: 1000, Accelerators: 1}, Estimate: 10 * time.Second}}}
}

// busy returns the forecast for a lane whose waiting work takes the given time to start.
func busy(wait time.Duration, room ...Room) *Forecast {
	return &Forecast{Epoch: 3, AtMs: 1000, Lanes: []Lane{{Service: "s", Priority: 2, Backlog: 100 * wait.Seconds(), Drain: 100, Room: room}}}
}

func TestJobThatWouldEndTooLateIsRefusedUntilTheBacklogHasDrained(t *testing.T) {
	_, refused := busy(83 * time.Second).Refused(batch())
	assert.Assert(t, !refused)
	excess, refused := busy(90 * time.Second).Refused(batch())
	assert.Assert(t, refused)
	assert.Equal(t, excess, 7*time.Second)
}

func TestNothingIsRefusedThatFreeRoomMightServe(t *testing.T) {
	free := func(accelerators int64, workers int) Room {
		return Room{Workers: workers, Free: job.Resources{CPU: 9000, MemMB: 100, Accelerators: accelerators}}
	}
	_, refused := busy(time.Hour, free(1, 1)).Refused(batch())
	assert.Assert(t, !refused, "one of its tasks fits")
	gang := batch()
	gang.Steps[0].Gang = true
	_, refused = busy(time.Hour, free(1, 3)).Refused(gang)
	assert.Assert(t, refused, "three of the four tasks of a gang fit")
	_, refused = busy(time.Hour, free(1, 2), free(2, 1)).Refused(gang)
	assert.Assert(t, !refused)
	_, refused = busy(time.Hour, free(0, 9)).Refused(batch())
	assert.Assert(t, refused)
}

func TestOnlyJobsOfTheLaneThatIsShortAreRefused(t *testing.T) {
	for name, change := range map[string]func(*job.Job){
		"urgent":               func(j *job.Job) { j.Priority = 0 },
		"another priority":     func(j *job.Job) { j.Priority = 1 },
		"another service":      func(j *job.Job) { j.Service = "t" },
		"without an objective": func(j *job.Job) { j.Stretch = 0 },
		"periodic":             func(j *job.Job) { j.OccurrenceCount = 3 },
		"long-running":         func(j *job.Job) { j.Steps[0].LongRunning = true },
	} {
		j := batch()
		change(j)
		_, refused := busy(time.Hour).Refused(j)
		assert.Assert(t, !refused, name)
	}
}

func TestNothingIsRefusedWhileNothingDrains(t *testing.T) {
	f := busy(time.Hour)
	f.Lanes[0].Drain = 0
	_, refused := f.Refused(batch())
	assert.Assert(t, !refused)
}

func TestForecastIsFreshForABoundedTimeUnderOneLeader(t *testing.T) {
	f := busy(time.Hour)
	assert.Assert(t, f.Fresh(1000+MaxAge.Milliseconds(), 3))
	assert.Assert(t, !f.Fresh(1001+MaxAge.Milliseconds(), 3), "too old")
	assert.Assert(t, !f.Fresh(1000, 4), "another leader has taken over")
	assert.Assert(t, !f.Fresh(999-MaxAge.Milliseconds(), 3), "made in the future: a clock is wrong")
}

// Guards against callers who were refused together and return together.
func TestRetriesOfACrowdAreSpread(t *testing.T) {
	early, late := 0, 0
	for i := range 1000 {
		d := RetryAfter(20*time.Second, fmt.Sprint(i))
		assert.Assert(t, d >= 15*time.Second && d <= 25*time.Second)
		if d < 18*time.Second {
			early++
		} else if d > 22*time.Second {
			late++
		}
	}
	assert.Assert(t, early > 200 && late > 200, "%d early, %d late", early, late)
	assert.Assert(t, RetryAfter(0, "a") >= 3*MinRetryAfter/4)
	assert.Assert(t, RetryAfter(time.Hour, "a") <= 5*MaxRetryAfter/4)
}
