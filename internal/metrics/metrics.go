// Package metrics keeps histograms of durations for each organisation and class, and counts
// errors by kind. A Registry is published through expvar.
package metrics

import (
	"cmp"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatewinch/internal/errkind"
)

// Measure names a duration that is recorded for each organisation and class.
type Measure string

// The measures.
const (
	// Wait is the time from admission until a scheduler sends the first start order for the
	// job. Start orders are sent only once all tasks of the job are reserved, so a placement
	// whose reservations fail does not end the wait.
	Wait Measure = "wait"
	// Start is the time from admission until all tasks run or, at an entry host, until the
	// first start order for the job.
	Start Measure = "start"
	// Completion is the time from admission, or from the caller's request at a gate, to the
	// job's end.
	Completion Measure = "completion"
)

const (
	lowestMillis      = 1
	highestMillis     = int64(7 * 24 * time.Hour / time.Millisecond)
	significantDigits = 2
	// recentWindow is the length of one window. The values of the last recentWindows
	// windows count as recent; the current window is not complete, so that recent values
	// cover between one and two windows.
	recentWindow  = time.Minute
	recentWindows = 2
	// MaxPairs is the maximum number of pairs of organisation and class; further pairs are
	// recorded under Other.
	MaxPairs = 64
)

// The kinds of process that record times.
const (
	SourceGate      = "gate"
	SourceScheduler = "scheduler"
	SourceEntry     = "entry"
)

// Other stands for the organisations and classes of pairs beyond MaxPairs.
const Other = "(other)"

// Registry holds the metrics of one process.
type Registry struct {
	source string
	now    func() time.Time

	mu     sync.Mutex
	series map[seriesKey]*series
	errors map[errkind.Kind]uint64
	pairs  map[orgClass]bool
	// lost is the lost work by cause, and interruptions the number of tasks by how many of their
	// runs were interrupted.
	lost          map[string]LostWork
	interruptions map[int]uint64
	lastRotation  time.Time
	// guaranteeShortfall is what SetGuaranteeShortfall has set.
	guaranteeShortfall int64
}

type orgClass struct{ org, class string }

type seriesKey struct {
	orgClass
	measure Measure
}

type series struct {
	all    *hdrhistogram.Histogram
	recent *hdrhistogram.WindowedHistogram
}

// New returns an empty registry for a process of kind source.
func New(source string) *Registry { return newAt(source, time.Now) }

func newAt(source string, now func() time.Time) *Registry {
	return &Registry{source: source, now: now, series: map[seriesKey]*series{}, errors: map[errkind.Kind]uint64{}, pairs: map[orgClass]bool{}, lost: map[string]LostWork{}, interruptions: map[int]uint64{}, lastRotation: now()}
}

// Publish publishes the registry's snapshot through expvar under the given name. A name may
// be published only once in a process.
func (r *Registry) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return r.Snapshot() }))
}

// Observe adds one duration to a histogram. A duration out of range is recorded as the
// nearest value in range.
func (r *Registry) Observe(org, class string, measure Measure, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	s := r.seriesFor(org, class, measure)
	millis := min(max(d.Milliseconds(), lowestMillis), highestMillis)
	_ = s.all.RecordValue(millis)
	_ = s.recent.Current.RecordValue(millis)
}

// Error counts one error response of the given kind.
func (r *Registry) Error(kind errkind.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors[kind]++
}

// SetGuaranteeShortfall sets by how many accelerators the guarantees of all organisations exceed the
// capacity that may be used.
func (r *Registry) SetGuaranteeShortfall(accelerators int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.guaranteeShortfall = accelerators
}

func (r *Registry) seriesFor(org, class string, measure Measure) *series {
	p := orgClass{org, class}
	if !r.pairs[p] && len(r.pairs) >= MaxPairs {
		p = orgClass{Other, Other}
	}
	r.pairs[p] = true
	key := seriesKey{p, measure}
	s, ok := r.series[key]
	if !ok {
		s = &series{
			all:    hdrhistogram.New(lowestMillis, highestMillis, significantDigits),
			recent: hdrhistogram.NewWindowed(recentWindows, lowestMillis, highestMillis, significantDigits),
		}
		r.series[key] = s
	}
	return s
}

// rotate drops recent values older than recentWindows windows.
func (r *Registry) rotate() {
	elapsed := int(r.now().Sub(r.lastRotation) / recentWindow)
	if elapsed == 0 {
		return
	}
	r.lastRotation = r.lastRotation.Add(time.Duration(elapsed) * recentWindow)
	for range min(elapsed, recentWindows) {
		for _, s := range r.series {
			s.recent.Rotate()
		}
	}
}

// Snapshot is the content of a registry at one time. Times are in seconds.
type Snapshot struct {
	Series []Row                   `json:"series"`
	Errors map[errkind.Kind]uint64 `json:"errors"`
	// LostWork is the work lost under this process as the leader, by cause.
	LostWork map[string]LostWork `json:"lost_work,omitempty"`
	// Interruptions is the number of tasks by how many of their runs were interrupted.
	Interruptions map[int]uint64 `json:"interruptions,omitempty"`
	// GuaranteeShortfall is by how many accelerators the guarantees of all organisations exceed the
	// capacity that may be used. It is zero on hosts without the leader role.
	GuaranteeShortfall int64 `json:"guarantee_shortfall,omitempty"`
}

// Row is one histogram.
type Row struct {
	Organisation string  `json:"organisation"`
	Class        string  `json:"class"`
	Measure      Measure `json:"measure"`
	// Source is the kind of process that recorded the times.
	Source string `json:"source"`
	// All covers the time since the process started, Recent the last one to two minutes.
	All    Summary `json:"all"`
	Recent Summary `json:"recent"`
}

// Summary holds a histogram's count, quantiles and maximum.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P95   float64 `json:"p95_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// Snapshot returns all histograms, sorted by organisation, class and measure, and the
// number of errors by kind.
func (r *Registry) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	out := Snapshot{Series: []Row{}, Errors: map[errkind.Kind]uint64{}, LostWork: maps.Clone(r.lost), Interruptions: maps.Clone(r.interruptions), GuaranteeShortfall: r.guaranteeShortfall}
	for kind, n := range r.errors {
		out.Errors[kind] = n
	}
	for key, s := range r.series {
		out.Series = append(out.Series, Row{
			Organisation: key.org, Class: key.class, Measure: key.measure, Source: r.source,
			All: summarize(s.all), Recent: summarize(s.recent.Merge()),
		})
	}
	slices.SortFunc(out.Series, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Measure, b.Measure))
	})
	return out
}

func summarize(h *hdrhistogram.Histogram) Summary {
	at := func(q float64) float64 { return seconds(h.ValueAtQuantile(q)) }
	return Summary{Count: h.TotalCount(), P50: at(50), P95: at(95), P99: at(99), Max: seconds(h.Max())}
}

func seconds(millis int64) float64 { return float64(millis) / 1000 }
