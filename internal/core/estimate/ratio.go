package estimate

import (
	"math"
	"time"
)

const (
	// ratioGain is the minimum weight of a new observation; the nth observation has 1/n if that
	// is more.
	ratioGain = 0.1
	// RatioRange bounds the base-2 logarithm of a learned ratio in both directions.
	RatioRange = 5.0
)

// Ratio is the learned ratio of actual to declared run time, kept as the smoothed mean and mean
// deviation of its base-2 logarithm, like the round-trip time estimate of TCP (Jacobson, SIGCOMM
// 1988). The zero value has no observations.
type Ratio struct {
	observations int
	mean         float64
	dev          float64
}

// Observe adds a run that took the given time.
func (r *Ratio) Observe(declared, ran time.Duration) {
	x := boundedLog2(float64(ran) / float64(declared))
	r.observations++
	gain := max(ratioGain, 1/float64(r.observations))
	r.dev += gain * (math.Abs(x-r.mean) - r.dev)
	r.mean += gain * (x - r.mean)
}

// Known reports whether there is any observation.
func (r *Ratio) Known() bool { return r.observations > 0 }

// Likely returns the likely run time for a declared one.
func (r *Ratio) Likely(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * math.Exp2(r.mean))
}

// Upper returns a run time two mean deviations above the likely one on the logarithmic scale.
func (r *Ratio) Upper(declared time.Duration) time.Duration {
	return time.Duration(float64(declared) * math.Exp2(min(r.mean+2*r.dev, RatioRange)))
}

// boundedLog2 returns the base-2 logarithm of x within RatioRange. A ratio that is not positive
// counts as the lowest.
func boundedLog2(x float64) float64 {
	if !(x > 0) {
		return -RatioRange
	}
	return min(max(math.Log2(x), -RatioRange), RatioRange)
}
