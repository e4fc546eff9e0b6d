package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
	"agatewinch/internal/platform"
)

const appendTimeout = 5 * time.Second

// entry is one record of the jobs stream; exactly one of its parts is set.
type entry struct {
	Zone      core.ZoneID           `json:"zone"`
	Admitted  *core.Job             `json:"admitted,omitempty"`
	Placed    *core.RecordPlacement `json:"placed,omitempty"`
	EndedJob  core.JobID            `json:"ended_job,omitempty"`
	EndedWith *core.Outcome         `json:"ended_with,omitempty"`
}

func (s *Scheduler) write(ctx context.Context, e entry) error {
	e.Zone = s.opts.Zone
	data, err := json.Marshal(e)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = s.log.Append(ctx, platform.StreamJobs, [][]byte{data})
	if err != nil {
		event.Error(s.logger, err, event.LogWriteError)
	}
	return err
}

func (s *Scheduler) recordPlacement(ctx context.Context, a core.RecordPlacement) {
	err := s.write(ctx, entry{Placed: &a})
	s.feed(ctx, core.PlacementRecorded{Job: a.Job, Attempt: a.Attempt, OK: err == nil})
}

func (s *Scheduler) recordOutcome(ctx context.Context, id core.JobID, outcome core.Outcome) {
	_ = s.write(ctx, entry{EndedJob: id, EndedWith: &outcome})
}

// claimRecord is a claim of a zone's active role.
type claimRecord struct {
	Zone core.ZoneID `json:"zone"`
	Host string      `json:"host"`
	Term core.Term   `json:"term"`
}

// claim takes the zone's active role with a term above all that the log holds.
func (s *Scheduler) claim(ctx context.Context) error {
	for ctx.Err() == nil {
		term, err := s.highestTerm(ctx)
		if err == nil {
			err = s.appendClaim(ctx, term+1)
		}
		if err == nil {
			s.post(ctx, func() { s.activate(term + 1) })
			return nil
		}
		pause(ctx, time.Second)
	}
	return ctx.Err()
}

func (s *Scheduler) activate(term core.Term) {
	s.active = true
	s.holder.Term = term
	event.Info(s.logger, event.SchedulerActive, "zone", s.opts.Zone, "term", term)
}

func (s *Scheduler) highestTerm(ctx context.Context) (core.Term, error) {
	var highest core.Term
	var from platform.Offset
	for {
		page, err := s.log.Read(ctx, platform.StreamClaims, from, 1000, 0)
		var trimmed *platform.TrimmedError
		if errors.As(err, &trimmed) {
			from = trimmed.Oldest
			continue
		}
		if err != nil {
			return 0, err
		}
		for _, r := range page.Records {
			var c claimRecord
			if json.Unmarshal(r.Data, &c) == nil && c.Zone == s.opts.Zone {
				highest = max(highest, c.Term)
			}
		}
		from = page.Next
		if from >= page.End {
			return highest, nil
		}
	}
}

func (s *Scheduler) appendClaim(ctx context.Context, term core.Term) error {
	data, err := json.Marshal(claimRecord{Zone: s.opts.Zone, Host: s.opts.Host, Term: term})
	if err != nil {
		return err
	}
	_, err = s.log.Append(ctx, platform.StreamClaims, [][]byte{data})
	return err
}
