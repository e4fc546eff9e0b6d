package config

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// streamModel is an in-memory stream whose oldest records can be trimmed.
type streamModel struct {
	oldest  platform.Offset
	records []platform.Record
}

func (s *streamModel) end() platform.Offset { return s.oldest + platform.Offset(len(s.records)) }

func (s *streamModel) append(data []byte) platform.Offset {
	at := s.end()
	s.records = append(s.records, platform.Record{Offset: at, Data: data})
	return at
}

func (s *streamModel) trim(to platform.Offset) {
	s.records = s.records[to-s.oldest:]
	s.oldest = to
}

// feed passes r its next page of at most limit records. If the record at r.next was
// trimmed, it makes r skip the trimmed records instead.
func (s *streamModel) feed(r *reader, limit int) {
	if r.next < s.oldest {
		r.skipTrimmed(s.oldest)
		return
	}
	from := int(r.next - s.oldest)
	to := min(from+limit, len(s.records))
	r.applyPage(platform.Page{Records: s.records[from:to], Next: r.next + platform.Offset(to-from), Oldest: s.oldest, End: s.end()})
}

// readAll feeds r until it stays at the end. The number of pages allows for reading the
// stream a second time from a known generation.
func (s *streamModel) readAll(r *reader) {
	for range 2*len(s.records) + 4 {
		s.feed(r, 3)
	}
}

func proposal(t *rapid.T, set *Set, rec Record) []byte {
	rec.Kind = RecordApply
	data, err := encodeRecord(rec, set)
	assert.NilError(t, err)
	return data
}

// TestReadersAgreeAndGenerationsNeverDecrease runs readers through trims, lagging reads,
// racing proposals, late snapshots, peers' offers and restarts. A reader's generation must
// never decrease, a generation must never belong to two proposals, and all readers must end on
// one generation.
func TestReadersAgreeAndGenerationsNeverDecrease(t *testing.T) {
	set := mustDecode(t)
	rapid.Check(t, func(t *rapid.T) {
		stream := &streamModel{}
		readers := []*reader{newReader(), newReader(), newReader(), newReader()}
		highest := make([]core.Generation, len(readers))
		accepted := map[core.Generation]string{}
		var late [][]byte
		pick := func(label string) int { return rapid.IntRange(0, len(readers)-1).Draw(t, label) }
		ids := 0
		snapshotOf := func(r *reader) []byte {
			data, err := encodeRecord(Record{Kind: RecordSnapshot, AsOf: r.next, Generation: r.gen}, r.current.Set)
			assert.NilError(t, err)
			return data
		}
		canSnapshot := func(r *reader) bool { return r.genKnown && r.gen > 0 && r.gen == r.current.Generation }
		t.Repeat(map[string]func(*rapid.T){
			"propose": func(t *rapid.T) {
				r := readers[pick("writer")]
				if !r.genKnown {
					t.Skip("a writer that does not know the generation proposes nothing")
				}
				ids++
				stream.append(proposal(t, set, Record{ID: fmt.Sprint(ids), Base: r.gen}))
			},
			"read": func(t *rapid.T) {
				stream.feed(readers[pick("reader")], rapid.IntRange(1, 4).Draw(t, "limit"))
			},
			"snapshot": func(t *rapid.T) {
				if r := readers[pick("writer")]; canSnapshot(r) {
					stream.append(snapshotOf(r))
				}
			},
			"prepare a late snapshot": func(t *rapid.T) {
				if r := readers[pick("writer")]; canSnapshot(r) {
					late = append(late, snapshotOf(r))
				}
			},
			"append a late snapshot": func(t *rapid.T) {
				if len(late) > 0 {
					stream.append(late[0])
					late = late[1:]
				}
			},
			"junk": func(*rapid.T) { stream.append([]byte(`{"kind":"later","base":0}`)) },
			"trim": func(t *rapid.T) {
				stream.trim(platform.Offset(rapid.Uint64Range(uint64(stream.oldest), uint64(stream.end())).Draw(t, "to")))
			},
			"offer": func(t *rapid.T) {
				from, to := readers[pick("from")], readers[pick("to")]
				to.activate(from.current.Generation, from.current.Record)
			},
			"restart": func(t *rapid.T) {
				i := pick("reader")
				readers[i] = newReader()
				highest[i] = 0
			},
			"": func(t *rapid.T) {
				for i, r := range readers {
					if r.current.Generation < highest[i] {
						t.Fatalf("reader %d went from generation %d to %d", i, highest[i], r.current.Generation)
					}
					highest[i] = r.current.Generation
					if r.current.Set == nil {
						continue
					}
					rec, _ := decodeRecord(r.current.Record)
					if rec.Kind != RecordApply {
						continue
					}
					if id, ok := accepted[r.current.Generation]; ok && id != rec.ID {
						t.Fatalf("generation %d was set by both proposal %s and proposal %s", r.current.Generation, id, rec.ID)
					}
					accepted[r.current.Generation] = rec.ID
				}
			},
		})
		converge(t, stream, readers, set, snapshotOf)
	})
}

