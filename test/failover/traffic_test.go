package failover

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/test/harness"
)

// counters are the traffic metrics of a scheduler that the benchmark reads, in bytes by purpose
// of the connection.
type counters struct {
	Sent     map[string]int64 `json:"bytes_sent"`
	Received map[string]int64 `json:"bytes_received"`
}

func (c counters) total(purpose string) int64 { return c.Sent[purpose] + c.Received[purpose] }

func readCounters(b *testing.B, addr string) counters {
	b.Helper()
	resp, err := http.Get("http://" + addr + "/debug/vars")
	assert.NilError(b, err)
	defer func() { _ = resp.Body.Close() }()
	var out counters
	assert.NilError(b, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// BenchmarkIdleTraffic reports the bytes per second, in both directions, that the active
// scheduler of a zone with 12 workers and two hosts exchanges with workers, platform and
// peers while no job is submitted, with the default lease TTL.
func BenchmarkIdleTraffic(b *testing.B) {
	const lease, measureTime = 6 * time.Second, 12 * time.Second
	opts := harness.Options{Zones: []string{zone}, HostsPerZone: 2, WorkersPerZone: 12, LeaseTTL: lease, ReserveTTL: 2 * time.Second}
	c := harness.Start(b, opts)
	active := c.Active(b.Context(), zone)
	assert.Assert(b, active != nil)
	for b.Loop() {
		before := readCounters(b, active.SchedulerAddr)
		time.Sleep(measureTime)
		after := readCounters(b, active.SchedulerAddr)
		for _, purpose := range []string{"workers", "platform", "peers"} {
			b.ReportMetric(float64(after.total(purpose)-before.total(purpose))/measureTime.Seconds(), "B/s_"+purpose)
		}
	}
}
