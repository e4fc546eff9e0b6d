package journal

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/fakelog"
)

const (
	liveJobs  = 10_000
	endedJobs = 100_000
)

// history returns a log with live jobs, then ended ones whose outcomes have expired if
// expire is set, and the snapshots that become due in between.
func history(b *testing.B, endedCount int, expire bool) *fakelog.Log {
	b.Helper()
	log, state := fakelog.New(), NewState()
	var covers platform.Offset
	put := func(r Record) {
		r.Zone, r.Holder, r.Term = zoneA, "w", 1
		data, err := r.Encode()
		assert.NilError(b, err)
		at, _ := log.Append(b.Context(), platform.StreamJobs, [][]byte{data})
		state.Apply(at, r)
	}
	snapshotIfDue := func() {
		if !tailTooLong(state, covers) {
			return
		}
		if expire {
			put(Record{Expired: &Expired{Before: state.next}})
		}
		covers = state.next
		for _, p := range state.Parts(fmt.Sprint("s", covers)) {
			put(Record{Snapshot: &p})
		}
	}
	for n := range liveJobs {
		put(Record{ID: fmt.Sprint("l", n), Admitted: &Admitted{Job: core.Job{ID: core.JobID(fmt.Sprint("live", n)), Payload: make([]byte, 128)}}})
		snapshotIfDue()
	}
	for n := range endedCount {
		id := core.JobID(fmt.Sprint("ended", n))
		put(Record{ID: fmt.Sprint("a", n), Admitted: &Admitted{Job: core.Job{ID: id, Payload: make([]byte, 128)}}})
		put(Record{ID: fmt.Sprint("e", n), Ended: &Ended{Job: id, Outcome: core.Outcome{State: core.Succeeded}}})
		snapshotIfDue()
	}
	return log
}

// BenchmarkRecovery measures the time to bootstrap 10,000 live jobs: alone, with 100,000
// ended jobs whose outcomes have expired, and with as many whose outcomes are all kept.
func BenchmarkRecovery(b *testing.B) {
	for _, c := range []struct {
		name   string
		ended  int
		expire bool
	}{{"live=10000", 0, true}, {"live=10000/ended=100000/expired", endedJobs, true}, {"live=10000/ended=100000/kept", endedJobs, false}} {
		b.Run(c.name, func(b *testing.B) {
			log := history(b, c.ended, c.expire)
			read := 0
			for b.Loop() {
				got, err := Bootstrap(b.Context(), log)
				assert.NilError(b, err)
				assert.Equal(b, got.State.live, liveJobs)
				read = got.Read
			}
			b.ReportMetric(float64(read), "records_read")
		})
	}
}

// BenchmarkBatchSize measures appends and records per second for several batch sizes, with
// 512 writers on a log with a delay of 3 ms for each append.
func BenchmarkBatchSize(b *testing.B) {
	const writers, appendDelay = 512, 3 * time.Millisecond
	for _, size := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("batch=%d", size), func(b *testing.B) {
			log := fakelog.New()
			log.SetDelay(appendDelay)
			j := New(Options{Writer: "w", Zone: zoneA, Linger: DefaultLinger, BatchRecords: size, SnapshotInterval: time.Hour}, logr.Discard(), log)
			ctx, cancel := context.WithCancel(b.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = j.Run(ctx) })
			records := make(chan int)
			var wg sync.WaitGroup
			for range writers {
				wg.Go(func() {
					for n := range records {
						_, err := j.Write(ctx, 1, admission(core.JobID(fmt.Sprint(n))))
						assert.Check(b, err)
					}
				})
			}
			began, n := time.Now(), 0
			for b.Loop() {
				records <- n
				n++
			}
			close(records)
			wg.Wait()
			took := time.Since(began).Seconds()
			b.ReportMetric(float64(n)/took, "records/s")
			b.ReportMetric(float64(log.Appends())/took, "appends/s")
			cancel()
			running.Wait()
		})
	}
}
