package audit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/errkind"
	"agatewinch/internal/standin"
)

const leaseTTL = time.Second

func start(job core.JobID, attempt, index, cells int, at time.Duration) standin.Entry {
	return standin.Entry{Kind: standin.EntryStarted, At: at, Cells: cells, Worker: "w", Task: core.TaskRef{Job: job, Attempt: attempt, Index: index}}
}

func end(kind standin.EntryKind, job core.JobID, attempt, index int, at time.Duration) standin.Entry {
	return standin.Entry{Kind: kind, OK: kind == standin.EntryEnded, At: at, Worker: "w", Task: core.TaskRef{Job: job, Attempt: attempt, Index: index}}
}

// withHolder sets the holder that started the tasks of entries and returns them.
func withHolder(holder string, entries []standin.Entry) []standin.Entry {
	for i := range entries {
		entries[i].Holder.ID = holder
	}
	return entries
}

func TestCompareFindsEachKindOfWrongBehaviour(t *testing.T) {
	complete := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryEnded, "j", 1, 0, 3*leaseTTL), end(standin.EntryEnded, "j", 1, 1, 3*leaseTTL),
	}
	succeeded := CallerView{Job: "j", Cells: 2, Nonce: "n", Accepted: true, Ended: true, Succeeded: true, Outputs: []string{"n", "n"}}
	refused := CallerView{Job: "j", Cells: 2, Ended: true, Ran: errkind.RanNo}
	startedTwice := append(append([]standin.Entry{}, complete...), start("j", 2, 0, 2, 4*leaseTTL))
	lostMember := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryStopped, "j", 1, 0, leaseTTL), end(standin.EntryEnded, "j", 1, 1, 3*leaseTTL),
	}
	halfStarted := []standin.Entry{start("j", 1, 0, 2, 1), end(standin.EntryStopped, "j", 1, 0, 2*leaseTTL)}
	secondHolder := withHolder("second", []standin.Entry{start("j", 1, 0, 2, 4*leaseTTL), start("j", 1, 1, 2, 4*leaseTTL), end(standin.EntryEnded, "j", 1, 0, 7*leaseTTL), end(standin.EntryEnded, "j", 1, 1, 7*leaseTTL)})
	bothLost := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryLeaseExpired, "j", 1, 0, leaseTTL), end(standin.EntryLeaseExpired, "j", 1, 1, leaseTTL),
	}
	resume := func(index int, at time.Duration) standin.Entry {
		e := start("j", 2, index, 2, at)
		e.Kind = standin.EntryResumed
		return e
	}
	resumedWithUnfinished := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryEnded, "j", 1, 1, 2*leaseTTL), end(standin.EntryCheckpointed, "j", 1, 0, 2*leaseTTL),
		resume(0, 3*leaseTTL), end(standin.EntryEnded, "j", 2, 0, 5*leaseTTL),
	}
	resumedWithoutUnfinished := []standin.Entry{
		start("j", 1, 0, 2, 1), start("j", 1, 1, 2, 2),
		end(standin.EntryCheckpointed, "j", 1, 1, 2*leaseTTL), end(standin.EntryCheckpointed, "j", 1, 0, 2*leaseTTL),
		resume(0, 3*leaseTTL), end(standin.EntryEnded, "j", 2, 0, 5*leaseTTL),
	}
	idempotent := succeeded
	idempotent.Idempotent = true
	for _, tc := range []struct {
		name   string
		view   CallerView
		ledger []standin.Entry
		want   Counts
	}{
		{"complete run", succeeded, complete, Counts{}},
		{"second start of a non-idempotent job", succeeded, startedTwice, Counts{DuplicateRuns: 1}},
		{"second start by another holder with the same attempt number", succeeded, append(append([]standin.Entry{}, complete...), secondHolder...), Counts{DuplicateRuns: 1}},
		{"restart of a lost gang by another holder with the same attempt number", idempotent, append(append([]standin.Entry{}, bothLost...), secondHolder...), Counts{}},
		{"accepted job without a final answer", CallerView{Job: "j", Cells: 2, Accepted: true}, nil, Counts{LostJobs: 1}},
		{"job reported as not run although it ran", refused, complete, Counts{FalseNotRun: 1}},
		{"output of another job", CallerView{Job: "j", Cells: 2, Nonce: "m", Ended: true, Succeeded: true, Outputs: []string{"n", "n"}}, complete, Counts{WrongAnswers: 1}},
		{"answer with too few outputs", CallerView{Job: "j", Cells: 2, Nonce: "n", Ended: true, Succeeded: true, Outputs: []string{"n"}}, complete, Counts{WrongAnswers: 1}},
		{"success without a run", succeeded, nil, Counts{WrongAnswers: 1}},
		{"checkpointed gang resumes with the member that had not ended", succeeded, resumedWithUnfinished, Counts{}},
		{"checkpointed gang resumes without a member that had not ended", succeeded, resumedWithoutUnfinished, Counts{PartialGangs: 1, WrongAnswers: 1}},
		{"gang keeps running after the loss of a member", CallerView{Job: "j", Cells: 2}, lostMember, Counts{PartialGangs: 1}},
		{"half-started gang runs for longer than the lease TTL", CallerView{Job: "j", Cells: 2}, halfStarted, Counts{PartialGangs: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, Compare([]CallerView{tc.view}, tc.ledger, leaseTTL).Counts, tc.want)
		})
	}
}
