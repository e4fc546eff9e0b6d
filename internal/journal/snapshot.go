package journal

import (
	"sort"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Bounds of one part of a snapshot.
const (
	partEntries = 256
	partBytes   = 512 << 10
)

// Parts returns the state as a snapshot named id.
func (s *State) Parts(id string) []SnapshotPart {
	entries := s.Entries("", func(Entry) bool { return true })
	parts := []SnapshotPart{{Holders: s.sortedHolders()}}
	size := 0
	for _, e := range entries {
		last := &parts[len(parts)-1]
		if len(last.Entries) > 0 && (len(last.Entries) >= partEntries || size+entryBytes(e) > partBytes) {
			parts = append(parts, SnapshotPart{})
			last = &parts[len(parts)-1]
			size = 0
		}
		last.Entries = append(last.Entries, e)
		size += entryBytes(e)
	}
	for i := range parts {
		parts[i].Snapshot, parts[i].Part, parts[i].Parts, parts[i].Covers = id, i, len(parts), s.next
	}
	return parts
}

func (s *State) sortedHolders() []ZoneHolder {
	holders := make([]ZoneHolder, 0, len(s.holders))
	for _, h := range s.holders {
		holders = append(holders, h)
	}
	sort.Slice(holders, func(a, b int) bool { return holders[a].Zone < holders[b].Zone })
	return holders
}

// entryBytes estimates an entry's encoded size from its parts of unbounded size.
func entryBytes(e Entry) int {
	const fixedBytes = 512
	n := fixedBytes + len(e.Job.Payload)
	if e.Outcome != nil {
		n += len(e.Outcome.Message)
		for _, o := range e.Outcome.Outputs {
			n += len(o.Output)
		}
	}
	return n
}

// FromSnapshot returns the state that a complete snapshot holds.
func FromSnapshot(parts []SnapshotPart) *State {
	s := NewState()
	for _, p := range parts {
		s.next = p.Covers
		for _, h := range p.Holders {
			s.holders[h.Zone] = h
		}
		for _, e := range p.Entries {
			s.entries[e.Job.ID] = &e
			if e.Live() {
				s.live++
			}
		}
	}
	return s
}

// collector puts the parts of snapshots together.
type collector struct {
	open map[string]*collected
}

type collected struct {
	parts  []*SnapshotPart
	seen   int
	covers platform.Offset
}

func newCollector() *collector { return &collector{open: map[string]*collected{}} }

// add takes a part and returns the snapshot when that makes it complete.
func (c *collector) add(p *SnapshotPart) *collected {
	if p.Parts < 1 || p.Part < 0 || p.Part >= p.Parts {
		return nil
	}
	got, ok := c.open[p.Snapshot]
	if !ok {
		got = &collected{parts: make([]*SnapshotPart, p.Parts), covers: p.Covers}
		c.open[p.Snapshot] = got
	}
	if p.Part >= len(got.parts) || got.parts[p.Part] != nil {
		return nil
	}
	got.parts[p.Part] = p
	got.seen++
	if got.seen < len(got.parts) {
		return nil
	}
	delete(c.open, p.Snapshot)
	return got
}

// newest returns the complete snapshot among records that covers the most; a snapshot
// written late by a paused process covers less and so hides nothing.
func newest(records []located) *collected {
	c := newCollector()
	var best *collected
	for _, r := range records {
		if r.Snapshot == nil {
			continue
		}
		if done := c.add(r.Snapshot); done != nil && (best == nil || done.covers > best.covers) {
			best = done
		}
	}
	return best
}

func (c *collected) state() *State {
	parts := make([]SnapshotPart, len(c.parts))
	for i, p := range c.parts {
		parts[i] = *p
	}
	return FromSnapshot(parts)
}

// located is a record with its offset.
type located struct {
	Record
	at platform.Offset
}

func locate(records []platform.Record) []located {
	out := make([]located, 0, len(records))
	for _, r := range records {
		rec, err := Decode(r.Data)
		if err != nil {
			// A record that cannot be read counts for no reader.
			rec = Record{}
		}
		out = append(out, located{Record: rec, at: r.Offset})
	}
	return out
}

// ownLive keeps the live entries.
func ownLive(e Entry) bool { return e.Live() }

// LiveJobs returns the zone's live entries, by job ID.
func (s *State) LiveJobs(zone core.ZoneID) []Entry { return s.Entries(zone, ownLive) }
