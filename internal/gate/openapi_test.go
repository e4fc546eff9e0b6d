package gate

import (
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"go.yaml.in/yaml/v3"
	"gotest.tools/v3/assert"

	"agatewinch/internal/api"
	"agatewinch/internal/config"
	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
)

const openAPIFile = "../../api/openapi.yaml"

// openAPI is the part of api/openapi.yaml that the tests compare with the code.
type openAPI struct {
	Paths      map[string]map[string]yaml.Node `yaml:"paths"`
	Components struct {
		Schemas map[string]struct {
			Enum       []string             `yaml:"enum"`
			Properties map[string]yaml.Node `yaml:"properties"`
		} `yaml:"schemas"`
	} `yaml:"components"`
}

func readOpenAPI(t *testing.T) (openAPI, string) {
	t.Helper()
	data, err := os.ReadFile(openAPIFile)
	assert.NilError(t, err)
	var doc openAPI
	assert.NilError(t, yaml.Unmarshal(data, &doc))
	return doc, string(data)
}

func TestOpenAPIOperationsEqualTheRoutes(t *testing.T) {
	doc, _ := readOpenAPI(t)
	var described []string
	for path, methods := range doc.Paths {
		for method := range methods {
			if method != "parameters" {
				described = append(described, strings.ToUpper(method)+" "+path)
			}
		}
	}
	served := []string{"GET " + api.PathReady}
	for _, r := range (&Gate{}).routes() {
		served = append(served, r.method+" "+r.path)
	}
	slices.Sort(described)
	slices.Sort(served)
	assert.DeepEqual(t, described, served)
}

func TestOpenAPIErrorKindsEqualErrkindKinds(t *testing.T) {
	doc, _ := readOpenAPI(t)
	var kinds []string
	for _, k := range errkind.Kinds() {
		kinds = append(kinds, string(k))
	}
	assert.DeepEqual(t, doc.Components.Schemas["ErrorKind"].Enum, kinds)
}

func TestOpenAPIFieldsEqualTheBodyTypes(t *testing.T) {
	doc, _ := readOpenAPI(t)
	for name, body := range map[string]any{
		"SubmitRequest": api.SubmitRequest{}, "Shape": core.Shape{}, "JobAnswer": api.JobAnswer{}, "Output": api.Output{},
		"ListAnswer": api.ListAnswer{}, "JobSummary": api.JobSummary{}, "ErrorBody": api.ErrorBody{}, "ErrorAnswer": api.ErrorAnswer{},
		"ConfigAnswer": api.ConfigAnswer{}, "ApplyRequest": api.ApplyRequest{}, "ApplyAnswer": api.ApplyAnswer{},
		"DrainAnswer": api.DrainAnswer{}, "StatusAnswer": api.StatusAnswer{}, "Explanation": core.Explanation{}, "Shortage": core.Shortage{},
		"Set": config.Set{}, "Organisation": config.Organisation{}, "Guarantee": config.Guarantee{}, "Class": config.Class{},
		"Rack": config.Rack{}, "Worker": config.Worker{}, "Key": config.Key{},
	} {
		var fields, described []string
		typ := reflect.TypeOf(body)
		for i := range typ.NumField() {
			field, _, _ := strings.Cut(typ.Field(i).Tag.Get("json"), ",")
			fields = append(fields, field)
		}
		for field := range doc.Components.Schemas[name].Properties {
			described = append(described, field)
		}
		slices.Sort(fields)
		slices.Sort(described)
		assert.DeepEqual(t, fields, described)
	}
}

func TestEveryOpenAPIReferenceResolves(t *testing.T) {
	doc, text := readOpenAPI(t)
	var root struct {
		Components map[string]map[string]any `yaml:"components"`
	}
	assert.NilError(t, yaml.Unmarshal([]byte(text), &root))
	refs := regexp.MustCompile(`#/components/(\w+)/([\w-]+)`).FindAllStringSubmatch(text, -1)
	assert.Assert(t, len(refs) > len(doc.Paths))
	for _, r := range refs {
		_, ok := root.Components[r[1]][r[2]]
		assert.Assert(t, ok, r[0])
	}
}
