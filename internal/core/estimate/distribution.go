package estimate

import (
	"math"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// ratioUnit is the ratio that a recorded value of one stands for.
	ratioUnit = 1.0 / 1000
	// maxRecorded is the highest recorded value: a ratio of 64.
	maxRecorded = 64_000
	// ratioDigits is the number of significant decimal digits of a recorded ratio.
	ratioDigits = 2
	// windowSize is the number of observations after which the older half of the window is dropped.
	windowSize = 200
	// minTail is the least number of observations that a quantile must have on both of its sides.
	minTail = 4
)

func newSketch() *hdrhistogram.PackedHistogram {
	return hdrhistogram.NewPacked(1, maxRecorded, ratioDigits)
}

// distribution is the distribution of the newest ratios of one kind: between windowSize and twice
// as many of them, in two sketches of which the older is dropped when the newer is full.
type distribution struct {
	newer, older *hdrhistogram.PackedHistogram
	// quantiles caches the results of quantile until the next observation, and curve those for the
	// quantiles i/curveSteps; it is nil until they are asked for.
	quantiles map[float64]float64
	curve     []float64
}

// curveSteps is the number of parts of equal probability by which a curve describes a distribution.
const curveSteps = 50

func newDistribution() *distribution {
	return &distribution{newer: newSketch(), quantiles: map[float64]float64{}}
}

// observe adds a ratio. A ratio out of range counts as the nearest in range.
func (d *distribution) observe(ratio float64) {
	if d.newer.TotalCount() >= windowSize {
		d.older, d.newer = d.newer, newSketch()
	}
	v := int64(math.Round(min(max(ratio/ratioUnit, 1), maxRecorded)))
	if err := d.newer.RecordValue(v); err != nil {
		return // impossible: v is in range
	}
	clear(d.quantiles)
	d.curve = nil
}

func (d *distribution) count() int64 {
	n := d.newer.TotalCount()
	if d.older != nil {
		n += d.older.TotalCount()
	}
	return n
}

// knows reports whether there are enough observations for the quantile q.
func (d *distribution) knows(q float64) bool {
	return float64(d.count())*min(q, 1-q) >= minTail
}

// quantile returns the quantile q of the ratios, with q from 0 to 1. The sketches are merged in
// scratch, which is overwritten.
func (d *distribution) quantile(q float64, scratch *hdrhistogram.Histogram) float64 {
	if x, ok := d.quantiles[q]; ok {
		return x
	}
	d.mergeInto(scratch)
	x := float64(scratch.ValueAtQuantile(100*q)) * ratioUnit
	d.quantiles[q] = x
	return x
}

func (d *distribution) mergeInto(scratch *hdrhistogram.Histogram) {
	scratch.Reset()
	d.newer.MergeInto(scratch)
	if d.older != nil {
		d.older.MergeInto(scratch)
	}
}

// ratios returns the ratios at the quantiles i/curveSteps.
func (d *distribution) ratios(scratch *hdrhistogram.Histogram) []float64 {
	if d.curve == nil {
		d.mergeInto(scratch)
		d.curve = make([]float64, curveSteps+1)
		for i := range d.curve {
			d.curve[i] = float64(scratch.ValueAtQuantile(100*float64(i)/curveSteps)) * ratioUnit
		}
	}
	return d.curve
}

// above returns the share of the ratios of a curve above x, interpolated between its quantiles.
func above(curve []float64, x float64) float64 {
	i, _ := slices.BinarySearch(curve, x)
	switch {
	case i == 0:
		return 1
	case i > curveSteps:
		return 0
	}
	below, next := curve[i-1], curve[i]
	part := 1.0
	if next > below {
		part = (x - below) / (next - below)
	}
	return 1 - (float64(i-1)+part)/curveSteps
}
