package standin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/httpadapter"
)

// startPlatform serves the log, the host list and the admin interface of a stand-in,
// without its workers' listeners. It returns clients of the admin interface and the log.
func startPlatform(t *testing.T, opts Options) (*Admin, *httpadapter.Log) {
	t.Helper()
	opts.WorkerBase = "127.0.0.1:1"
	s, err := New(opts)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- serveHTTP(ctx, listener, s.platformHandler()) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	base := "http://" + listener.Addr().String()
	client := httpadapter.NewClient(8)
	return &Admin{BaseURL: base, Client: client}, &httpadapter.Log{BaseURL: base, Client: client}
}

func record(text string) [][]byte { return [][]byte{[]byte(text)} }

func TestAppendWithLostAnswerIsStored(t *testing.T) {
	_, log := startPlatform(t, Options{LogFaults: LogFaults{LoseEvery: 1}})
	_, err := log.Append(t.Context(), "s", record("x"))
	assert.Assert(t, errors.Is(err, platform.ErrUnknown))
	page, err := log.Read(t.Context(), "s", 0, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(page.Records[0].Data), "x")
}

func TestRefusedAppendIsNotStored(t *testing.T) {
	admin, log := startPlatform(t, Options{LogFaults: LogFaults{AppendsPerSecond: 0.001}})
	_, err := log.Append(t.Context(), "s", record("first"))
	assert.NilError(t, err)
	_, err = log.Append(t.Context(), "s", record("over the rate"))
	assert.Assert(t, errors.Is(err, platform.ErrNotApplied))
	assert.NilError(t, admin.SetLogFaults(t.Context(), LogFaults{Mode: LogRefusing}))
	_, err = log.Append(t.Context(), "s", record("in an outage"))
	assert.Assert(t, errors.Is(err, platform.ErrNotApplied))
	assert.NilError(t, admin.SetLogFaults(t.Context(), LogFaults{}))
	page, err := log.Read(t.Context(), "s", 0, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 1)
}

func TestHangingLogBlocksCallsWithoutEffect(t *testing.T) {
	admin, log := startPlatform(t, Options{LogFaults: LogFaults{Mode: LogHanging}})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := log.Append(ctx, "s", record("x"))
	assert.Assert(t, errors.Is(err, platform.ErrUnknown))
	assert.NilError(t, admin.SetLogFaults(t.Context(), LogFaults{}))
	page, err := log.Read(t.Context(), "s", 0, 10, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 0)
}

func TestReadOfTrimmedRecordsReturnsTrimmedError(t *testing.T) {
	_, log := startPlatform(t, Options{LogFaults: LogFaults{KeepRecords: 2}})
	for range 5 {
		_, err := log.Append(t.Context(), "s", record("x"))
		assert.NilError(t, err)
	}
	_, err := log.Read(t.Context(), "s", 0, 10, 0)
	var trimmed *platform.TrimmedError
	assert.Assert(t, errors.As(err, &trimmed))
	assert.Equal(t, trimmed.Oldest, platform.Offset(3))
}

func TestHostListLagsBehindItsChanges(t *testing.T) {
	host := platform.Host{ID: "h", Kind: platform.EntryHost, State: platform.HostLive}
	admin, _ := startPlatform(t, Options{EntryHosts: []platform.Host{host}, HostListFaults: HostListFaults{Lag: time.Hour}})
	host.State = platform.HostLeaving
	assert.NilError(t, admin.PutHost(t.Context(), host))
	hosts, err := admin.Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, hosts[0].State, platform.HostLive)
	assert.NilError(t, admin.SetHostListFaults(t.Context(), HostListFaults{}))
	hosts, err = admin.Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, hosts[0].State, platform.HostLeaving)
	assert.NilError(t, admin.RemoveHost(t.Context(), "h"))
	hosts, err = admin.Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(hosts), 0)
}

func TestWorkersAreSetAndRestartedOverTheAdminInterface(t *testing.T) {
	admin, _ := startPlatform(t, Options{Workers: []core.Worker{{ID: "w1"}}})
	assert.NilError(t, admin.SetWorkerFaults(t.Context(), "w1", WorkerFaults{FailAll: true}))
	assert.NilError(t, admin.RestartWorker(t.Context(), "w1"))
	status, err := admin.WorkerStatus(t.Context(), "w1")
	assert.NilError(t, err)
	assert.Assert(t, status.Faults.FailAll)
	assert.Equal(t, status.Incarnation, uint64(2))
	assert.ErrorContains(t, admin.RestartWorker(t.Context(), "unknown"), "404")
}

func TestConnectionLimitCountsOnlyOpenConnections(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counter := &connCounter{}
	counter.limit.Store(1)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(&limitedListener{Listener: inner, counter: counter}) }()
	defer func() { assert.NilError(t, server.Close()) }()
	url := "http://" + inner.Addr().String()
	first := &http.Client{Transport: &http.Transport{}}
	resp, err := first.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	second := &http.Client{Transport: &http.Transport{}}
	_, err = second.Get(url)
	assert.Assert(t, err != nil)
	first.CloseIdleConnections()
	for counter.open.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	resp, err = second.Get(url)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, counter.refused.Load(), int64(1))
}
