package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Resources is what a process uses, as the kernel reports it.
type Resources struct {
	// PID identifies the process.
	PID int
	// PeakBytes is the largest resident memory since the process started, in bytes.
	PeakBytes int64
	// Descriptors is the number of open file descriptors.
	Descriptors int
}

// Resources returns what the process uses now. It fails if the process is not running.
func (p *Process) Resources() (Resources, error) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	if cmd == nil || !p.Running() {
		return Resources{}, trace.NotFound("process %s is not running", p.Name)
	}
	r := Resources{PID: cmd.Process.Pid}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.PID))
	if err != nil {
		return r, trace.ConvertSystemError(err)
	}
	r.Descriptors = len(open)
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.PID))
	if err != nil {
		return r, trace.ConvertSystemError(err)
	}
	r.PeakBytes, err = peakBytes(status)
	return r, err
}

// peakBytes returns the VmHWM line of a /proc/PID/status file in bytes.
func peakBytes(status []byte) (int64, error) {
	lines := bufio.NewScanner(bytes.NewReader(status))
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 10, 64)
			return kb << 10, trace.Wrap(err)
		}
	}
	return 0, trace.NotFound("the status file has no line VmHWM")
}
