package bench

import (
	"agatewinch/internal/audit"
	"agatewinch/internal/errkind"
	"agatewinch/internal/standin"
)

// Story is what became of one job, for finding out why a figure is what it is. Times
// are seconds: At from the run's start, the others from the first try.
type Story struct {
	Job       string       `json:"job"`
	Org       string       `json:"org"`
	Caller    string       `json:"caller"`
	Class     string       `json:"class"`
	Cells     int          `json:"cells"`
	CellSize  int          `json:"cell_size"`
	Flood     bool         `json:"flood"`
	At        float64      `json:"at"`
	Run       float64      `json:"run"`
	Started   float64      `json:"started"`
	Ended     float64      `json:"ended"`
	Succeeded bool         `json:"succeeded"`
	Attempts  int          `json:"attempts"`
	Kind      errkind.Kind `json:"kind,omitempty"`
}

// Stories joins each result with the ledger. Started is negative without a start.
func Stories(results []Result, ledger []standin.Entry) []Story {
	runs := audit.Runs(ledger)
	starts := firstStarts(runs)
	attempts := map[string]int{}
	for _, r := range runs {
		attempts[string(r.Job)]++
	}
	stories := make([]Story, len(results))
	for i, r := range results {
		s := Story{
			Job: string(r.Job), Org: r.Org, Caller: r.Caller, Class: r.Class, Cells: r.Shape.Cells, CellSize: r.Shape.CellSize, Flood: r.Flood,
			At: r.At.Seconds(), Run: r.Actual.Seconds(), Started: -1, Ended: r.Finished.Sub(r.Submitted).Seconds(),
			Succeeded: r.Succeeded, Attempts: attempts[string(r.Job)], Kind: r.Kind,
		}
		if at, ok := starts[r.Job]; ok {
			s.Started = at.Sub(r.Submitted).Seconds()
		}
		stories[i] = s
	}
	return stories
}
