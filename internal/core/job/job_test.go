package job

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestTaskNamesRoundTrip(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 1_000_000)
		id := TaskID{Job: rapid.StringMatching(`[0-9a-f]{16}`).Draw(rt, "job"), Occurrence: n.Draw(rt, "k"), Step: n.Draw(rt, "step"), Index: n.Draw(rt, "index")}
		got, err := ParseTaskID(id.String())
		assert.NilError(rt, err)
		assert.Equal(rt, got, id)
	})
}

func TestInvalidTaskNamesAreRejected(t *testing.T) {
	for _, s := range []string{"", "a", "a.0.0", "a.0.0.0.0", "a.x.0.0", "a.0.-1.0"} {
		_, err := ParseTaskID(s)
		assert.Assert(t, err != nil, "ParseTaskID(%q) must fail", s)
	}
}

func TestResources(t *testing.T) {
	capacity := Resources{CPU: 4000, MemMB: 100, Accelerators: 1}
	assert.Assert(t, capacity.Fits(Resources{CPU: 4000, MemMB: 100, Accelerators: 1}))
	for _, need := range []Resources{{CPU: 4001}, {MemMB: 101}, {Accelerators: 2}} {
		assert.Assert(t, !capacity.Fits(need))
	}
	assert.Equal(t, capacity.Minus(capacity).Plus(capacity), capacity)
	assert.Equal(t, capacity.Cores(), 12.0)
}

func TestBestEffortStepsAreNotChargedForCPU(t *testing.T) {
	s := Step{Need: Resources{CPU: 1000, MemMB: 2, Accelerators: 3}, BestEffort: true}
	assert.Equal(t, s.Charge(), Resources{MemMB: 2, Accelerators: 3})
}
