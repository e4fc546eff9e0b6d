package entry

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core/dispatch"
	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// fleet is a fake with one machine, whose upkeep takes no time. failures is the number of calls of
// Machines and Finished that are still to return an error.
type fleet struct {
	mu       sync.Mutex
	failures int
	upkeeps  int
	reports  []dispatch.WaveReport
	finished map[int64]bool
}

var errNoAnswer = errors.New("no answer")

func (f *fleet) failing() bool {
	f.failures--
	return f.failures >= 0
}

func (f *fleet) Machines(context.Context) ([]dispatch.Machine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing() {
		return nil, errNoAnswer
	}
	return []dispatch.Machine{{ID: "m0", Worker: "w0", Up: true}}, nil
}

func (f *fleet) Upkeep(context.Context, dispatch.Upkeep, int64) dispatch.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upkeeps++
	return dispatch.Accepted
}

func (f *fleet) Report(_ context.Context, r dispatch.WaveReport) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, r)
	return nil
}

func (f *fleet) Finished(context.Context) (map[int64]bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failing() {
		return nil, errNoAnswer
	}
	return f.finished, nil
}

func (f *fleet) done() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reports) > 0 && f.reports[len(f.reports)-1].Done
}

func runWithFleet(t *testing.T, f *fleet) *Host {
	t.Helper()
	return runOnLogWithFleet(t, memlog.New(), f)
}

func runOnLogWithFleet(t *testing.T, log sharedlog.Log, f *fleet) *Host {
	t.Helper()
	hosts, _ := runWith(t, 1, func(w *workers, name string) *Host {
		h := newHost(log, w, name)
		h.fleet = f
		return h
	})
	return hosts[0]
}

func TestWaveIsCarriedOutByTheLeaderAndReported(t *testing.T) {
	f := &fleet{failures: 3}
	h := runWithFleet(t, f)
	h.AddWave(1, []string{"m0"}, 10*time.Second, 1)
	h.AddWave(1, []string{"m0"}, 10*time.Second, 1) // read again, as after records of the source were trimmed
	eventually(t, f.done)
	assert.Equal(t, f.upkeeps, 1)
	assert.DeepEqual(t, f.reports, []dispatch.WaveReport{{Wave: 1}, {Wave: 1, Done: true}})
}

// Guards against upkeeps that a new leader orders as if the wave had just begun.
func TestWaveGoesOnFromItsRecordedProgress(t *testing.T) {
	f := &fleet{}
	rec, err := ledger.WaveRecord(1, ledger.Wave{Done: []string{"m0"}})
	assert.NilError(t, err)
	log := memlog.New()
	_, err = log.Append(t.Context(), ledger.TopicState, []sharedlog.Record{rec}, sharedlog.AppendOptions{})
	assert.NilError(t, err)
	h := runOnLogWithFleet(t, log, f)
	h.AddWave(1, []string{"m0"}, 10*time.Second, 1)
	eventually(t, f.done)
	assert.Equal(t, f.upkeeps, 0)
	eventually(t, func() bool { return len(h.ledger.Wave(1).Done) == 0 }) // the record of a finished wave is dropped
}

func TestWaveThatAFormerLeaderFinishedIsNotRepeated(t *testing.T) {
	f := &fleet{finished: map[int64]bool{1: true}}
	h := runWithFleet(t, f)
	h.AddWave(1, []string{"m0"}, 10*time.Second, 1)
	h.AddWave(2, []string{"m0"}, 10*time.Second, 1)
	eventually(t, f.done)
	for _, r := range f.reports {
		assert.Equal(t, r.Wave, int64(2))
	}
}