// converge lets all readers read to the end, appends one record and lets them read again;
// they must then agree. The record is a forced proposal if no reader knows the generation
// in force, and otherwise a snapshot of it, or the first proposal if there is none yet.
func converge(t *rapid.T, stream *streamModel, readers []*reader, set *Set, snapshotOf func(*reader) []byte) {
	for _, r := range readers {
		stream.readAll(r)
	}
	var writer *reader
	for _, r := range readers {
		if r.genKnown {
			writer = r
		}
	}
	switch {
	case writer == nil:
		stream.append(proposal(t, set, Record{ID: "forced", Force: true}))
	case writer.gen > 0:
		stream.append(snapshotOf(writer))
	default:
		// Nothing was accepted yet, so this proposal must be accepted.
		stream.append(proposal(t, set, Record{ID: "first", Base: 0, Force: stream.oldest > 0}))
	}
	for _, r := range readers {
		stream.readAll(r)
	}
	want := readers[0].current.Generation
	for i, r := range readers {
		if r.current.Generation != want || !r.genKnown || r.gen != want {
			t.Fatalf("reader %d uses generation %d (genKnown %v, gen %d), but reader 0 uses %d", i, r.current.Generation, r.genKnown, r.gen, want)
		}
	}
}

func appendProposal(t *testing.T, s *streamModel, id string, base core.Generation) platform.Offset {
	t.Helper()
	data, err := encodeRecord(Record{Kind: RecordApply, ID: id, Base: base}, mustDecode(t))
	assert.NilError(t, err)
	return s.append(data)
}

func TestFirstOfTwoRacingProposalsIsAccepted(t *testing.T) {
	s, r := &streamModel{}, newReader()
	appendProposal(t, s, "a", 0)
	appendProposal(t, s, "b", 0)
	s.readAll(r)
	assert.Equal(t, r.current.Generation, core.Generation(1))
	assert.Equal(t, r.results["a"], Result{Generation: 1})
	assert.Equal(t, r.results["b"], Result{InForce: 1})
}

func TestRepeatedProposalKeepsItsFirstResult(t *testing.T) {
	s, r := &streamModel{}, newReader()
	appendProposal(t, s, "a", 0)
	appendProposal(t, s, "a", 0)
	s.readAll(r)
	assert.Equal(t, r.results["a"], Result{Generation: 1})
}

func TestSnapshotOlderThanTheGenerationInForceIsIgnored(t *testing.T) {
	s, r := &streamModel{}, newReader()
	appendProposal(t, s, "a", 0)
	s.readAll(r)
	late, err := encodeRecord(Record{Kind: RecordSnapshot, AsOf: r.next, Generation: r.gen}, r.current.Set)
	assert.NilError(t, err)
	second := appendProposal(t, s, "b", 1)
	s.append(late)
	s.readAll(r)
	assert.Equal(t, r.current.Generation, core.Generation(second)+1)
	// The record of b is trimmed while the late snapshot of a is still in the stream.
	s.trim(second + 1)
	fresh := newReader()
	s.readAll(fresh)
	assert.Assert(t, !fresh.genKnown, "a snapshot from before a trimmed record was used")
}

func TestSetOfANewerFormatIsReportedUnreadableAndNotUsed(t *testing.T) {
	s, r := &streamModel{}, newReader()
	appendProposal(t, s, "a", 0)
	s.append([]byte(`{"format":99,"kind":"apply","id":"b","base":1,"set":{}}`))
	s.readAll(r)
	assert.Equal(t, r.gen, core.Generation(2), "acceptance must not depend on the set's format")
	assert.Equal(t, r.current.Generation, core.Generation(1))
	assert.Equal(t, r.unreadable, core.Generation(2))
	appendProposal(t, s, "c", 2)
	s.readAll(r)
	assert.Equal(t, r.current.Generation, core.Generation(3))
	assert.Equal(t, r.unreadable, core.Generation(0))
}

func TestRememberedResultsAreBounded(t *testing.T) {
	r := newReader()
	for i := range 3 * maxResults {
		r.rememberResult(fmt.Sprint(i), Result{Generation: 1})
	}
	assert.Equal(t, len(r.results), maxResults)
	assert.Equal(t, len(r.resultOrder), maxResults)
}
