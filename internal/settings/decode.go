package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

const (
	// envPrefix begins the name of every environment variable that holds a setting.
	envPrefix = "AGATEWINCH_"
	// envNesting separates the parts of a nested setting's name in a variable name.
	envNesting = "__"
	// maxFileBytes is the maximum size of a settings file.
	maxFileBytes = 1 << 20
)

// reservedNames are the environment variables, without envPrefix, that belong to
// agatewinchctl and hold no setting.
var reservedNames = map[string]bool{"KEY": true, "GATE": true}

// decodeFile decodes a settings file into out.
func decodeFile(path string, out any) []error {
	f, err := os.Open(path)
	if err != nil {
		return []error{trace.ConvertSystemError(err)}
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return []error{trace.ConvertSystemError(err)}
	}
	if len(data) > maxFileBytes {
		return []error{fmt.Errorf("settings file %s exceeds %d bytes", path, maxFileBytes)}
	}
	return decode(path, data, out)
}

// decode decodes YAML into out, rejects unknown fields, and continues after a fault in one
// field. Each fault names the source and, where the decoder gives it, the line.
func decode(source string, data []byte, out any) []error {
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	err := dec.Decode(out)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return []error{fmt.Errorf("%s: %s", source, strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	var faults []error
	for _, text := range typed.Errors {
		// For an unknown field the decoder's message ends with the Go type of the struct;
		// users need only the field's name.
		text, _, _ = strings.Cut(text, " in type ")
		faults = append(faults, fmt.Errorf("%s: %s", source, text))
	}
	return faults
}

// decodeEnvironment applies the variables AGATEWINCH_NAME=value in sorted order; NAME__PART
// is a nested setting.
func decodeEnvironment(environ []string, out any) []error {
	var faults []error
	sort.Strings(environ)
	for _, kv := range environ {
		rest, ok := strings.CutPrefix(kv, envPrefix)
		name, value, _ := strings.Cut(rest, "=")
		if !ok || reservedNames[name] {
			continue
		}
		path := strings.ReplaceAll(strings.ToLower(name), envNesting, ".")
		faults = append(faults, decodeAssignment(envPrefix+name, path+"="+value, out)...)
	}
	return faults
}

// decodeAssignment applies one assignment name=value. The value is YAML, and the name of a
// nested setting is a dotted path.
func decodeAssignment(source, assignment string, out any) []error {
	path, value, ok := strings.Cut(assignment, "=")
	if !ok {
		return []error{fmt.Errorf("%s: want name=value", source)}
	}
	var doc yaml.Node
	if err := yaml.Unmarshal([]byte(value), &doc); err != nil {
		return []error{fmt.Errorf("%s: %s", source, strings.TrimPrefix(err.Error(), "yaml: "))}
	}
	node := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!null"}
	if len(doc.Content) == 1 {
		node = doc.Content[0]
	}
	names := strings.Split(path, ".")
	for i := len(names) - 1; i >= 0; i-- {
		key := &yaml.Node{Kind: yaml.ScalarNode, Tag: "!!str", Value: names[i]}
		node = &yaml.Node{Kind: yaml.MappingNode, Content: []*yaml.Node{key, node}}
	}
	data, err := yaml.Marshal(node)
	if err != nil {
		return []error{fmt.Errorf("%s: %w", source, err)}
	}
	return decode(source, data, out)
}
