package bench

import (
	"agatewinch/internal/audit"
	"agatewinch/internal/errkind"
	"agatewinch/internal/standin"
)

// JobTrace records what happened to one job, to explain the figures of a Line. Times are in
// seconds: At counts from the start of the workload, Started and Ended count from the first
// submission. Run is the run time.
type JobTrace struct {
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

// JobTraces returns a JobTrace for each result, with the starts and attempts from the ledger.
// Started is negative if the job did not start.
func JobTraces(results []Result, ledger []standin.Entry) []JobTrace {
	runs := audit.Runs(ledger)
	starts := firstStarts(runs)
	attempts := map[string]int{}
	for _, r := range runs {
		attempts[string(r.Job)]++
	}
	traces := make([]JobTrace, len(results))
	for i, r := range results {
		jt := JobTrace{
			Job: string(r.Job), Org: r.Org, Caller: r.Caller, Class: r.Class, Cells: r.Shape.Cells, CellSize: r.Shape.CellSize, Flood: r.Flood,
			At: r.At.Seconds(), Run: r.Actual.Seconds(), Started: -1, Ended: r.Finished.Sub(r.Submitted).Seconds(),
			Succeeded: r.Succeeded, Attempts: attempts[string(r.Job)], Kind: r.Kind,
		}
		if at, ok := starts[r.Job]; ok {
			jt.Started = at.Sub(r.Submitted).Seconds()
		}
		traces[i] = jt
	}
	return traces
}
