// Package estimate learns from what is observed how long tasks run and how fast machines are.
//
// A Model knows, for each kind of task, the distribution of the ratio of the run time to the
// declared one and, for each machine, by which factor it slows tasks down. A Ratio is the same
// knowledge in a few bytes: the smoothed mean and mean deviation of one ratio.
//
// The package has no I/O and no clock. Times are passed in, as monotonic times since any fixed
// moment. With the same calls in the same order a model gives the same results.
package estimate
