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
	envPrefix = "AGATEWINCH_"
	// envNesting separates the names of a setting inside another.
	envNesting = "__"
	// maxFileBytes bounds a settings file.
	maxFileBytes = 1 << 20
)

// notSettings are the variables that belong to agatewinchctl.
var notSettings = map[string]bool{"KEY": true, "GATE": true}

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
		return []error{fmt.Errorf("%s: is over %d bytes", path, maxFileBytes)}
	}
	return decode(path, data, out)
}

// decode reads YAML strictly into out, and goes on after a fault in one field. Each
// fault names source and line.
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
		// The decoder names the Go type of an unknown field's holder.
		text, _, _ = strings.Cut(text, " in type ")
		faults = append(faults, fmt.Errorf("%s: %s", source, text))
	}
	return faults
}

// decodeEnvironment applies AGATEWINCH_NAME=value, in the order of the names; NAME__PART
// stands for a setting inside another.
func decodeEnvironment(environ []string, out any) []error {
	var faults []error
	sort.Strings(environ)
	for _, kv := range environ {
		rest, ok := strings.CutPrefix(kv, envPrefix)
		name, value, _ := strings.Cut(rest, "=")
		if !ok || notSettings[name] {
			continue
		}
		path := strings.ReplaceAll(strings.ToLower(name), envNesting, ".")
		faults = append(faults, decodeAssignment(envPrefix+name, path+"="+value, out)...)
	}
	return faults
}

// decodeAssignment applies one name=value, where the value is YAML and the name may be
// a path with dots.
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
