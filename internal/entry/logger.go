package entry

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"agatewinch/internal/event"
)

// maxQueuedLines bounds the lines that wait to be written; further lines are dropped and
// counted.
const maxQueuedLines = 4096

// linesPerSecond and lineBurst limit the log lines of a process. A takeover logs several hundred
// lines at once; the heaviest load produces about a hundred a second.
const (
	linesPerSecond = 1000
	lineBurst      = 4000
)

// batchBytes is the size from which no more lines are added to one write.
const batchBytes = 32 << 10

// lineWriter queues lines for a writing goroutine, so that slow output never blocks the
// scheduler.
type lineWriter struct {
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

// Write implements io.Writer; each call is one line.
func (w *lineWriter) Write(p []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(p), nil
	}
	line := make([]byte, len(p))
	copy(line, p)
	select {
	case w.lines <- line:
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

func newLineWriter(queueSize, burst int) *lineWriter {
	return &lineWriter{lines: make(chan []byte, queueSize), limit: rate.NewLimiter(linesPerSecond, burst), done: make(chan struct{})}
}

// NewLogger returns a logger that never blocks, and a function that writes the queued lines
// and stops the writing goroutine.
func NewLogger(out io.Writer) (logr.Logger, func()) {
	w := newLineWriter(maxQueuedLines, lineBurst)
	logger := event.NewLogger(w, event.FormatJSON)
	go w.run(out, logger)
	return logger, func() {
		w.lines <- nil // end marker; lines queued after it are not written
		<-w.done
	}
}

func (w *lineWriter) run(out io.Writer, logger logr.Logger) {
	defer close(w.done)
	var buf []byte
	for line := range w.lines {
		if line == nil {
			return
		}
		buf = append(buf[:0], line...)
		last := false
		for more := true; more && len(buf) < batchBytes; {
			select {
			case l := <-w.lines:
				last = l == nil
				more = !last
				buf = append(buf, l...)
			default:
				more = false
			}
		}
		if n := w.dropped.Swap(0); n > 0 {
			event.Info(logger, event.LinesDropped, "lines", n)
		}
		_, _ = out.Write(buf) // a failed write of the log cannot be logged
		if last {
			return
		}
	}
}
