// Package metrics counts what a process does and keeps histograms of times for each
// organisation and class. A Registry is published through expvar.
package metrics

import (
	"cmp"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"agatewinch/internal/errkind"
)

// Measure names a time that is kept for each organisation and class.
type Measure string

// The measures.
const (
	// Wait is from admission to the first attempt to start that succeeds.
	Wait Measure = "wait"
	// Start is from admission until all tasks run.
	Start Measure = "start"
	// Completion is from admission, or from the caller's request at a gate, to the end.
	Completion Measure = "completion"
)

const (
	lowestMillis      = 1
	highestMillis     = int64(7 * 24 * time.Hour / time.Millisecond)
	significantDigits = 2
	// recentWindow is the time that recent values cover, at least.
	recentWindow = time.Minute
	recentParts  = 2
	// MaxSeries bounds the pairs of organisation and class; later ones count as Other.
	MaxSeries = 64
)

// The sources of measures.
const (
	SourceGate      = "gate"
	SourceScheduler = "scheduler"
	SourceEntry     = "entry"
)

// Other stands for organisations and classes beyond MaxSeries.
const Other = "(other)"

// Registry holds the metrics of one process.
type Registry struct {
	source string
	now    func() time.Time

	mu      sync.Mutex
	series  map[seriesKey]*series
	errors  map[errkind.Kind]uint64
	pairs   map[pair]bool
	rotated time.Time
}

type pair struct{ org, class string }

type seriesKey struct {
	pair
	measure Measure
}

type series struct {
	all    *hdrhistogram.Histogram
	recent *hdrhistogram.WindowedHistogram
}

// New returns an empty registry.
// Its rows name source as the kind of process that measures.
func New(source string) *Registry { return newAt(source, time.Now) }

func newAt(source string, now func() time.Time) *Registry {
	return &Registry{source: source, now: now, series: map[seriesKey]*series{}, errors: map[errkind.Kind]uint64{}, pairs: map[pair]bool{}, rotated: now()}
}

// Publish makes the registry's snapshot the expvar of that name. It may be called once
// for a name in a process.
func (r *Registry) Publish(name string) {
	expvar.Publish(name, expvar.Func(func() any { return r.Snapshot() }))
}

// Observe adds one time to a histogram. Times out of range count as the nearest bound.
func (r *Registry) Observe(org, class string, measure Measure, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	s := r.get(org, class, measure)
	millis := min(max(d.Milliseconds(), lowestMillis), highestMillis)
	_ = s.all.RecordValue(millis)
	_ = s.recent.Current.RecordValue(millis)
}

// Error counts one answer of that kind.
func (r *Registry) Error(kind errkind.Kind) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errors[kind]++
}

func (r *Registry) get(org, class string, measure Measure) *series {
	p := pair{org, class}
	if !r.pairs[p] && len(r.pairs) >= MaxSeries {
		p = pair{Other, Other}
	}
	r.pairs[p] = true
	key := seriesKey{p, measure}
	s, ok := r.series[key]
	if !ok {
		s = &series{
			all:    hdrhistogram.New(lowestMillis, highestMillis, significantDigits),
			recent: hdrhistogram.NewWindowed(recentParts, lowestMillis, highestMillis, significantDigits),
		}
		r.series[key] = s
	}
	return s
}

// rotate drops recent values that are older than the window's parts.
func (r *Registry) rotate() {
	passed := int(r.now().Sub(r.rotated) / recentWindow)
	if passed == 0 {
		return
	}
	r.rotated = r.rotated.Add(time.Duration(passed) * recentWindow)
	for range min(passed, recentParts) {
		for _, s := range r.series {
			s.recent.Rotate()
		}
	}
}

// Snapshot is what a registry holds at one time; times are in seconds.
type Snapshot struct {
	Series []Row                   `json:"series"`
	Errors map[errkind.Kind]uint64 `json:"errors"`
}

// Row is one histogram.
type Row struct {
	Organisation string  `json:"organisation"`
	Class        string  `json:"class"`
	Measure      Measure `json:"measure"`
	// Source tells which kind of process measured.
	Source string `json:"source"`
	// All covers the process's life, Recent the last one to two minutes.
	All    Summary `json:"all"`
	Recent Summary `json:"recent"`
}

// Summary is a histogram's count and quantiles.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_s"`
	P95   float64 `json:"p95_s"`
	P99   float64 `json:"p99_s"`
	Max   float64 `json:"max_s"`
}

// Snapshot returns all histograms, by organisation, class and measure, and all counts.
func (r *Registry) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate()
	out := Snapshot{Series: []Row{}, Errors: map[errkind.Kind]uint64{}}
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
