package entry

import (
	"context"

	"github.com/go-logr/logr"

	"agatewinch/internal/event"
)

// dependency tracks whether a service that is polled answers. It logs once when the service
// stops answering and once when it answers again.
type dependency struct {
	topic string
	lost  bool
}

// observe records the result of a call and reports whether the call succeeded.
func (d *dependency) observe(ctx context.Context, out logr.Logger, err error) bool {
	switch {
	case err != nil && !d.lost && ctx.Err() == nil:
		d.lost = true
		event.Error(out, err, event.LogLost, "topic", d.topic)
	case err == nil && d.lost:
		d.lost = false
		event.Info(out, event.LogRegained, "topic", d.topic)
	}
	return err == nil
}
