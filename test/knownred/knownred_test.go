package knownred

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFindMatchesOnlyTheFullTestName(t *testing.T) {
	entries, err := Parse(strings.NewReader("# comment\n\nTestX/seed=2 | make faults SEED=2 | lost job | 5\n"))
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []Entry{{Test: "TestX/seed=2", Command: "make faults SEED=2", Seen: "lost job", Issue: "5"}})
	_, ok := Find(entries, "TestX/seed=2")
	assert.Assert(t, ok)
	for _, other := range []string{"TestX", "TestX/seed=20", "TestX/seed=3"} {
		_, ok := Find(entries, other)
		assert.Assert(t, !ok, other)
	}
}

func TestParseRejectsIncompleteEntry(t *testing.T) {
	for _, line := range []string{"TestX", "TestX | make | seen", "TestX | | seen | 5"} {
		_, err := Parse(strings.NewReader(line))
		assert.Assert(t, err != nil, line)
	}
}

func TestRepositoryListIsWellFormed(t *testing.T) {
	file, err := openList()
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	_, err = Parse(file)
	assert.NilError(t, err)
}
