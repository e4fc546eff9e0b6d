package config

import (
	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// maxResults bounds the remembered results of proposals.
const maxResults = 1024

// Accepted is a configuration in force.
type Accepted struct {
	Generation core.Generation
	Set        *Set
	// Record is the log record's data, as peers pass it on.
	Record []byte
}

// Result is what became of a proposal: Generation is zero when it was refused because
// InForce was in force.
type Result struct {
	Generation core.Generation
	InForce    core.Generation
}

// reader judges the records of the configuration stream in offset order. It does no
// I/O. Every reader that knows the generation at some offset judges all later records
// alike: a proposal is accepted when its base is the generation in force, and its own
// generation is its offset plus one.
type reader struct {
	next platform.Offset
	// known is false while the generation in force at next is not known: records were
	// trimmed before they were read.
	known bool
	// gen is the generation in force at next, by the log.
	gen core.Generation
	// current is what this host uses; it may be ahead of gen by a peer's offer.
	current Accepted
	// unreadable is an accepted generation that this build cannot use; zero is none.
	unreadable core.Generation
	reason     error
	// best is the snapshot with the highest AsOf seen while known is false.
	best snapshot
	// anchor is the highest offset from which a reader that knows nothing can start
	// on a trimmed log, by the records seen.
	anchor platform.Offset
	// caught is true when all records up to the end were read and judged.
	caught bool
	// scanned is true when the end was reached once, judged or not.
	scanned bool

	results map[string]Result
	order   []string
}

type snapshot struct {
	asOf platform.Offset
	gen  core.Generation
	data []byte
}

func newReader() *reader { return &reader{known: true, results: map[string]Result{}} }

// page reads a page that starts at next.
func (r *reader) page(p platform.Page) {
	for _, rec := range p.Records {
		r.record(rec)
	}
	r.next = p.Next
	if r.next < p.End {
		return
	}
	r.scanned = true
	if r.known {
		r.caught = true
		return
	}
	r.startFromBest(p.Oldest)
}

// trimmed notes that records from next up to oldest are lost: the generation at
// oldest must come from a snapshot.
func (r *reader) trimmed(oldest platform.Offset) {
	r.known, r.caught = false, false
	r.best = snapshot{}
	r.next = oldest
}

// startFromBest goes back to the newest offset whose generation is known, if the log
// still holds all records from there on.
func (r *reader) startFromBest(oldest platform.Offset) {
	start := r.best
	if own := platform.Offset(r.current.Generation); own >= start.asOf {
		// A generation is one above the offset of its record, so it was in force there.
		start = snapshot{asOf: own, gen: r.current.Generation, data: r.current.Record}
	}
	if start.gen == 0 || start.asOf < oldest {
		return
	}
	r.known, r.gen, r.next = true, start.gen, start.asOf
	r.use(start.gen, start.data)
}

func (r *reader) record(rec platform.Record) {
	parsed, ok := decodeRecord(rec.Data)
	if !ok {
		return
	}
	if parsed.Kind == RecordSnapshot {
		r.snapshot(rec, parsed)
		return
	}
	own := core.Generation(rec.Offset) + 1
	switch {
	case parsed.Force:
		r.anchor = max(r.anchor, rec.Offset)
		r.accept(own, rec.Data, parsed.ID)
	case r.known && parsed.Base == r.gen:
		r.accept(own, rec.Data, parsed.ID)
	case r.known:
		r.remember(parsed.ID, Result{InForce: r.gen})
	}
}

func (r *reader) accept(gen core.Generation, data []byte, id string) {
	r.known, r.gen = true, gen
	r.best = snapshot{}
	r.remember(id, Result{Generation: gen})
	r.use(gen, data)
}

func (r *reader) snapshot(rec platform.Record, s Record) {
	if s.AsOf > rec.Offset || s.Generation == 0 || core.Generation(s.AsOf) < s.Generation {
		return
	}
	r.anchor = max(r.anchor, s.AsOf)
	if !r.known && s.AsOf >= r.best.asOf {
		r.best = snapshot{asOf: s.AsOf, gen: s.Generation, data: rec.Data}
	}
}

// use puts an accepted generation in force unless a newer one already is.
func (r *reader) use(gen core.Generation, data []byte) {
	if gen <= r.current.Generation || gen <= r.unreadable {
		return
	}
	rec, _ := decodeRecord(data)
	set, err := rec.decodeSet()
	if err != nil {
		r.unreadable, r.reason = gen, err
		return
	}
	r.unreadable, r.reason = 0, nil
	r.current = Accepted{Generation: gen, Set: set, Record: data}
}

// remember keeps the first result of an ID.
func (r *reader) remember(id string, result Result) {
	if _, ok := r.results[id]; ok {
		return
	}
	if len(r.order) == maxResults {
		delete(r.results, r.order[0])
		r.order = r.order[1:]
	}
	r.results[id] = result
	r.order = append(r.order, id)
}
