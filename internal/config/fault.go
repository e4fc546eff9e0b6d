package config

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one validation error of a set. Path is the field, such as
// racks[0].workers[2].memory; it is empty for a fault of a whole file. File and Line are
// zero if the set was not read from files, or if the files contain neither the field nor
// any field that encloses it.
type Fault struct {
	File   string
	Line   int
	Path   string
	Reason string
}

// Error returns file, line, path and reason on one line.
func (f *Fault) Error() string {
	var b strings.Builder
	if f.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	}
	if f.Path != "" {
		b.WriteString(f.Path + ": ")
	}
	b.WriteString(f.Reason)
	return b.String()
}

// JoinFaults returns all faults as one error, one per line; nil if there are none.
func JoinFaults(faults []error) error { return errors.Join(faults...) }

// position is a place in a configuration file.
type position struct {
	file string
	line int
}

// positions maps the paths of a set to the places where they were read.
type positions map[string]position

// find returns the position of path or of its nearest ancestor that has one.
func (p positions) find(path string) (position, bool) {
	for path != "" {
		if pos, ok := p[path]; ok {
			return pos, true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return position{}, false
}
