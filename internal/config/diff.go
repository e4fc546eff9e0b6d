package config

import (
	"encoding/json"
	"slices"
)

// ChangeKind is the kind of a change to an item.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one item that differs between two sets. Item is its kind and name, such as
// "worker w1". Before and After are the item in JSON; Before is empty for an added item and
// After for a removed one.
type Change struct {
	Kind   ChangeKind `json:"kind"`
	Item   string     `json:"item"`
	Before string     `json:"before,omitempty"`
	After  string     `json:"after,omitempty"`
}

// Diff returns the changes from one set to another, sorted by kind of item and name.
func Diff(before, after *Set) []Change {
	oldItems, newItems := before.items(), after.items()
	names := map[string]bool{}
	for name := range oldItems {
		names[name] = true
	}
	for name := range newItems {
		names[name] = true
	}
	changes := []Change{}
	for name := range names {
		c := Change{Kind: Changed, Item: name, Before: oldItems[name], After: newItems[name]}
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

// items returns the JSON of each item, keyed by kind and name. A worker includes its rack
// and zone.
func (s *Set) items() map[string]string {
	out := map[string]string{}
	for _, o := range s.Organisations {
		out["organisation "+o.Name] = itemJSON(o)
	}
	for _, c := range s.Classes {
		out["class "+c.Name] = itemJSON(c)
	}
	for _, k := range s.Keys {
		out["key "+k.Name] = itemJSON(k)
	}
	for _, r := range s.Racks {
		for _, w := range r.Workers {
			out["worker "+w.Name] = itemJSON(struct {
				Rack, Zone string
				Worker
			}{r.Name, r.Zone, w})
		}
	}
	return out
}

func itemJSON(item any) string {
	data, _ := json.Marshal(item) // cannot fail: items hold only strings, numbers, booleans and lists
	return string(data)
}
