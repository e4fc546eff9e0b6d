package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"agatewinch/internal/docsync"
	"agatewinch/internal/event"
	"agatewinch/internal/gate"
	"agatewinch/internal/intake"
	"agatewinch/internal/platform/fakelog"
	"agatewinch/internal/settings"
)

// runAsGateEnv is the environment variable that makes the test binary run as the gate.
const runAsGateEnv = "TEST_RUN_AS_GATE"

func TestMain(m *testing.M) {
	if os.Getenv(runAsGateEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const validSettings = `host: h1
region: kr-central
zone: kr-a
listen: 127.0.0.1:0
platform: http://127.0.0.1:1
drain_grace: 0s
schedulers:
- {zone: kr-a, addr: "127.0.0.1:1"}
`

func gateCommand(t *testing.T, file string, args ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "gate.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
	cmd := exec.Command(os.Args[0], append([]string{"--settings", path}, args...)...)
	cmd.Env = append(os.Environ(), runAsGateEnv+"=1")
	return cmd
}

func TestInvalidSettingsAreAllListedAndSetTheExitCode(t *testing.T) {
	file := strings.Replace(validSettings, "zone: kr-a\n", "zoen: kr-a\n", 1)
	file = strings.Replace(file, `addr: "127.0.0.1:1"`, `addr: "host:1"`, 1)
	out, err := gateCommand(t, file, "--set", "max_requests=0", "--set", "operator_keys=[short]").CombinedOutput()
	var exitErr *exec.ExitError
	assert.Assert(t, errors.As(err, &exitErr), "%v", err)
	assert.Equal(t, exitErr.ExitCode(), settings.ExitInvalid)
	for _, want := range []string{
		"line 3: field zoen not found", "setting zone: is missing", "setting schedulers[0].addr: host:1 is not an IP and port",
		"setting max_requests: is below 1", "setting operator_keys[0]: short is not a SHA-256",
	} {
		assert.Assert(t, strings.Contains(string(out), want), "no %q in:\n%s", want, out)
	}
}

func TestPrintedSettingsCanBeLoadedAgain(t *testing.T) {
	first, err := gateCommand(t, validSettings, "--print-settings", "--set", "max_requests=7").Output()
	assert.NilError(t, err)
	second, err := gateCommand(t, string(first), "--print-settings").Output()
	assert.NilError(t, err)
	assert.Equal(t, string(first), string(second))
	assert.Assert(t, strings.Contains(string(first), "max_requests: 7"))
}

// TestGateServesAndStopsWithoutThePlatform starts a gate that can reach neither the
// platform nor a scheduler. It must answer its readiness check with 503 and stop on SIGTERM
// without an error.
func TestGateServesAndStopsWithoutThePlatform(t *testing.T) {
	cmd := gateCommand(t, validSettings)
	stderr, err := cmd.StderrPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	lines := bufio.NewScanner(stderr)
	var events []int
	for lines.Scan() {
		var line struct {
			Event  int    `json:"event"`
			Listen string `json:"listen"`
		}
		assert.NilError(t, json.Unmarshal(lines.Bytes(), &line), lines.Text())
		events = append(events, line.Event)
		if line.Event == event.ProcessStarted.Number {
			resp, err := http.Get("http://" + line.Listen + "/readyz")
			assert.NilError(t, err)
			assert.NilError(t, resp.Body.Close())
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
		}
	}
	assert.NilError(t, cmd.Wait())
	assert.DeepEqual(t, events, []int{event.ProcessStarted.Number, event.ProcessStopping.Number, event.ProcessStopped.Number})
}

func TestGracefulShutdownFinishesRequestsInProgress(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	server := newServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-finish
		_, _ = io.WriteString(w, "whole")
	}), intake.NewConnections(10, nil, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(listener) }()
	answers := make(chan string, 1)
	go func() {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			answers <- err.Error()
			return
		}
		defer func() { _ = resp.Body.Close() }()
		var body bytes.Buffer
		_, _ = body.ReadFrom(resp.Body)
		answers <- body.String()
	}()
	<-entered
	stopped := make(chan error, 1)
	g := gate.New(gate.Options{Limits: gate.DefaultLimits}, logr.Discard(), fakelog.New())
	go func() { stopped <- drain(context.Background(), g, server, time.Millisecond) }()
	select {
	case err := <-stopped:
		t.Fatalf("the shutdown ended with a request in progress: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(finish)
	assert.Equal(t, <-answers, "whole")
	assert.NilError(t, <-stopped)
}

func TestEverySettingIsDocumented(t *testing.T) {
	docsync.Mentions(t, "../../docs/operators/settings.md", settings.Names(gateSettings{}))
}
