package errkind

import (
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"testing"

	"gotest.tools/v3/assert"

	"agatewinch/internal/docsync"
)

func TestDocumentedTableEqualsCode(t *testing.T) {
	docsync.Check(t, "../../docs/errors.md", Table())
}

// TestEveryDeclaredKindHasARow reads the constants from the source, so that it fails for a
// kind that is declared but missing from the table.
func TestEveryDeclaredKindHasARow(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), "errkind.go", nil, 0)
	assert.NilError(t, err)
	declared := 0
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || spec.Type == nil || len(spec.Values) != 1 {
			return true
		}
		if name, ok := spec.Type.(*ast.Ident); ok && name.Name == "Kind" && spec.Names[0].Name != "None" {
			declared++
			_, found := table[Kind(spec.Values[0].(*ast.BasicLit).Value[1:len(spec.Values[0].(*ast.BasicLit).Value)-1])]
			assert.Assert(t, found, "%s has no row", spec.Names[0].Name)
		}
		return true
	})
	assert.Equal(t, declared, len(table))
}

func TestRetryableKindsHaveRanNo(t *testing.T) {
	for _, k := range Kinds() {
		if p := PropertiesOf(k); p.Retryable {
			assert.Equal(t, p.Ran, RanNo, "%s", k)
		}
	}
}

func TestErrorWithoutKindIsInternalAndHidesItsText(t *testing.T) {
	e := Of(errors.New("secret path"))
	assert.Equal(t, e.Kind, Internal)
	assert.Equal(t, e.Message, "internal error")
}

func TestKindSurvivesWrapping(t *testing.T) {
	assert.Assert(t, Is(New(QueueFull, "%d waiting", 3), QueueFull))
	assert.Equal(t, Of(New(QueueFull, "%d waiting", 3)).Message, "3 waiting")
}
