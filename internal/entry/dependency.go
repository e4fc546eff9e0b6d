package entry

import (
	"context"

	"github.com/go-logr/logr"

	"agatewinch/internal/event"
)

// dependency is something that is asked again and again; it is said once that it does not
// answer, and once that it does again.
type dependency struct {
	topic string
	lost  bool
}

// answered takes in the error of a call and reports whether there was none.
func (p *dependency) answered(ctx context.Context, out logr.Logger, err error) bool {
	switch {
	case err != nil && !p.lost && ctx.Err() == nil:
		p.lost = true
		event.Error(out, err, event.LogLost, "topic", p.topic)
	case err == nil && p.lost:
		p.lost = false
		event.Info(out, event.LogRegained, "topic", p.topic)
	}
	return err == nil
}
