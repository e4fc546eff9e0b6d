package capacity

import (
	"context"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func point(factor Factor, sizes map[Factor]float64, bytes float64) Point {
	return Point{Factor: factor, Sizes: sizes, Role: "active", Rates: Rates{BytesPerSecond: bytes}}
}

func TestEstimateAddsEachSlopeToTheBase(t *testing.T) {
	base := map[Factor]float64{Workers: 10, Running: 0}
	points := []Point{
		point(Workers, base, 100), point(Workers, map[Factor]float64{Workers: 20, Running: 0}, 200),
		point(Running, base, 100), point(Running, map[Factor]float64{Workers: 10, Running: 10}, 120),
	}
	for _, e := range EstimateCosts(points, base, map[Factor]float64{Workers: 110, Running: 100}) {
		if e.Cost.Name != "traffic" {
			continue
		}
		assert.Assert(t, math.Abs(e.Value-(100+1000+200)) < 1e-6, "estimated traffic is %v bytes/s", e.Value)
		assert.Assert(t, e.Fits())
	}
}

// TestUsageOfThisProcessIsRead also checks that the bytes of reading the counters, which the
// process counts as its own, are not part of the measured traffic.
func TestUsageOfThisProcessIsRead(t *testing.T) {
	u, err := ReadUsage(context.Background(), os.Getpid(), "", "")
	assert.NilError(t, err)
	assert.Assert(t, u.Resident > 1<<20)
	overhead := Overhead(Usage{Bytes: map[string]float64{"a": 1}}, Usage{Bytes: map[string]float64{"a": 3}})
	rates := RatesBetween(Usage{}, Usage{CPU: time.Second, Bytes: map[string]float64{"a": 12}}, overhead, 2*time.Second)
	assert.Equal(t, rates.CPU, 0.5)
	assert.Equal(t, rates.BytesPerSecond, 5.0)
}
