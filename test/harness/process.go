// Package harness runs the real binaries on loopback addresses. Every link goes through a
// fault-injecting proxy, and the callers record every response they receive.
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

// Names of the binaries that the harness builds and starts.
const (
	binaryGate      = "agatewinch-gate"
	binaryScheduler = "agatewinch-scheduler"
	binaryStandin   = "agatewinch-standin"
	binaryHost      = "agatewinch-host"
)

// binaries builds the binaries once per test process and returns their directory.
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
		return "", trace.BadParameter("go build failed: %v: %s", err, out)
	}
	return dir, nil
})

// RemoveBinaries removes the directory of built binaries; TestMain calls it after all tests. If no
// test has started a process, it builds the binaries before it removes them.
func RemoveBinaries() {
	if dir, err := binaries(); err == nil {
		_ = os.RemoveAll(dir)
	}
}

// moduleRoot returns the nearest directory with a go.mod, from the working directory upwards.
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
			return "", trace.NotFound("no go.mod in the working directory or above it")
		}
		dir = parent
	}
}

// startQueue runs functions that start processes on one locked OS thread. With Pdeathsig the
// kernel kills a child when the thread that started it exits. This thread lives as long as the
// test process, so no child outlives the test process or is killed too early.
var startQueue = sync.OnceValue(func() chan func() {
	ch := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range ch {
			f()
		}
	}()
	return ch
})

// Process is one process of the system; it can be restarted after it has exited.
type Process struct {
	// Name is unique within the cluster. The processes of an entry host are named gate/HOST and
	// scheduler/HOST.
	Name string

	binary, log string
	// settings is the path passed with --settings. If it is empty, the process finds its
	// settings through env.
	settings string
	env      []string

	startMu sync.Mutex
	retired bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// NewHostProcess returns a process of the entry host binary for the operators' platform. It
// finds its settings through env and writes its output to the file log.
func NewHostProcess(name, log string, env ...string) *Process {
	return &Process{Name: name, binary: binaryHost, log: log, env: env}
}

// Start starts the process, which must not be running.
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
	startQueue() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return trace.Wrap(err)
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, exited
	return nil
}

// EnsureRunning starts the process if it is not running. It does nothing after Retire.
func (p *Process) EnsureRunning() error {
	p.startMu.Lock()
	defer p.startMu.Unlock()
	if p.retired || p.Running() {
		return nil
	}
	return p.Start()
}

// Retire kills the process and prevents later restarts by EnsureRunning.
func (p *Process) Retire() {
	p.startMu.Lock()
	defer p.startMu.Unlock()
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

// Kill sends SIGKILL to the process and waits for it to exit.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	_ = p.AwaitExit(time.Minute)
}

// Pause suspends the process with SIGSTOP.
func (p *Process) Pause() { p.signal(syscall.SIGSTOP) }

// Resume continues a paused process with SIGCONT.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate requests a graceful shutdown with SIGTERM.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// AwaitExit waits until the process has exited, or returns an error after timeout.
func (p *Process) AwaitExit(timeout time.Duration) error {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-time.After(timeout):
		return trace.LimitExceeded("process %s is still running after %v", p.Name, timeout)
	}
}

// Running reports whether the process has started and not yet exited. A paused process
// counts as running.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// tail returns the last maxBytes bytes of the process's log file, or the text of the error if the
// file cannot be read.
func (p *Process) tail(maxBytes int) string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}

// LogLine is the decoded part of one line of a process's log.
type LogLine struct {
	Time  time.Time `json:"time"`
	Event int       `json:"event"`
	Term  core.Term `json:"term"`
}

// LogLines returns the lines that the process has logged for any of the events.
func (p *Process) LogLines(events ...event.Event) ([]LogLine, error) {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	var out []LogLine
	for raw := range bytes.Lines(data) {
		var line LogLine
		// Output of a crash, such as a stack trace, is not JSON.
		if json.Unmarshal(raw, &line) != nil {
			continue
		}
		if slices.ContainsFunc(events, func(e event.Event) bool { return e.Number == line.Event }) {
			out = append(out, line)
		}
	}
	return out, nil
}

// ShowLogs prints the end of each process's log, for a failed test.
func ShowLogs(t testing.TB, processes []*Process) {
	const tailBytes = 2000
	for _, p := range processes {
		fmt.Printf("--- %s: %s: %s\n%s\n", t.Name(), p.Name, p.log, p.tail(tailBytes))
	}
}
