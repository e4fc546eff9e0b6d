package httpadapter

import (
	"context"
	"net/http"
	"sync"

	"github.com/gravitational/trace"

	"agatewinch/internal/platform"
)

// Hosts reads the platform's host list. A list that has not changed since the last
// reading is not sent again, if the platform names its lists by an ETag (RFC 9110,
// section 8.8.3); without one every reading carries the whole list.
type Hosts struct {
	Base   string
	Client *http.Client

	mu   sync.Mutex
	etag string
	last []platform.Host
}

// Hosts implements platform.HostList. The result is shared and must not be changed.
func (h *Hosts) Hosts(ctx context.Context) ([]platform.Host, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.Base+PathHosts, nil)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	etag, last := h.known()
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
	h.remember(resp.Header.Get("ETag"), hosts)
	return hosts, nil
}

func (h *Hosts) known() (string, []platform.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.etag, h.last
}

func (h *Hosts) remember(etag string, hosts []platform.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.etag, h.last = etag, hosts
}
