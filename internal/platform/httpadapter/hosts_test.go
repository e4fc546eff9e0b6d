package httpadapter

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"agatewinch/internal/platform"
)

// TestUnchangedHostListIsNotSentAgain reads a list twice, then after a change, and then
// while the platform is down. The list must be sent once per version, and an outage must be
// an error rather than the cached list.
func TestUnchangedHostListIsNotSentAgain(t *testing.T) {
	list := []platform.Host{{ID: "w1"}}
	etag, sent, down := `"1"`, 0, false
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("ETag", etag)
		if r.Header.Get("If-None-Match") == etag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		sent++
		_ = json.NewEncoder(w).Encode(list)
	}))
	defer server.Close()
	hosts := &Hosts{BaseURL: server.URL, Client: server.Client()}
	for range 2 {
		got, err := hosts.Hosts(context.Background())
		assert.NilError(t, err)
		assert.DeepEqual(t, got, list)
	}
	assert.Equal(t, sent, 1)
	list, etag = append(list, platform.Host{ID: "w2"}), `"2"`
	got, err := hosts.Hosts(context.Background())
	assert.NilError(t, err)
	assert.DeepEqual(t, got, list)
	down = true
	_, err = hosts.Hosts(context.Background())
	assert.ErrorIs(t, err, platform.ErrNotApplied)
}
