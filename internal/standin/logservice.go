package standin

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"agatewinch/internal/errkind"
	"agatewinch/internal/platform"
)

// LogMode is whether the log answers.
type LogMode string

// The modes of the log.
const (
	// LogUp answers; it is also the meaning of an empty mode.
	LogUp LogMode = "up"
	// LogRefusing answers 503 to everything; nothing takes effect.
	LogRefusing LogMode = "refusing"
	// LogHanging holds every call until the mode changes; a held call takes no effect.
	LogHanging LogMode = "hanging"
)

// LogFaults are the log's limits and faults. Durations are in nanoseconds.
type LogFaults struct {
	Mode LogMode `json:"mode" yaml:"mode" validate:"omitempty,oneof=up refusing hanging"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay" yaml:"delay" validate:"min=0"`
	// LoseEvery loses the answer of every n-th append after it took effect.
	LoseEvery int `json:"lose_every" yaml:"lose_every" validate:"min=0"`
	// AppendsPerSecond is the rate above which appends are refused with 429; zero
	// means without a bound.
	AppendsPerSecond float64 `json:"appends_per_second" yaml:"appends_per_second" validate:"min=0"`
	// KeepRecords and KeepFor bound each stream; zero means without a bound.
	KeepRecords int           `json:"keep_records" yaml:"keep_records" validate:"min=0"`
	KeepFor     time.Duration `json:"keep_for" yaml:"keep_for" validate:"min=0"`
}

// LogStatus is what the log counted since the start.
type LogStatus struct {
	Faults  LogFaults `json:"faults"`
	Appends int       `json:"appends"`
	Refused int       `json:"refused"`
	Lost    int       `json:"lost"`
}

// logService is the log with its faults.
type logService struct {
	store *logStore

	mu      sync.Mutex
	faults  LogFaults
	limiter *rate.Limiter
	changed chan struct{}
	status  LogStatus
}

func newLogService(f LogFaults) *logService {
	l := &logService{store: newLogStore(), changed: make(chan struct{})}
	l.set(f)
	return l
}

func (l *logService) set(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.limiter = nil
	if f.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(f.AppendsPerSecond), int(f.AppendsPerSecond)+1)
	}
	l.store.retain(f.KeepRecords, f.KeepFor)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *logService) get() LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.status
	status.Faults = l.faults
	return status
}

// admit waits out delays and outages. It returns the status code of a refusal, or 200.
func (l *logService) admit(ctx context.Context) int {
	l.mu.Lock()
	f, changed := l.faults, l.changed
	l.mu.Unlock()
	if f.Mode == LogHanging {
		select {
		case <-changed:
		case <-ctx.Done():
		}
		return http.StatusServiceUnavailable
	}
	if f.Mode == LogRefusing {
		return http.StatusServiceUnavailable
	}
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return http.StatusServiceUnavailable
		}
	}
	return http.StatusOK
}

// append returns the status code, and whether the answer is to be lost.
func (l *logService) append(ctx context.Context, name platform.Stream, records [][]byte) (first platform.Offset, code int, lost bool) {
	code = l.admit(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	if code == http.StatusOK && l.limiter != nil && !l.limiter.Allow() {
		code = http.StatusTooManyRequests
	}
	if code != http.StatusOK {
		l.status.Refused++
		return 0, code, false
	}
	l.status.Appends++
	lost = l.faults.LoseEvery > 0 && l.status.Appends%l.faults.LoseEvery == 0
	if lost {
		l.status.Lost++
	}
	return l.store.append(name, records), code, lost
}

// read returns the records, or the status code of a refusal in err.
func (l *logService) read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if code := l.admit(ctx); code != http.StatusOK {
		return platform.Page{}, errkind.New(errkind.LogUnavailable, "the log is out")
	}
	l.mu.Lock()
	changed := l.changed
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return l.store.read(ctx, name, from, limit, wait)
}
