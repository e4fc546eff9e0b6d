package metrics

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/errkind"
)

func TestQuantilesAreWithinTheHistogramsPrecision(t *testing.T) {
	r := New(SourceGate)
	for i := 1; i <= 1000; i++ {
		r.Observe("haneul", "check", Start, time.Duration(i)*time.Millisecond)
	}
	rows := r.Snapshot().Series
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].All.Count, int64(1000))
	for want, got := range map[float64]float64{0.5: rows[0].All.P50, 0.95: rows[0].All.P95, 0.99: rows[0].All.P99} {
		assert.Assert(t, got >= want*0.99 && got <= want*1.02, "want about %v, got %v", want, got)
	}
}

func TestRecentValuesExpireAndTotalsStay(t *testing.T) {
	now := time.Unix(0, 0)
	r := newAt(SourceGate, func() time.Time { return now })
	r.Observe("a", "c", Wait, time.Second)
	now = now.Add(recentWindow)
	assert.Equal(t, r.Snapshot().Series[0].Recent.Count, int64(1))
	now = now.Add(recentWindow)
	row := r.Snapshot().Series[0]
	assert.Equal(t, row.Recent.Count, int64(0))
	assert.Equal(t, row.All.Count, int64(1))
}

func TestNumberOfSeriesIsBounded(t *testing.T) {
	r := New(SourceGate)
	for i := range 10 * MaxPairs {
		r.Observe(fmt.Sprint("org", i), "c", Wait, time.Second)
	}
	rows := r.Snapshot().Series
	assert.Equal(t, len(rows), MaxPairs+1)
	assert.Equal(t, rows[0].Organisation, Other)
	assert.Equal(t, rows[0].All.Count, int64(9*MaxPairs))
}

func TestTimesOutOfRangeAreCounted(t *testing.T) {
	r := New(SourceGate)
	r.Observe("a", "c", Completion, -time.Second)
	r.Observe("a", "c", Completion, 1000*24*time.Hour)
	assert.Equal(t, r.Snapshot().Series[0].All.Count, int64(2))
}

func TestErrorsAreCountedByKind(t *testing.T) {
	r := New(SourceGate)
	r.Error(errkind.QueueFull)
	r.Error(errkind.QueueFull)
	assert.Equal(t, r.Snapshot().Errors[errkind.QueueFull], uint64(2))
}
