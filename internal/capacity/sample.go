// Package capacity measures the cost of each role at several sizes of the system, fits a line
// for each factor and estimates the costs at the design size.
package capacity

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// ticksPerSecond is the number of clock ticks per second, the unit of processor time in /proc
// on Linux.
const ticksPerSecond = 100

// Usage holds the counters that the operating system and the process itself keep.
type Usage struct {
	// CPU is the processor time since the start of the process.
	CPU time.Duration
	// Resident is resident memory in bytes.
	Resident int64
	// Bytes holds the bytes of control traffic in both directions, by counter and purpose.
	Bytes map[string]float64
}

// ReadUsage reads the usage of a process from /proc. If vars is not empty, it also reads the byte
// counters from the metrics URL vars, with the operators' API key.
func ReadUsage(ctx context.Context, pid int, vars, key string) (Usage, error) {
	u := Usage{Bytes: map[string]float64{}}
	dir := "/proc/" + strconv.Itoa(pid)
	var err error
	if u.CPU, err = readCPU(dir + "/stat"); err != nil {
		return u, trace.Wrap(err)
	}
	if u.Resident, err = readResident(dir + "/status"); err != nil {
		return u, trace.Wrap(err)
	}
	if vars == "" {
		return u, nil
	}
	return u, trace.Wrap(readVars(ctx, vars, key, u.Bytes))
}

func readCPU(path string) (time.Duration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	// The command name is in parentheses and may contain spaces, so fields are counted after it.
	_, rest, ok := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	if !ok || len(fields) <= systemField {
		return 0, trace.BadParameter("%s contains no processor time", path)
	}
	user, errUser := strconv.ParseInt(fields[userField], 10, 64)
	system, errSystem := strconv.ParseInt(fields[systemField], 10, 64)
	if errUser != nil || errSystem != nil {
		return 0, trace.BadParameter("%s: processor time is not an integer", path)
	}
	return time.Duration(user+system) * time.Second / ticksPerSecond, nil
}

func readResident(path string) (int64, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0, trace.ConvertSystemError(err)
	}
	for line := range bytes.Lines(data) {
		fields := strings.Fields(string(line))
		if len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, err := strconv.ParseInt(fields[1], 10, 64)
			return kib * 1024, trace.Wrap(err)
		}
	}
	return 0, trace.NotFound("%s has no VmRSS line", path)
}

// The byte counters of a process's connections, by purpose.
const (
	varSent     = "bytes_sent"
	varReceived = "bytes_received"
)

// readVars adds the process's byte counters to counters, under NAME/PURPOSE.
func readVars(ctx context.Context, url, key string, counters map[string]float64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("GET %s returned status %d", url, resp.StatusCode)
	}
	var vars map[string]json.RawMessage
	if err := json.NewDecoder(resp.Body).Decode(&vars); err != nil {
		return trace.Wrap(err)
	}
	for _, name := range []string{varSent, varReceived} {
		raw, ok := vars[name]
		if !ok {
			return trace.NotFound("metrics at %s lack counter %q", url, name)
		}
		var byKind map[string]float64
		if err := json.Unmarshal(raw, &byKind); err != nil {
			return trace.Wrap(err)
		}
		for kind, n := range byKind {
			counters[name+"/"+kind] += n
		}
	}
	return nil
}

// Overhead returns the bytes that one reading adds to the counters: the difference between two
// consecutive readings.
func Overhead(first, second Usage) map[string]float64 {
	added := map[string]float64{}
	for name, n := range second.Bytes {
		added[name] = n - first.Bytes[name]
	}
	return added
}

// Rates holds the costs of a process over a window.
type Rates struct {
	// CPU is the share of one core.
	CPU float64 `json:"cpu"`
	// Resident is the resident memory at the window's end, in bytes.
	Resident float64 `json:"resident"`
	// BytesPerSecond is the control traffic in both directions, including headers.
	BytesPerSecond float64 `json:"bytes_per_s"`
	// ByKind splits the traffic, in bytes per second, by counter.
	ByKind map[string]float64 `json:"by_kind"`
}

// RatesBetween returns the rates between two usages. A process's counters include the traffic of
// reading them: overhead is what one reading adds, and it is subtracted.
func RatesBetween(before, after Usage, overhead map[string]float64, window time.Duration) Rates {
	s := window.Seconds()
	r := Rates{CPU: (after.CPU - before.CPU).Seconds() / s, Resident: float64(after.Resident), ByKind: map[string]float64{}}
	for name, n := range after.Bytes {
		rate := (n - before.Bytes[name] - overhead[name]) / s
		r.ByKind[name] = rate
		r.BytesPerSecond += rate
	}
	return r
}
