package core

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestWorkerUsesCountPlacedTasks(t *testing.T) {
	job := Job{ID: "j", Idempotent: true, Shape: Shape{Cells: 1, CellSize: 8, CPU: 1}}
	c := oneWorkerCore(FoundTask{Task: TaskRef{Job: "j", Attempt: 1}, Cell: 0xff, Started: true, Job: job})
	assert.DeepEqual(t, c.WorkerUses(), []WorkerUse{{Worker: "w", Rack: "r", Tasks: 1}})
	assert.Equal(t, c.Stats().FreeAccelerators, 0)
}
