package journal

import (
	"sort"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// Limits of one part of a snapshot. A single entry larger than maxPartBytes is a part of its
// own.
const (
	maxPartEntries = 256
	maxPartBytes   = 512 << 10
)

// Parts returns the state as a snapshot named id.
func (s *State) Parts(id string) []SnapshotPart {
	entries := s.Entries("", func(Entry) bool { return true })
	parts := []SnapshotPart{{Holders: s.sortedHolders()}}
	size := 0
	for _, e := range entries {
		last := &parts[len(parts)-1]
		if len(last.Entries) > 0 && (len(last.Entries) >= maxPartEntries || size+entryBytes(e) > maxPartBytes) {
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

// entryBytes estimates an entry's encoded size from its fields of unbounded size.
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

// FromSnapshot returns the state of a complete snapshot.
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

// collector assembles snapshots from their parts.
type collector struct {
	incomplete map[string]*snapshotParts
}

// snapshotParts holds the parts of one snapshot read so far.
type snapshotParts struct {
	parts    []*SnapshotPart
	received int
	covers   platform.Offset
}

func newCollector() *collector { return &collector{incomplete: map[string]*snapshotParts{}} }

// add adds a part and returns its snapshot if that completes it.
func (c *collector) add(p *SnapshotPart) *snapshotParts {
	if p.Parts < 1 || p.Part < 0 || p.Part >= p.Parts {
		return nil
	}
	got, ok := c.incomplete[p.Snapshot]
	if !ok {
		got = &snapshotParts{parts: make([]*SnapshotPart, p.Parts), covers: p.Covers}
		c.incomplete[p.Snapshot] = got
	}
	if p.Part >= len(got.parts) || got.parts[p.Part] != nil {
		return nil
	}
	got.parts[p.Part] = p
	got.received++
	if got.received < len(got.parts) {
		return nil
	}
	delete(c.incomplete, p.Snapshot)
	return got
}

// newestSnapshot returns the complete snapshot with the highest covered offset among the
// records, which is not always the last: a paused process may append an old snapshot late.
func newestSnapshot(records []offsetRecord) *snapshotParts {
	c := newCollector()
	var best *snapshotParts
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

func (c *snapshotParts) state() *State {
	parts := make([]SnapshotPart, len(c.parts))
	for i, p := range c.parts {
		parts[i] = *p
	}
	return FromSnapshot(parts)
}

// offsetRecord is a record with its offset.
type offsetRecord struct {
	Record
	offset platform.Offset
}

// decodeRecords decodes the records of a page.
func decodeRecords(records []platform.Record) []offsetRecord {
	out := make([]offsetRecord, 0, len(records))
	for _, r := range records {
		rec, err := Decode(r.Data)
		if err != nil {
			// A record that cannot be decoded takes effect for no reader.
			rec = Record{}
		}
		out = append(out, offsetRecord{Record: rec, offset: r.Offset})
	}
	return out
}

// isLive reports whether an entry is live.
func isLive(e Entry) bool { return e.Live() }

// LiveJobs returns the zone's live entries, sorted by job ID.
func (s *State) LiveJobs(zone core.ZoneID) []Entry { return s.Entries(zone, isLive) }
