package config

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one reason for refusing a set. Path names the place in the set, such as
// racks[0].workers[2].memory; File and Line are empty when the set did not come from
// files.
type Fault struct {
	File   string
	Line   int
	Path   string
	Reason string
}

// Error returns the place and the reason on one line.
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

// JoinFaults returns all faults as one error, a line each; nil when there is none.
func JoinFaults(faults []error) error { return errors.Join(faults...) }

// position is where a path was read.
type position struct {
	file string
	line int
}

// positions maps the paths of a set to where they were read.
type positions map[string]position

// find returns the position of path or of the nearest place that holds it.
func (p positions) find(path string) (position, bool) {
	for path != "" {
		if pos, ok := p[path]; ok {
			return pos, true
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return position{}, false
}
