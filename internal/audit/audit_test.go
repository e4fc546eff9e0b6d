package audit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/standin"
)

const lease = time.Second

func start(job core.JobID, attempt, index, cells int, at time.Duration) standin.Entry {
	return standin.Entry{Kind: standin.EntryStarted, At: at, Cells: cells, Worker: "w", Task: core.TaskRef{Job: job, Attempt: attempt, Index: index}}
}

func end(kind standin.EntryKind, job core.JobID, attempt, index int, at time.Duration) standin.Entry {
	return standin.Entry{Kind: kind, OK: kind == standin.EntryEnded, At: at, Worker: "w", Task: core.TaskRef{Job: job, Attempt: attempt, Index: index}}
}

// by sets the holder that started the tasks of entries.
func by(holder string, entries []standin.Entry) []standin.Entry {
	for i := range entries {
		entries[i].Holder.ID = holder
	}
	return entries
}

func TestCompareFindsEachKindOfWrongBehaviour(t *testing.T) {
	whole := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryEnded, "j", 1, 0, 3*lease), end(standin.EntryEnded, "j", 1, 1, 3*lease),
	}
	good := CallerView{Job: "j", Cells: 2, Nonce: "n", Accepted: true, Ended: true, Succeeded: true, Outputs: []string{"n", "n"}}
	refused := CallerView{Job: "j", Cells: 2, Ended: true, Ran: errkind.RanNo}
	twice := append(append([]standin.Entry{}, whole...), start("j", 2, 0, 2, 4*lease))
	lostMember := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryStopped, "j", 1, 0, lease), end(standin.EntryEnded, "j", 1, 1, 3*lease),
	}
	halfStarted := []standin.Entry{start("j", 1, 0, 2, 1), end(standin.EntryStopped, "j", 1, 0, 2*lease)}
	again := by("second", []standin.Entry{start("j", 1, 0, 2, 4*lease), start("j", 1, 1, 2, 4*lease), end(standin.EntryEnded, "j", 1, 0, 7*lease), end(standin.EntryEnded, "j", 1, 1, 7*lease)})
	bothLost := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryLapsed, "j", 1, 0, lease), end(standin.EntryLapsed, "j", 1, 1, lease),
	}
	resume := func(index int, at time.Duration) standin.Entry {
		e := start("j", 2, index, 2, at)
		e.Kind = standin.EntryResumed
		return e
	}
	oneLeft := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryEnded, "j", 1, 1, 2*lease), end(standin.EntryCheckpointed, "j", 1, 0, 2*lease),
		resume(0, 3*lease), end(standin.EntryEnded, "j", 2, 0, 5*lease),
	}
	oneForgotten := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryCheckpointed, "j", 1, 1, 2*lease), end(standin.EntryCheckpointed, "j", 1, 0, 2*lease),
		resume(0, 3*lease), end(standin.EntryEnded, "j", 2, 0, 5*lease),
	}
	repeatable := good
	repeatable.Idempotent = true
	for _, tc := range []struct {
		name   string
		told   CallerView
		ledger []standin.Entry
		want   Counts
	}{
		{"a sound run has no finding", good, whole, Counts{}},
		{"second start of a non-idempotent job", good, twice, Counts{DuplicateRuns: 1}},
		{"second start by another holder under the same attempt", good, append(append([]standin.Entry{}, whole...), again...), Counts{DuplicateRuns: 1}},
		{"another holder places a lost gang anew under the same attempt", repeatable, append(append([]standin.Entry{}, bothLost...), again...), Counts{}},
		{"accepted job without an end", CallerView{Job: "j", Cells: 2, Accepted: true}, nil, Counts{LostJobs: 1}},
		{"told not run although it ran", refused, whole, Counts{FalseNotRun: 1}},
		{"another job's output", CallerView{Job: "j", Cells: 2, Nonce: "m", Ended: true, Succeeded: true, Outputs: []string{"n", "n"}}, whole, Counts{WrongAnswers: 1}},
		{"answer cut short", CallerView{Job: "j", Cells: 2, Nonce: "n", Ended: true, Succeeded: true, Outputs: []string{"n"}}, whole, Counts{WrongAnswers: 1}},
		{"success without a run", good, nil, Counts{WrongAnswers: 1}},
		{"checkpointed gang goes on with the member that had not ended", good, oneLeft, Counts{}},
		{"checkpointed gang goes on without a member that had not ended", good, oneForgotten, Counts{PartialGangs: 1, WrongAnswers: 1}},
		{"gang goes on after a member's loss", CallerView{Job: "j", Cells: 2}, lostMember, Counts{PartialGangs: 1}},
		{"gang runs half started", CallerView{Job: "j", Cells: 2}, halfStarted, Counts{PartialGangs: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, Compare([]CallerView{tc.told}, tc.ledger, lease).Counts, tc.want)
		})
	}
}
