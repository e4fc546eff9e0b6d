// Package harness runs the real binaries on loopback addresses, each link through a
// fault-injecting proxy, with callers that record all they are told.
package harness

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/event"
)

// The binaries that the harness starts.
const (
	binaryGate      = "agatewinch-gate"
	binaryScheduler = "agatewinch-scheduler"
	binaryStandin   = "agatewinch-standin"
	binaryHost      = "agatewinch-host"
)

// binaries builds the binaries once for a test process.
var binaries = sync.OnceValues(func() (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "agatewinch-bin-")
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	args := []string{"build", "-o", dir + "/"}
	for _, name := range []string{binaryGate, binaryScheduler, binaryStandin, binaryHost} {
		args = append(args, "./cmd/"+name)
	}
	cmd := exec.Command("go", args...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", trace.BadParameter("build: %v: %s", err, out)
	}
	return dir, nil
})

// RemoveBinaries removes what the tests built; TestMain calls it at the end.
func RemoveBinaries() {
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
}

// moduleRoot finds the directory of go.mod above the working directory.
func moduleRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", trace.ConvertSystemError(err)
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", trace.NotFound("no go.mod above the working directory")
		}
		dir = parent
	}
}

// starts runs the starts of all processes on one locked thread: the kernel ends a
// child together with the thread that started it, so that none outlives the test.
var starts = sync.OnceValue(func() chan func() {
	ch := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range ch {
			f()
		}
	}()
	return ch
})

// Process is one process of the system, which can be started again after its end.
type Process struct {
	// Name is unique in the cluster.
	Name string

	binary, log string
	// settings is the file that --settings names; without one the process finds its
	// settings through env.
	settings string
	env      []string

	starting sync.Mutex
	retired  bool

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewHostProcess returns an entry host's process on the operators' platform, which finds
// its settings through env and logs to a file.
func NewHostProcess(name, log string, env ...string) *Process {
	return &Process{Name: name, binary: binaryHost, log: log, env: env}
}

// Start starts the process; it must not run.
func (p *Process) Start() error {
	dir, err := binaries()
	if err != nil {
		return err
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var args []string
	if p.settings != "" {
		args = []string{"--settings", p.settings}
	}
	cmd := exec.Command(filepath.Join(dir, p.binary), args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starts() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return trace.Wrap(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(ended)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.ended = cmd, ended
	return nil
}

// EnsureRunning starts the process again when it has ended.
func (p *Process) EnsureRunning() error {
	p.starting.Lock()
	defer p.starting.Unlock()
	if p.retired || p.Running() {
		return nil
	}
	return p.Start()
}

// Retire kills the process for good.
func (p *Process) Retire() {
	p.starting.Lock()
	defer p.starting.Unlock()
	p.retired = true
	p.Kill()
}

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_ = p.AwaitEnd(time.Minute)
}

// Pause stops the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate asks for a planned stop with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// AwaitEnd waits until the process has ended.
func (p *Process) AwaitEnd(timeout time.Duration) error {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return nil
	}
	select {
	case <-ended:
		return nil
	case <-time.After(timeout):
		return trace.LimitExceeded("%s still runs after %v", p.Name, timeout)
	}
}

// Running reports whether the process runs or is paused.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// tail returns the end of the process's log.
func (p *Process) tail(bytes int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-bytes):])
}

// LogLine is one line of a process's log.
type LogLine struct {
	Time  time.Time `json:"time"`
	Event int       `json:"event"`
	Term  core.Term `json:"term"`
}

// Lines returns the lines that the process has logged under one of the events.
func (p *Process) Lines(events ...event.Event) ([]LogLine, error) {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var out []LogLine
	for raw := range bytes.Lines(data) {
		var line LogLine
		// What a process prints while it crashes is no JSON.
		if json.Unmarshal(raw, &line) != nil {
			continue
		}
		if slices.ContainsFunc(events, func(e event.Event) bool { return e.Number == line.Event }) {
			out = append(out, line)
		}
	}
	return out, nil
}

// ShowLogs prints the logs' ends of a failed test.
func ShowLogs(t testing.TB, processes []*Process) {
	const tailBytes = 2000
	for _, p := range processes {
		fmt.Printf("--- %s: %s: %s\n%s\n", t.Name(), p.Name, p.log, p.tail(tailBytes))
	}
}
