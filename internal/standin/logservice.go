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

// LogMode says whether and how the log answers calls.
type LogMode string

// The modes of the log.
const (
	// LogUp answers every call. An empty mode means the same.
	LogUp LogMode = "up"
	// LogRefusing answers every call with status 503, without effect.
	LogRefusing LogMode = "refusing"
	// LogHanging blocks every call until the faults are next set, and then answers it
	// with status 503, without effect.
	LogHanging LogMode = "hanging"
)

// LogFaults are the log's limits and faults. Durations are in nanoseconds.
type LogFaults struct {
	Mode LogMode `json:"mode" yaml:"mode" validate:"omitempty,oneof=up refusing hanging"`
	// Delay is added to every call.
	Delay time.Duration `json:"delay" yaml:"delay" validate:"min=0"`
	// LoseEvery loses the answer to every n-th append, which has taken effect; zero
	// means never.
	LoseEvery int `json:"lose_every" yaml:"lose_every" validate:"min=0"`
	// AppendsPerSecond is the rate above which appends are refused with status 429;
	// zero means unlimited.
	AppendsPerSecond float64 `json:"appends_per_second" yaml:"appends_per_second" validate:"min=0"`
	// KeepRecords and KeepFor limit the number and the age of the records kept of
	// each stream; zero means unlimited.
	KeepRecords int           `json:"keep_records" yaml:"keep_records" validate:"min=0"`
	KeepFor     time.Duration `json:"keep_for" yaml:"keep_for" validate:"min=0"`
}

// LogStatus is the log's faults and its counters since the start: appends that took
// effect, appends refused, and appends whose answer was lost.
type LogStatus struct {
	Faults  LogFaults `json:"faults"`
	Appends int       `json:"appends"`
	Refused int       `json:"refused"`
	Lost    int       `json:"lost"`
}

// logService is the log with its faults. changed is closed, and replaced, whenever the
// faults are set.
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
	l.setFaults(f)
	return l
}

func (l *logService) setFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.limiter = nil
	if f.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(f.AppendsPerSecond), int(f.AppendsPerSecond)+1)
	}
	l.store.setRetention(f.KeepRecords, f.KeepFor)
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *logService) currentStatus() LogStatus {
	l.mu.Lock()
	defer l.mu.Unlock()
	status := l.status
	status.Faults = l.faults
	return status
}

// applyFaults delays or blocks a call according to the faults. It returns 200, or the
// status code with which the call is refused.
func (l *logService) applyFaults(ctx context.Context) int {
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

// append appends records to a stream unless the faults or the rate limit refuse the call.
// It returns the offset of the first record, the status code, and whether the answer is to
// be lost.
func (l *logService) append(ctx context.Context, name platform.Stream, records [][]byte) (first platform.Offset, code int, lost bool) {
	code = l.applyFaults(ctx)
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

// read returns at most limit records from an offset on; if there are none yet, it waits up to
// wait for the next append. It fails with errkind.LogUnavailable if the log refuses the call, with
// platform.TrimmedError if the offset is trimmed, and with the context's error and an empty page
// if ctx ends or the faults are set during the wait.
func (l *logService) read(ctx context.Context, name platform.Stream, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if code := l.applyFaults(ctx); code != http.StatusOK {
		return platform.Page{}, errkind.New(errkind.LogUnavailable, "the log is unavailable")
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
