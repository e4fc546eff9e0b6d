package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

var formats = []string{formatTable, formatJSON, formatYAML}

const (
	columnPadding = 2
	yamlIndent    = 2
)

// table is a header and rows with the same number of columns.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// print writes value as JSON or YAML if that is the output format, and the tables made
// from it otherwise.
func (a *app) print(value any, tables ...*table) error {
	switch a.output {
	case formatJSON:
		return printJSON(a.out, value)
	case formatYAML:
		return printYAML(a.out, value)
	}
	for i, t := range tables {
		if i > 0 {
			_, _ = fmt.Fprintln(a.out)
		}
		if err := t.write(a.out); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (t *table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, columnPadding, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(w, "\t")
			}
			_, _ = fmt.Fprint(w, cell)
		}
		_, _ = fmt.Fprintln(w)
	}
	return trace.Wrap(w.Flush())
}

func printJSON(out io.Writer, v any) error {
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return trace.Wrap(enc.Encode(v))
}

// printYAML writes v as YAML with the field names of its JSON encoding.
func printYAML(out io.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return trace.Wrap(err)
	}
	var node yaml.Node
	if err := yaml.Unmarshal(data, &node); err != nil {
		return trace.Wrap(err)
	}
	setBlockStyle(&node)
	enc := yaml.NewEncoder(out)
	enc.SetIndent(yamlIndent)
	return trace.Wrap(enc.Encode(&node))
}

// setBlockStyle clears the flow style and the quotes that nodes parsed from JSON have.
func setBlockStyle(n *yaml.Node) {
	n.Style = 0
	for _, c := range n.Content {
		setBlockStyle(c)
	}
}
