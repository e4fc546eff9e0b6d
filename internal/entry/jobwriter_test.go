package entry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/ledger"
	"agatewinch/internal/sharedlog"
	"agatewinch/internal/sharedlog/memlog"
)

// appends counts the appends to each partition of jobs, each of which takes a time.
type appends struct {
	mu    sync.Mutex
	took  time.Duration
	count map[sharedlog.Topic]int
}

func (a *appends) fault(call string, t sharedlog.Topic) error {
	if call != "append" {
		return nil
	}
	a.mu.Lock()
	a.count[t]++
	took := a.took
	a.mu.Unlock()
	time.Sleep(took)
	return nil
}

func (a *appends) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.count {
		n += c
	}
	return n
}

// startWriter runs the writer of a host that does nothing else.
func startWriter(t *testing.T, log sharedlog.Log, name string) *jobWriter {
	h := newHost(log, &workers{}, name)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { assert.Check(t, h.writer.run(ctx)) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return h.writer
}

// The load: many hosts and a slow log. A partition takes one append after the other.
func TestHostsSpreadTheirSubmissionsOverThePartitions(t *testing.T) {
	log, seen := memlog.New(), &appends{count: map[sharedlog.Topic]int{}}
	log.SetFault(seen.fault)
	for i := range 24 {
		w := startWriter(t, log, fmt.Sprintf("front-zone-%d", i))
		assert.NilError(t, w.write(t.Context(), ledger.CancelRecord(fmt.Sprint(i))))
	}
	for _, topic := range ledger.TopicsJobs {
		assert.Assert(t, seen.count[topic] >= 3, "%v took %d of 24", topic, seen.count[topic])
	}
}

// The load: a log on which every append takes longer than the least time before another
// partition is tried. Once that is known, a record is not written three times.
func TestSlowLogIsNotAskedToDoMore(t *testing.T) {
	log, seen := memlog.New(), &appends{took: hedgeAfter + hedgeAfter/4, count: map[sharedlog.Topic]int{}}
	log.SetFault(seen.fault)
	w := startWriter(t, log, "host")
	for i := range 3 {
		assert.NilError(t, w.write(t.Context(), ledger.CancelRecord(fmt.Sprint(i))))
	}
	time.Sleep(2 * seen.took) // what was tried besides has ended
	before := seen.total()
	for i := range 3 {
		assert.NilError(t, w.write(t.Context(), ledger.CancelRecord(fmt.Sprint("later", i))))
	}
	assert.Equal(t, seen.total(), before+3)
}

func TestHostWithMoreProcessorsClaimsFirst(t *testing.T) {
	small, large := newHost(memlog.New(), &workers{}, "host"), newHost(memlog.New(), &workers{}, "host")
	small.set.Cores, large.set.Cores = 0.2, 0.8
	assert.Assert(t, large.role.rank() < small.role.rank())
	assert.Assert(t, small.role.rank() < smallDelay+rankSpread)
}
