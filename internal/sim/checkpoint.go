package sim

import (
	"strconv"
	"time"
)

// checkpointInterval is how often a run with checkpoints saves its progress. It saves it when it is
// stopped, too.
const checkpointInterval = 500 * time.Millisecond

// progress returns the part of the task's work that is done, from 0 to 1.
func (e *execution) progress(now time.Duration) float64 {
	if e.runTime == 0 {
		return max(e.saved, e.share)
	}
	return min(1, e.share+float64(max(0, now-e.at))/float64(e.runTime))
}

// checkpoint returns the newest checkpoint that the run has saved, as the part of the work that is
// done, or the empty string.
func (e *execution) checkpoint(now time.Duration) string {
	if !e.checkpoints || e.runTime == 0 {
		return encodeCheckpoint(e.saved)
	}
	intervals := (now - e.startedAt) / checkpointInterval
	return encodeCheckpoint(e.progress(e.startedAt + intervals*checkpointInterval))
}

// lastCheckpoint returns the checkpoint that a run saves when it is stopped.
func (e *execution) lastCheckpoint(now time.Duration) string {
	if !e.checkpoints {
		return ""
	}
	return encodeCheckpoint(e.progress(now))
}

func encodeCheckpoint(done float64) string {
	if done == 0 {
		return ""
	}
	return strconv.FormatFloat(done, 'g', -1, 64)
}

// decodeCheckpoint returns the part of the work that a checkpoint has saved; none for the empty string.
func decodeCheckpoint(checkpoint string) float64 {
	done, err := strconv.ParseFloat(checkpoint, 64)
	if err != nil {
		return 0
	}
	return done
}
