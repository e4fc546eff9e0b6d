package boottime

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestClockIsReadableAndSteady(t *testing.T) {
	first := Now()
	assert.Assert(t, first > 0)
	assert.Assert(t, Now() >= first)
}
