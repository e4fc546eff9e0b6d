package intake

import (
	"sync/atomic"
	"time"
)

// progress is the time up to which a client has kept pace. It is reset when the client begins to send, and
// each byte that it sends moves it on, at most to the present.
type progress struct{ nanoseconds atomic.Int64 }

func (p *progress) reset() { p.nanoseconds.Store(time.Now().UnixNano()) }

// add records that the client has sent n bytes. Only one goroutine may call it at a time.
func (p *progress) add(n int) {
	kept := p.at() + int64(n)*int64(time.Second)/pace
	p.nanoseconds.Store(min(kept, time.Now().UnixNano()))
}

// at returns the time in Unix nanoseconds.
func (p *progress) at() int64 { return p.nanoseconds.Load() }
