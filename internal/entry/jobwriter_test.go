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

// slowAppends is a fault function that counts the appends to each topic and delays each of
// them.
type slowAppends struct {
	mu    sync.Mutex
	delay time.Duration
	count map[sharedlog.Topic]int
}

func (a *slowAppends) fault(call string, t sharedlog.Topic) error {
	if call != "append" {
		return nil
	}
	a.mu.Lock()
	a.count[t]++
	delay := a.delay
	a.mu.Unlock()
	time.Sleep(delay)
	return nil
}

func (a *slowAppends) total() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, c := range a.count {
		n += c
	}
	return n
}

// startWriter runs the job writer of a host whose other parts do not run.
func startWriter(t *testing.T, log sharedlog.Log, name string) *jobWriter {
	h := newHost(log, &workers{}, name)
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { assert.Check(t, h.writer.run(ctx)) })
	t.Cleanup(func() { cancel(); wait.Wait() })
	return h.writer
}

// A partition processes one append at a time: with many hosts and a slow log, all hosts trying
// the same partition first would queue there.
func TestHostsSpreadTheirSubmissionsOverThePartitions(t *testing.T) {
	log, appends := memlog.New(), &slowAppends{count: map[sharedlog.Topic]int{}}
	log.SetFault(appends.fault)
	for i := range 24 {
		w := startWriter(t, log, fmt.Sprintf("front-zone-%d", i))
		assert.NilError(t, w.write(t.Context(), ledger.CancelRecord(fmt.Sprint(i))))
	}
	for _, topic := range ledger.TopicsJobs {
		assert.Assert(t, appends.count[topic] >= 3, "%v received %d of 24 appends", topic, appends.count[topic])
	}
}

// Every append takes longer than minHedgeDelay. Once the writer has measured that, it stops hedging:
// hedging at a fixed delay would append each record to up to three partitions of a log that is
// already slow.
func TestSlowLogGetsNoHedgedAppends(t *testing.T) {
	log, appends := memlog.New(), &slowAppends{delay: minHedgeDelay + minHedgeDelay/4, count: map[sharedlog.Topic]int{}}
	log.SetFault(appends.fault)
	w := startWriter(t, log, "host")
	for i := range 3 {
		assert.NilError(t, w.write(t.Context(), ledger.CancelRecord(fmt.Sprint(i))))
	}
	time.Sleep(2 * appends.delay) // let the hedged appends end
	before := appends.total()
	for i := range 3 {
		assert.NilError(t, w.write(t.Context(), ledger.CancelRecord(fmt.Sprint("later", i))))
	}
	assert.Equal(t, appends.total(), before+3)
}

func TestHostWithMoreCPUClaimsFirst(t *testing.T) {
	for n := range 50 {
		small, large := newHost(memlog.New(), &workers{}, fmt.Sprintf("small-%d", n)), newHost(memlog.New(), &workers{}, fmt.Sprintf("large-%d", n))
		small.settings.Cores, large.settings.Cores = 0.2, 0.8
		for _, h := range []*Host{small, large} {
			rec, err := ledger.HostRecord("other", ledger.HostEntry{Cores: 0.8})
			assert.NilError(t, err)
			h.applyRecords([]sharedlog.Record{rec})
		}
		assert.Assert(t, large.role.claimDelay()+claimCheckInterval < small.role.claimDelay())
		assert.Assert(t, small.role.claimDelay() < lowCPUDelay+claimSpread)
	}
}

// Where all hosts are alike, none of them waits for a larger one.
func TestSmallHostsClaimAtOnceWhereNoneIsLarger(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	h.settings.Cores = 0.2
	rec, err := ledger.HostRecord("other", ledger.HostEntry{Cores: 0.2})
	assert.NilError(t, err)
	h.applyRecords([]sharedlog.Record{rec})
	assert.Assert(t, h.role.claimDelay() <= claimSpread)
}

// A leader that the log refuses asks the largest hosts of all zones, not any host of its own.
func TestLargestHostsAreAskedToTakeOver(t *testing.T) {
	h := newHost(memlog.New(), &workers{}, "host")
	h.settings.Zone = "a"
	for i, e := range []ledger.HostEntry{{Address: "small-a", Zone: "a", Cores: 0.2}, {Address: "large-b", Zone: "b", Cores: 0.8}, {Address: "small-b", Zone: "b", Cores: 0.2}, {Address: "large-a", Zone: "a", Cores: 0.8}} {
		rec, err := ledger.HostRecord(fmt.Sprintf("host-%d", i), e)
		assert.NilError(t, err)
		h.applyRecords([]sharedlog.Record{rec})
	}
	asked := h.Successors()
	assert.DeepEqual(t, asked, []string{"large-a", "large-b", "small-a", "small-b"})
}
