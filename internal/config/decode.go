package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"sort"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// MaxFileBytes bounds one configuration file.
const MaxFileBytes = 1 << 20

// File is one configuration file, as read.
type File struct {
	Name string
	Data []byte
}

// LoadDir reads every *.yaml file of dir into one set. All faults are returned
// together, each with its file and line.
func LoadDir(dir string) (*Set, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(names) == 0 {
		return nil, trace.NotFound("no *.yaml file in %s", dir)
	}
	sort.Strings(names)
	var files []File
	for _, name := range names {
		data, err := readFile(name)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		files = append(files, File{Name: filepath.Base(name), Data: data})
	}
	return Decode(files)
}

func readFile(name string) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = f.Close() }()
	data, err := io.ReadAll(io.LimitReader(f, MaxFileBytes+1))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if len(data) > MaxFileBytes {
		return nil, trace.BadParameter("%s is over %d bytes", name, MaxFileBytes)
	}
	return data, nil
}

// Decode reads files into one set and checks it. All faults are returned together.
func Decode(files []File) (*Set, error) {
	d := &decoder{set: &Set{}, at: positions{}, refused: map[string]bool{}}
	for _, f := range files {
		d.readFile(f)
	}
	d.addChecks()
	if len(d.faults) > 0 {
		return nil, JoinFaults(d.faults)
	}
	return d.set, nil
}

// decoder fills a set from YAML nodes and remembers the line of each value.
type decoder struct {
	set    *Set
	file   string
	at     positions
	faults []error
	// refused holds the paths that have a fault already.
	refused map[string]bool
	// broken is true when a file could not be parsed, so that the set has holes.
	broken bool
}

func (d *decoder) fail(line int, path, format string, args ...any) {
	d.refused[path] = true
	d.faults = append(d.faults, &Fault{File: d.file, Line: line, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// addChecks adds the faults of the whole set, but for places that have one already.
func (d *decoder) addChecks() {
	c := &checker{set: d.set}
	c.checkItems()
	if !d.broken {
		c.checkReferences()
	}
	d.addPlaced(c.faults)
	if len(d.faults) == 0 {
		d.addPlaced(c.feasible())
	}
}

// addPlaced adds faults of the set with the lines that their paths were read from.
func (d *decoder) addPlaced(faults []*Fault) {
	for _, f := range faults {
		if d.refused[f.Path] {
			continue
		}
		if pos, ok := d.at.find(f.Path); ok {
			f.File, f.Line = pos.file, pos.line
		}
		d.faults = append(d.faults, f)
	}
}

func (d *decoder) readFile(f File) {
	d.file = f.Name
	dec := yaml.NewDecoder(bytes.NewReader(f.Data))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			d.broken = true
			line, reason := syntaxError(err)
			d.fail(line, "", "%s", reason)
			return
		}
		if len(doc.Content) == 1 && !isNull(doc.Content[0]) {
			d.value(doc.Content[0], "", reflect.ValueOf(d.set).Elem(), 1)
		}
	}
}

var syntaxLine = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?`)

// syntaxError splits the parser's message into line and reason.
func syntaxError(err error) (int, string) {
	text := err.Error()
	m := syntaxLine.FindStringSubmatch(text)
	line, _ := strconv.Atoi(m[1])
	return max(line, 1), "not YAML: " + strings.TrimPrefix(text, m[0])
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// value reads node into out; a number below least is a fault.
func (d *decoder) value(node *yaml.Node, path string, out reflect.Value, least int64) {
	if path != "" {
		d.at[path] = position{file: d.file, line: node.Line}
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.fail(node.Line, path, "anchors and aliases are not supported")
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.mapping(node, path, out)
	case reflect.Slice:
		d.sequence(node, path, out)
	default:
		d.scalar(node, path, out, least)
	}
}

func (d *decoder) mapping(node *yaml.Node, path string, out reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.fail(node.Line, path, "want a mapping of fields")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := fieldPath(path, key.Value)
		field, least, ok := fieldNamed(out, key.Value)
		switch {
		case !ok:
			d.fail(key.Line, name, "unknown field")
		case seen[key.Value]:
			d.fail(key.Line, name, "field appears twice")
		default:
			d.value(value, name, field, least)
		}
		seen[key.Value] = true
	}
}

func fieldPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}

// fieldNamed returns the field with that YAML name and its least allowed number.
func fieldNamed(out reflect.Value, name string) (reflect.Value, int64, bool) {
	for i := range out.NumField() {
		field := out.Type().Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if tag != name {
			continue
		}
		least, err := strconv.ParseInt(field.Tag.Get("min"), 10, 64)
		if err != nil {
			least = 1
		}
		return out.Field(i), least, true
	}
	return reflect.Value{}, 0, false
}

func (d *decoder) sequence(node *yaml.Node, path string, out reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.fail(node.Line, path, "want a list")
		return
	}
	for _, item := range node.Content {
		element := reflect.New(out.Type().Elem()).Elem()
		d.value(item, fmt.Sprintf("%s[%d]", path, out.Len()), element, 1)
		out.Set(reflect.Append(out, element))
	}
}

func (d *decoder) scalar(node *yaml.Node, path string, out reflect.Value, least int64) {
	if node.Kind != yaml.ScalarNode {
		d.fail(node.Line, path, "want a single value")
		return
	}
	if isNull(node) {
		d.fail(node.Line, path, "has no value")
		return
	}
	if out.Kind() == reflect.String {
		out.SetString(node.Value)
		return
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		d.fail(node.Line, path, "%q is not %s", node.Value, kindName(out.Kind()))
		return
	}
	if out.CanInt() && out.Int() < least {
		d.fail(node.Line, path, "%d is below %d", out.Int(), least)
	}
}

func kindName(k reflect.Kind) string {
	if k == reflect.Bool {
		return "true or false"
	}
	return "a whole number"
}
