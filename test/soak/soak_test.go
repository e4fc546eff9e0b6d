package soak

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"

	"agatewinch/test/harness"
	"agatewinch/test/knownred"
)

var (
	firstSeed = flag.Uint64("seed", 0, "the first seed to run; 0 runs the seeds kept for CI")
	seedCount = flag.Uint64("seeds", 1, "number of consecutive seeds to run, starting with -seed")
)

// keptSeeds are the seeds that CI runs: an ordinary one, then seeds that once failed.
var keptSeeds = []uint64{1, 2}

func TestMain(m *testing.M) {
	code := m.Run()
	harness.RemoveBinaries()
	os.Exit(code)
}

// TestGuaranteesHoldDuringFaults runs callers while faults are injected, and checks that no
// accepted job is lost, that refused jobs don't run and that the workers see no violation.
func TestGuaranteesHoldDuringFaults(t *testing.T) {
	knownred.SkipIfListed(t)
	seeds := keptSeeds
	if *firstSeed > 0 {
		seeds = nil
		for n := range *seedCount {
			seeds = append(seeds, *firstSeed+n)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	s := newSoak(t, seed)
	ctx, cancel := context.WithTimeout(context.Background(), faultTime+settleTime)
	defer cancel()
	submitting, stop := context.WithTimeout(ctx, faultTime)
	defer stop()
	faultsDone := make(chan struct{})
	go func() {
		defer close(faultsDone)
		s.injectFaults(submitting)
	}()
	all := s.runCallers(ctx, submitting)
	<-faultsDone
	ended := 0
	for _, c := range all {
		c.check()
		if c.end != "" {
			ended++
		}
	}
	for _, violation := range s.audit.Violations() {
		t.Error(violation)
	}
	t.Logf("seed %d: %d jobs, %d ended, %d faults and other notes", seed, len(all), ended, len(s.notes))
}
