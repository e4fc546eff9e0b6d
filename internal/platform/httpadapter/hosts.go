package httpadapter

import (
	"context"
	"net/http"
	"sync"

	"github.com/gravitational/trace"

	"agatewinch/internal/platform"
)

// Hosts implements platform.HostList with conditional requests: if the platform sends an
// ETag with the list (RFC 9110, section 8.8.3), a list that has not changed since the last
// request is not transferred again. Without an ETag every response has the whole list.
type Hosts struct {
	// BaseURL is the platform's base URL.
	BaseURL string
	Client  *http.Client

	mu   sync.Mutex
	etag string
	last []platform.Host
}

// Hosts implements platform.HostList. Calls may return the same slice, which the caller must
// not modify.
func (h *Hosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.BaseURL+PathHosts, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	etag, last := h.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, data, err := send(h.Client, req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return last, nil
	}
	var hosts []platform.Host
	if err := decode(resp.StatusCode, data, &hosts); err != nil {
		return nil, trace.Wrap(err)
	}
	h.storeList(resp.Header.Get("ETag"), hosts)
	return hosts, nil
}

// cached returns the last list and its ETag.
func (h *Hosts) cached() (string, []platform.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.etag, h.last
}

// storeList keeps a list and its ETag for the next request.
func (h *Hosts) storeList(etag string, hosts []platform.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.etag, h.last = etag, hosts
}
