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

// MaxFileBytes is the maximum size of one configuration file.
const MaxFileBytes = 1 << 20

// File is the name and content of one configuration file.
type File struct {
	Name string
	Data []byte
}

// LoadDir reads every *.yaml file of dir, in order of name, into one set and checks it.
// The error lists all faults, each with its file and line where these are known.
func LoadDir(dir string) (*Set, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if len(names) == 0 {
		return nil, trace.NotFound("no *.yaml file in configuration directory %s", dir)
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
		return nil, trace.BadParameter("configuration file %s exceeds %d bytes", name, MaxFileBytes)
	}
	return data, nil
}

// Decode decodes files into one set and checks it. The error lists all faults.
func Decode(files []File) (*Set, error) {
	d := &decoder{set: &Set{}, positions: positions{}, faultPaths: map[string]bool{}}
	for _, f := range files {
		d.decodeFile(f)
	}
	d.addCheckFaults()
	if len(d.faults) > 0 {
		return nil, JoinFaults(d.faults)
	}
	return d.set, nil
}

// decoder fills a set from YAML nodes and records the position of each value.
type decoder struct {
	set       *Set
	file      string
	positions positions
	faults    []error
	// faultPaths holds the paths for which a fault was already added.
	faultPaths map[string]bool
	// incomplete is true if a file could not be parsed, so that items may be missing from
	// the set.
	incomplete bool
}

func (d *decoder) addFault(line int, path, format string, args ...any) {
	d.faultPaths[path] = true
	d.faults = append(d.faults, &Fault{File: d.file, Line: line, Path: path, Reason: fmt.Sprintf(format, args...)})
}

// addCheckFaults checks the whole set and adds the faults of paths that have none yet. It
// checks no references in an incomplete set, and guarantees only in a set without faults.
func (d *decoder) addCheckFaults() {
	c := &checker{set: d.set}
	c.checkItems()
	if !d.incomplete {
		c.checkReferences()
	}
	d.addWithPositions(c.faults)
	if len(d.faults) == 0 {
		d.addWithPositions(c.checkGuarantees())
	}
}

// addWithPositions adds faults with the file and line that their paths were read from,
// except for paths that have a fault already.
func (d *decoder) addWithPositions(faults []*Fault) {
	for _, f := range faults {
		if d.faultPaths[f.Path] {
			continue
		}
		if pos, ok := d.positions.find(f.Path); ok {
			f.File, f.Line = pos.file, pos.line
		}
		d.faults = append(d.faults, f)
	}
}

func (d *decoder) decodeFile(f File) {
	d.file = f.Name
	dec := yaml.NewDecoder(bytes.NewReader(f.Data))
	for {
		var doc yaml.Node
		err := dec.Decode(&doc)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			d.incomplete = true
			line, reason := syntaxError(err)
			d.addFault(line, "", "%s", reason)
			return
		}
		if len(doc.Content) == 1 && !isNull(doc.Content[0]) {
			d.decodeValue(doc.Content[0], "", reflect.ValueOf(d.set).Elem(), 1)
		}
	}
}

// syntaxErrorPrefix matches what precedes the reason in a YAML parser's error message.
var syntaxErrorPrefix = regexp.MustCompile(`^(?:yaml: )?(?:line (\d+): )?`)

// syntaxError splits the YAML parser's message into line and reason.
func syntaxError(err error) (int, string) {
	text := err.Error()
	m := syntaxErrorPrefix.FindStringSubmatch(text)
	line, _ := strconv.Atoi(m[1])
	return max(line, 1), "not YAML: " + strings.TrimPrefix(text, m[0])
}

func isNull(n *yaml.Node) bool { return n.Kind == yaml.ScalarNode && n.Tag == "!!null" }

// decodeValue decodes node into out; a number below minimum is a fault.
func (d *decoder) decodeValue(node *yaml.Node, path string, out reflect.Value, minimum int64) {
	if path != "" {
		d.positions[path] = position{file: d.file, line: node.Line}
	}
	if node.Kind == yaml.AliasNode || node.Anchor != "" {
		d.addFault(node.Line, path, "anchors and aliases are not supported")
		return
	}
	switch out.Kind() {
	case reflect.Struct:
		d.decodeMapping(node, path, out)
	case reflect.Slice:
		d.decodeSequence(node, path, out)
	default:
		d.decodeScalar(node, path, out, minimum)
	}
}

func (d *decoder) decodeMapping(node *yaml.Node, path string, out reflect.Value) {
	if node.Kind != yaml.MappingNode {
		d.addFault(node.Line, path, "want a mapping of fields")
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		name := fieldPath(path, key.Value)
		field, minimum, ok := fieldNamed(out, key.Value)
		switch {
		case !ok:
			d.addFault(key.Line, name, "unknown field")
		case seen[key.Value]:
			d.addFault(key.Line, name, "field appears twice")
		default:
			d.decodeValue(value, name, field, minimum)
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

// fieldNamed returns the field with the given YAML name and the minimum value of a number
// in it, which is 1 unless the field has a min tag.
func fieldNamed(out reflect.Value, name string) (reflect.Value, int64, bool) {
	for i := range out.NumField() {
		field := out.Type().Field(i)
		tag, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		if tag != name {
			continue
		}
		minimum, err := strconv.ParseInt(field.Tag.Get("min"), 10, 64)
		if err != nil {
			minimum = 1
		}
		return out.Field(i), minimum, true
	}
	return reflect.Value{}, 0, false
}

func (d *decoder) decodeSequence(node *yaml.Node, path string, out reflect.Value) {
	if isNull(node) {
		return
	}
	if node.Kind != yaml.SequenceNode {
		d.addFault(node.Line, path, "want a list")
		return
	}
	for _, item := range node.Content {
		element := reflect.New(out.Type().Elem()).Elem()
		d.decodeValue(item, fmt.Sprintf("%s[%d]", path, out.Len()), element, 1)
		out.Set(reflect.Append(out, element))
	}
}

func (d *decoder) decodeScalar(node *yaml.Node, path string, out reflect.Value, minimum int64) {
	if node.Kind != yaml.ScalarNode {
		d.addFault(node.Line, path, "want a single value")
		return
	}
	if isNull(node) {
		d.addFault(node.Line, path, "has no value")
		return
	}
	if out.Kind() == reflect.String {
		out.SetString(node.Value)
		return
	}
	if err := node.Decode(out.Addr().Interface()); err != nil {
		d.addFault(node.Line, path, "%q is not %s", node.Value, kindName(out.Kind()))
		return
	}
	if out.CanInt() && out.Int() < minimum {
		d.addFault(node.Line, path, "%d is below %d", out.Int(), minimum)
	}
}

func kindName(k reflect.Kind) string {
	if k == reflect.Bool {
		return "true or false"
	}
	return "a whole number"
}
