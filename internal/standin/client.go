package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gravitational/trace"

	"agatewinch/internal/core"
	"agatewinch/internal/platform"
	"agatewinch/internal/platform/httpadapter"
)

// Admin is a client of a stand-in's admin interface.
type Admin struct {
	// BaseURL is the stand-in's URL.
	BaseURL string
	Client  *http.Client
}

// Ledger returns the ledger entries with numbers above after.
func (a *Admin) Ledger(ctx context.Context, after int) ([]Entry, error) {
	var l []Entry
	err := a.call(ctx, http.MethodGet, PathLedger+"?after="+strconv.Itoa(after), nil, &l)
	return l, trace.Wrap(err)
}

// LogStatus returns the log's counters and faults.
func (a *Admin) LogStatus(ctx context.Context) (LogStatus, error) {
	var s LogStatus
	err := a.call(ctx, http.MethodGet, PathLogFaults, nil, &s)
	return s, trace.Wrap(err)
}

// SetLogFaults replaces the log's faults.
func (a *Admin) SetLogFaults(ctx context.Context, f LogFaults) error {
	return a.call(ctx, http.MethodPut, PathLogFaults, f, nil)
}

// SetHostListFaults replaces the host list's faults.
func (a *Admin) SetHostListFaults(ctx context.Context, f HostListFaults) error {
	return a.call(ctx, http.MethodPut, PathHostListFaults, f, nil)
}

// Hosts returns the host list as gates and schedulers read it, delayed by its lag.
func (a *Admin) Hosts(ctx context.Context) ([]platform.Host, error) {
	var hosts []platform.Host
	err := a.call(ctx, http.MethodGet, httpadapter.PathHosts, nil, &hosts)
	return hosts, trace.Wrap(err)
}

// PutHost adds or replaces a host in the host list.
func (a *Admin) PutHost(ctx context.Context, h platform.Host) error {
	return a.call(ctx, http.MethodPut, PathListedHosts+url.PathEscape(h.ID), h, nil)
}

// RemoveHost removes a host from the host list.
func (a *Admin) RemoveHost(ctx context.Context, id string) error {
	return a.call(ctx, http.MethodDelete, PathListedHosts+url.PathEscape(id), nil, nil)
}

// WorkerStatus returns a worker's state and its counters.
func (a *Admin) WorkerStatus(ctx context.Context, id core.WorkerID) (WorkerStatus, error) {
	var s WorkerStatus
	err := a.call(ctx, http.MethodGet, workerPath(id), nil, &s)
	return s, trace.Wrap(err)
}

// SetWorkerFaults replaces a worker's faults.
func (a *Admin) SetWorkerFaults(ctx context.Context, id core.WorkerID, f WorkerFaults) error {
	return a.call(ctx, http.MethodPut, workerPath(id), f, nil)
}

// RestartWorker restarts a worker, which loses its tasks, its holder and term, its lease and its
// reports, but keeps its faults.
func (a *Admin) RestartWorker(ctx context.Context, id core.WorkerID) error {
	return a.call(ctx, http.MethodPost, workerPath(id)+restartSuffix, nil, nil)
}

func workerPath(id core.WorkerID) string { return PathWorkers + url.PathEscape(string(id)) }

func (a *Admin) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return trace.Wrap(err)
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, a.BaseURL+path, body)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := a.Client.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return trace.BadParameter("%s %s returned status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return trace.Wrap(json.NewDecoder(resp.Body).Decode(out))
}
