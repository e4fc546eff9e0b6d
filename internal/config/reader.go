package config

import (
	"agatewinch/internal/core"
	"agatewinch/internal/platform"
)

// maxResults bounds how many proposal results are kept for Apply to look up.
const maxResults = 1024

// Accepted is an accepted configuration and the record that carries it.
type Accepted struct {
	Generation core.Generation
	Set        *Set
	// Record is the encoded log record, which peers exchange unchanged.
	Record []byte
}

// Result is the result of a proposal. An accepted proposal has its own Generation. A
// rejected one has Generation zero, and InForce is the generation that was in force.
type Result struct {
	Generation core.Generation
	InForce    core.Generation
}

// reader is the state machine that evaluates the records of the configuration stream in
// offset order. It does no I/O. It is deterministic: all readers that know the generation
// in force at some offset reach the same decision on every later record. A proposal is
// accepted if its base is the generation in force or it is forced; its own generation is
// its offset plus one.
type reader struct {
	// next is the offset of the next record to read.
	next platform.Offset
	// genKnown is false while the generation in force at next is not known, because
	// records were trimmed before they were read.
	genKnown bool
	// gen is the generation in force at next according to the log; valid if genKnown.
	gen core.Generation
	// current is the configuration that this host uses. It is ahead of gen after a peer
	// has offered a newer one.
	current Accepted
	// unreadable is an accepted generation that this build cannot use, and unreadableErr
	// is why; zero if there is none.
	unreadable    core.Generation
	unreadableErr error
	// bestSnapshot is the snapshot with the highest AsOf seen while genKnown is false.
	bestSnapshot snapshot
	// bootstrapOffset is the highest offset, among the records read so far, from which a
	// new reader can determine the generation in force on a trimmed log.
	bootstrapOffset platform.Offset
	// caughtUp is true if all records up to the end were read and evaluated.
	caughtUp bool
	// reachedEnd is true once the end was reached, even if genKnown was false there.
	reachedEnd bool

	// results holds the results of proposals by ID; resultOrder lists the IDs, oldest
	// first.
	results     map[string]Result
	resultOrder []string
}

type snapshot struct {
	asOf platform.Offset
	gen  core.Generation
	data []byte
}

func newReader() *reader { return &reader{genKnown: true, results: map[string]Result{}} }

// applyPage evaluates a page that starts at next.
func (r *reader) applyPage(p platform.Page) {
	for _, rec := range p.Records {
		r.applyRecord(rec)
	}
	r.next = p.Next
	if r.next < p.End {
		return
	}
	r.reachedEnd = true
	if r.genKnown {
		r.caughtUp = true
		return
	}
	r.resumeFromKnownGeneration(p.Oldest)
}

// skipTrimmed moves on to oldest because the records from next up to it were trimmed. The
// generation in force at oldest is unknown until a snapshot, a forced proposal or a peer's
// offer supplies it.
func (r *reader) skipTrimmed(oldest platform.Offset) {
	r.genKnown, r.caughtUp = false, false
	r.bestSnapshot = snapshot{}
	r.next = oldest
}

// resumeFromKnownGeneration goes back to the newest offset at which the generation in
// force is known, from the best snapshot or from current, if the log still holds all
// records from there on.
func (r *reader) resumeFromKnownGeneration(oldest platform.Offset) {
	start := r.bestSnapshot
	if own := platform.Offset(r.current.Generation); own >= start.asOf {
		// Generation g was set by the record at offset g-1, so it was in force at offset g.
		start = snapshot{asOf: own, gen: r.current.Generation, data: r.current.Record}
	}
	if start.gen == 0 || start.asOf < oldest {
		return
	}
	r.genKnown, r.gen, r.next = true, start.gen, start.asOf
	r.activate(start.gen, start.data)
}

func (r *reader) applyRecord(rec platform.Record) {
	parsed, ok := decodeRecord(rec.Data)
	if !ok {
		return
	}
	if parsed.Kind == RecordSnapshot {
		r.applySnapshot(rec, parsed)
		return
	}
	own := core.Generation(rec.Offset) + 1
	switch {
	case parsed.Force:
		r.bootstrapOffset = max(r.bootstrapOffset, rec.Offset)
		r.accept(own, rec.Data, parsed.ID)
	case r.genKnown && parsed.Base == r.gen:
		r.accept(own, rec.Data, parsed.ID)
	case r.genKnown:
		r.rememberResult(parsed.ID, Result{InForce: r.gen})
	}
}

func (r *reader) accept(gen core.Generation, data []byte, id string) {
	r.genKnown, r.gen = true, gen
	r.bestSnapshot = snapshot{}
	r.rememberResult(id, Result{Generation: gen})
	r.activate(gen, data)
}

// applySnapshot ignores a snapshot whose offsets contradict each other: one as of an offset
// beyond its own, or of a generation that was not yet in force at AsOf.
func (r *reader) applySnapshot(rec platform.Record, s Record) {
	if s.AsOf > rec.Offset || s.Generation == 0 || core.Generation(s.AsOf) < s.Generation {
		return
	}
	r.bootstrapOffset = max(r.bootstrapOffset, s.AsOf)
	if !r.genKnown && s.AsOf >= r.bestSnapshot.asOf {
		r.bestSnapshot = snapshot{asOf: s.AsOf, gen: s.Generation, data: rec.Data}
	}
}

// activate makes an accepted generation current, unless that generation or a newer one
// is current already or was found unreadable.
func (r *reader) activate(gen core.Generation, data []byte) {
	if gen <= r.current.Generation || gen <= r.unreadable {
		return
	}
	rec, _ := decodeRecord(data)
	set, err := rec.decodeSet()
	if err != nil {
		r.unreadable, r.unreadableErr = gen, err
		return
	}
	r.unreadable, r.unreadableErr = 0, nil
	r.current = Accepted{Generation: gen, Set: set, Record: data}
}

// rememberResult keeps the first result of an ID and evicts the oldest ID when full.
func (r *reader) rememberResult(id string, result Result) {
	if _, ok := r.results[id]; ok {
		return
	}
	if len(r.resultOrder) == maxResults {
		delete(r.results, r.resultOrder[0])
		r.resultOrder = r.resultOrder[1:]
	}
	r.results[id] = result
	r.resultOrder = append(r.resultOrder, id)
}
