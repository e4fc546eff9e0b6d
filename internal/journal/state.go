package journal

import (
	"sort"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
)

// State is the state of all jobs and zones after the stream's records are applied in offset
// order.
type State struct {
	entries map[core.JobID]*Entry
	holders map[core.ZoneID]ZoneHolder
	live    int
	next    platform.Offset
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{entries: map[core.JobID]*Entry{}, holders: map[core.ZoneID]ZoneHolder{}}
}

// Next returns the offset of the next record to apply.
func (s *State) Next() platform.Offset { return s.next }

// Len returns the numbers of live jobs and of ended jobs still kept.
func (s *State) Len() (live, ended int) { return s.live, len(s.entries) - s.live }

// Entry returns a job's entry and whether there is one.
func (s *State) Entry(id core.JobID) (Entry, bool) {
	e, ok := s.entries[id]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Holder returns the leader of a zone's highest term.
func (s *State) Holder(zone core.ZoneID) ZoneHolder { return s.holders[zone] }

// Entries returns the zone's entries for which keep returns true, sorted by job ID; an empty
// zone means all zones.
func (s *State) Entries(zone core.ZoneID, keep func(Entry) bool) []Entry {
	var out []Entry
	for _, e := range s.entries {
		if (zone == "" || e.Zone == zone) && keep(*e) {
			out = append(out, *e)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Job.ID < out[b].Job.ID })
	return out
}

// Apply applies the record at an offset. Records at offsets below Next are ignored.
func (s *State) Apply(at platform.Offset, r Record) {
	if at < s.next {
		return
	}
	s.next = at + 1
	current := s.observeTerm(r)
	switch {
	case r.Admitted != nil:
		s.admit(r)
	case r.Placed != nil && current:
		s.place(r)
	case r.Ended != nil:
		s.end(at, r, current)
	case r.Expired != nil:
		s.expire(r.Expired.Before)
	}
}

// observeTerm records the writer's term and reports whether the writer is the leader of the
// zone's highest term.
func (s *State) observeTerm(r Record) bool {
	h := s.holders[r.Zone]
	if r.Term > h.Term {
		h = ZoneHolder{Zone: r.Zone, Holder: r.Holder, Term: r.Term}
		s.holders[r.Zone] = h
	}
	return h.Term == r.Term && h.Holder == r.Holder
}

func (s *State) admit(r Record) {
	id := r.Admitted.Job.ID
	if _, ok := s.entries[id]; ok {
		return
	}
	s.entries[id] = &Entry{Job: r.Admitted.Job, Digest: r.Admitted.Digest, Zone: r.Zone, AdmittedBy: r.ID}
	s.live++
}

func (s *State) place(r Record) {
	e, ok := s.entries[r.Placed.Job]
	if !ok || !e.Live() || e.Zone != r.Zone {
		return
	}
	if e.Placed != nil && r.Placed.Attempt <= e.Placed.Attempt {
		return
	}
	e.Placed, e.PlacedBy = r.Placed, r.ID
}

// end records an outcome. An outcome from a former leader takes effect only if workers
// reported it. Outcomes that it decided itself, such as an expired deadline in its queue, are
// void: the zone's queue now belongs to the new leader.
func (s *State) end(at platform.Offset, r Record, current bool) {
	e, ok := s.entries[r.Ended.Job]
	if !ok || !e.Live() || e.Zone != r.Zone {
		return
	}
	if !current && !reportedByWorkers(r.Ended.Outcome) {
		return
	}
	s.live--
	if r.Ended.Forget {
		delete(s.entries, r.Ended.Job)
		return
	}
	outcome := r.Ended.Outcome
	e.Outcome, e.EndedBy, e.EndedAt = &outcome, r.ID, at
}

func reportedByWorkers(o core.Outcome) bool {
	return o.State == core.Succeeded || o.Kind == errkind.TaskFailed
}

func (s *State) expire(before platform.Offset) {
	for id, e := range s.entries {
		if !e.Live() && e.EndedAt < before {
			delete(s.entries, id)
		}
	}
}

// isEffective reports whether an applied record took effect.
func (s *State) isEffective(r Record) bool {
	switch {
	case r.Admitted != nil:
		e, ok := s.entries[r.Admitted.Job.ID]
		return ok && e.AdmittedBy == r.ID
	case r.Placed != nil:
		e, ok := s.entries[r.Placed.Job]
		return ok && e.PlacedBy == r.ID
	case r.Ended != nil:
		e, ok := s.entries[r.Ended.Job]
		return ok && e.EndedBy == r.ID || !ok && r.Ended.Forget
	default:
		h := s.holders[r.Zone]
		return h.Holder == r.Holder && h.Term == r.Term
	}
}
