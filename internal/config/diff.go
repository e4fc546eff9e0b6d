package config

import (
	"encoding/json"
	"slices"
)

// ChangeKind tells what happened to an item.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one item of a set that differs from another set. Before and After are the
// item in JSON.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Item   string     `json:"item"`
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}

// Diff returns the changes that lead from one set to another, by kind of item and name.
func Diff(before, after *Set) []Change {
	old, now := before.items(), after.items()
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range now {
		names[name] = true
	}
	changes := []Change{}
	for name := range names {
		c := Change{Kind: Changed, Item: name, Before: old[name], After: now[name]}
		switch {
		case c.Before == c.After:
			continue
		case c.Before == "":
			c.Kind = Added
		case c.After == "":
			c.Kind = Removed
		}
		changes = append(changes, c)
	}
	slices.SortFunc(changes, func(a, b Change) int {
		if a.Item < b.Item {
			return -1
		}
		return 1
	})
	return changes
}

// items returns each item in JSON by its kind and name.
func (s *Set) items() map[string]string {
	out := map[string]string{}
	for _, o := range s.Organisations {
		out["organisation "+o.Name] = itemText(o)
	}
	for _, c := range s.Classes {
		out["class "+c.Name] = itemText(c)
	}
	for _, k := range s.Keys {
		out["key "+k.Name] = itemText(k)
	}
	for _, r := range s.Racks {
		for _, w := range r.Workers {
			out["worker "+w.Name] = itemText(struct {
				Rack, Zone string
				Worker
			}{r.Name, r.Zone, w})
		}
	}
	return out
}

func itemText(item any) string {
	data, _ := json.Marshal(item) // items hold only strings, numbers and lists
	return string(data)
}
