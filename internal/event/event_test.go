package event

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"agatewinch/internal/docsync"
)

func TestDocumentedCatalogueEqualsCode(t *testing.T) {
	var b strings.Builder
	b.WriteString("| event | name | meaning |\n|---|---|---|\n")
	for _, e := range Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s |\n", e.Number, e.Name, e.Meaning)
	}
	docsync.Check(t, "../../docs/events.md", b.String())
}

// TestCatalogueHoldsEveryDeclaredEventOnce compares the catalogue with the number of Event
// literals in the source, so that it fails for an event missing from the catalogue.
func TestCatalogueHoldsEveryDeclaredEventOnce(t *testing.T) {
	files, err := filepath.Glob("*.go")
	assert.NilError(t, err)
	declared := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		assert.NilError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			lit, ok := n.(*ast.CompositeLit)
			if !ok {
				return true
			}
			if typ, ok := lit.Type.(*ast.Ident); ok && typ.Name == "Event" {
				declared++
			}
			return true
		})
	}
	assert.Equal(t, len(Catalogue()), declared)
	last := 0
	for _, e := range Catalogue() {
		assert.Assert(t, e.Number > last, "event %d is not above the one before it, %d", e.Number, last)
		assert.Assert(t, e.Name != "" && strings.HasSuffix(e.Meaning, "."), "event %d has no name, or its meaning does not end with a full stop", e.Number)
		last = e.Number
	}
}

func TestLogLineCarriesNumberNameAndError(t *testing.T) {
	var out bytes.Buffer
	Error(NewLogger(&out, FormatJSON), errors.New("boom"), ProcessFailed, "listen", "127.0.0.1:1")
	var line struct {
		Msg   string `json:"msg"`
		Event int    `json:"event"`
		Err   string `json:"err"`
	}
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line.Event, ProcessFailed.Number)
	assert.Equal(t, line.Msg, ProcessFailed.Name)
	assert.Equal(t, line.Err, "boom")
}
