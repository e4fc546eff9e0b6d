package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTracePrintsTheLinesOfOneRequestInTimeOrder(t *testing.T) {
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	assert.NilError(t, os.WriteFile(first, []byte("  3.1 host-a {\"time\":\"2026-01-01T00:00:02Z\",\"host\":\"a\",\"msg\":\"decision\",\"what\":\"placed\",\"job\":\"ab12\"}\nnot json ab12\n{\"cut ab12\n"), 0o600))
	assert.NilError(t, os.WriteFile(second, []byte("{\"time\":\"2026-01-01T00:00:01Z\",\"host\":\"b\",\"msg\":\"request taken\",\"what\":\"submit\",\"job\":\"ab12\",\"outcome\":\"recorded\"}\n{\"msg\":\"other\",\"job\":\"cd34\"}\n"), 0o600))
	var out, errOut bytes.Buffer
	assert.Equal(t, execute(context.Background(), []string{"trace", "ab12", first, second}, &out, &errOut), 0, errOut.String())
	text := out.String()
	assert.Assert(t, strings.Index(text, "submit") < strings.Index(text, "placed"), text)
	assert.Assert(t, !strings.Contains(text, "other"))
}

func TestTraceOfAnUnknownRequestFails(t *testing.T) {
	name := filepath.Join(t.TempDir(), "a.log")
	assert.NilError(t, os.WriteFile(name, nil, 0o600))
	var out, errOut bytes.Buffer
	assert.Assert(t, execute(context.Background(), []string{"trace", "ab12", name}, &out, &errOut) != 0)
	assert.Assert(t, strings.Contains(errOut.String(), "ab12"))
}
