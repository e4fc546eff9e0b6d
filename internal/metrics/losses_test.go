package metrics

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLostWorkIsCountedByCause(t *testing.T) {
	r := New(SourceEntry)
	r.Lose("preempted", 10)
	r.Lose("preempted", 5)
	r.Lose("stalled", 1)
	r.Interrupted(0)
	r.Interrupted(2)
	r.Interrupted(maxInterruptions + 3)
	s := r.Snapshot()
	assert.DeepEqual(t, s.LostWork, map[string]LostWork{"preempted": {2, 15}, "stalled": {1, 1}})
	assert.DeepEqual(t, s.Interruptions, map[int]uint64{0: 1, 2: 1, maxInterruptions: 1})
}
