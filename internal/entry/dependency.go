package entry

import (
	"context"

	"github.com/go-logr/logr"

	"agatewinch/internal/event"
)

// dependency tracks whether a polled service answers. It logs one line when the service stops
// answering and one when it answers again.
type dependency struct {
	// topic names the service in log lines.
	topic string
	lost  bool
}

// observe records the result of a call and reports whether the call succeeded.
func (d *dependency) observe(ctx context.Context, logger logr.Logger, err error) bool {
	switch {
	case err != nil && !d.lost && ctx.Err() == nil:
		d.lost = true
		event.Error(logger, err, event.LogLost, "topic", d.topic)
	case err == nil && d.lost:
		d.lost = false
		event.Info(logger, event.LogRegained, "topic", d.topic)
	}
	return err == nil
}
