// Package docsync checks that the documentation agrees with the code. It is called by
// the tests of the packages that define the documented facts.
package docsync

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const (
	begin = "<!-- generated: begin -->\n"
	end   = "<!-- generated: end -->\n"
)

// Check fails t if the generated section of the file at path differs from want. With the
// test flag -update it replaces the section instead.
func Check(t *testing.T, path, want string) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	before, rest, okBegin := strings.Cut(string(data), begin)
	got, after, okEnd := strings.Cut(rest, end)
	assert.Assert(t, okBegin && okEnd, "%s has no generated section", path)
	if golden.FlagUpdate() {
		text := before + begin + want + end + after
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o644))
		return
	}
	assert.Equal(t, got, want, "the generated section is out of date; run the tests of this package with -update")
}

// Mentions fails t for each name in names that the file at path does not contain in backquotes.
func Mentions(t *testing.T, path string, names []string) {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	for _, name := range names {
		assert.Check(t, strings.Contains(string(data), "`"+name+"`"), "%s does not name %s", path, name)
	}
}
