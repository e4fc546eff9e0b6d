package core

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// failure is the panic value with which failureReporter ends a run.
type failure string

// failureReporter makes a failed check panic, so that firstFailure can return it.
type failureReporter struct{}

func (failureReporter) Fatalf(format string, args ...any) {
	panic(failure(fmt.Sprintf(format, args...)))
}

// randomRun drives a core with random events and reports failed checks to report.
type randomRun func(rt *rapid.T, report reporter, m mutation)

// firstFailure returns the first failed check of a run with this seed; it is empty
// when all hold.
func firstFailure(r randomRun, m mutation, seed int) string {
	return rapid.Custom(func(rt *rapid.T) (failed string) {
		defer func() {
			if p := recover(); p != nil {
				f, ok := p.(failure)
				if !ok {
					panic(p)
				}
				failed = string(f)
			}
		}()
		r(rt, failureReporter{}, m)
		return ""
	}).Example(seed)
}

// TestMutationsAreCaught disables one mechanism at a time: the check that guards it must fail
// within a bounded number of runs.
func TestMutationsAreCaught(t *testing.T) {
	const seeds = 3000
	cases := []struct {
		name     string
		mutation mutation
		run      randomRun
		property string
	}{
		{"reclaim rule", mutationNoReclaim, runReclaimAll, "guarantee missed"},
		{"protection of reclaimable cells", mutationNoProtection, runRandom, "guarantee:"},
		{"attempt check", mutationNoAttemptCheck, runRandom, "two holders"},
		{"reserve step", mutationNoReserve, runRandom, "partial gang"},
		{"confirmation of a stop", mutationNoStopConfirmation, runRandom, "two holders"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			seen := map[string]int{}
			for seed := range seeds {
				failed := firstFailure(c.run, c.mutation, seed)
				if strings.HasPrefix(failed, c.property) {
					t.Logf("seed %d: %s", seed, failed)
					return
				}
				kind, _, _ := strings.Cut(failed, ":")
				seen[kind]++
			}
			t.Fatalf("no check failed with %q in %d runs; other failures by kind: %v", c.property, seeds, seen)
		})
	}
}
