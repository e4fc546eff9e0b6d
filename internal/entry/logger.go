package entry

import (
	"io"
	"sync/atomic"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"agatewinch/internal/event"
)

// maxLines bounds the lines that wait to be written; more are dropped and counted.
const maxLines = 4096

// linesPerSecond and lineBurst bound the lines of a process. A takeover writes some
// hundred at once; the heaviest days write about a hundred a second.
const (
	linesPerSecond = 1000
	lineBurst      = 4000
)

// writeBytes is how much is written at a time.
const writeBytes = 32 << 10

// lineWriter hands lines to a goroutine, so that a slow reader never blocks a decision.
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

func newLineWriter(waiting, burst int) *lineWriter {
	return &lineWriter{lines: make(chan []byte, waiting), limit: rate.NewLimiter(linesPerSecond, burst), done: make(chan struct{})}
}

// NewLogger returns a logger that never blocks, and a function that writes what is left.
func NewLogger(out io.Writer) (logr.Logger, func()) {
	w := newLineWriter(maxLines, lineBurst)
	logger := event.NewLogger(w, event.FormatJSON)
	go w.run(out, logger)
	return logger, func() {
		w.lines <- nil // the last line; later ones are not written
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
		for more := true; more && len(buf) < writeBytes; {
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
		_, _ = out.Write(buf) // there is nowhere left to say so
		if last {
			return
		}
	}
}
