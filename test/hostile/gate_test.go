package hostile_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"agatewinch/internal/api"
	"agatewinch/internal/core"
	"agatewinch/platform/standin"
	"agatewinch/test/harness"
	"agatewinch/test/knownred"
)

const (
	// gateMemoryMB is the bound of a gate's memory, gateHeldMB the memory that its settings allow it for
	// requests, and gateConnections the connections.
	gateMemoryMB    = 160
	gateHeldMB      = 16
	gateConnections = 200
	// gateBodyLimit is the largest body that a gate accepts.
	gateBodyLimit = 1 << 20
)

func writeGateHead(m *member, w io.Writer, framing string) error {
	_, err := fmt.Fprintf(w, "POST %s HTTP/1.1\r\nHost: gate\r\nAuthorization: Bearer %s-key\r\n%s\r\n\r\n", api.PathJobs, harness.OrgSurvey, framing)
	return err
}

// gateShapes are the requests that crowds send to a gate; none is a valid job.
var gateShapes = []struct {
	name string
	send func(m *member, w io.Writer) error
}{
	{"bodies sent whole", func(m *member, w io.Writer) error {
		if err := writeGateHead(m, w, fmt.Sprintf(contentLength, gateBodyLimit)); err != nil {
			return err
		}
		return writePieces(w, m.text(strings.Repeat(" ", gateBodyLimit)), gateBodyLimit, 0)
	}},
	{"chunks", func(m *member, w io.Writer) error {
		if err := writeGateHead(m, w, chunked); err != nil {
			return err
		}
		return writeChunks(w, strings.Repeat(" ", gateBodyLimit-1), 1000, ";extension=value")
	}},
	{"bodies announced over the limit", func(m *member, w io.Writer) error {
		if err := writeGateHead(m, w, fmt.Sprintf(contentLength, 1<<30)); err != nil {
			return err
		}
		return writePieces(w, strings.Repeat(" ", gateBodyLimit), largeChunk, 0)
	}},
	{"unfinished headers", shapes[len(shapes)-2].send},
	{"connections without a request", shapes[len(shapes)-1].send},
}

// requireOrdinaryJob submits a small job to the gate until the job has succeeded.
func (s *site) requireOrdinaryJob(h *harness.EntryHost, name string) {
	s.t.Helper()
	client := harness.Caller(h, harness.OrgSurvey)
	body := api.SubmitRequest{RequestID: name, Caller: "c", Class: harness.ClassCheck, Idempotent: true, WaitSeconds: 5, Shape: core.Shape{Cells: 1, CellSize: 1, CPU: 1, MemoryBytes: 1 << 20}}
	s.repeat("job", func() bool {
		answer, err := client.CallJob(context.Background(), http.MethodPost, api.PathJobs, body)
		return err == nil && answer.State == core.Succeeded
	})
}

// TestGateOutlivesCrowdsOfCallers lets crowds hold on to a gate.
func TestGateOutlivesCrowdsOfCallers(t *testing.T) {
	for _, shape := range gateShapes {
		t.Run(shape.name, func(t *testing.T) {
			knownred.SkipIfListed(t)
			opts := harness.DefaultOptions()
			opts.Zones, opts.HostsPerZone, opts.WorkersPerZone = opts.Zones[:1], 1, 1
			opts.Gate = harness.GateLimits{MaxConnections: gateConnections, MaxHeldMB: gateHeldMB}
			h := harness.Start(t, opts).Hosts()[0]
			s := &site{t: t, audit: standin.NewAudit(), process: h.Gate, memoryMB: gateMemoryMB, maxDescriptors: maxDescriptors}
			s.requireOrdinaryJob(h, "before")
			s.watch(t.Context())
			c := s.gather(strings.TrimPrefix(h.GateURL, "http://"), crowdSize, shape.send)
			s.requireOrdinaryJob(h, "during")
			s.requireWithinLimits()
			c.requireTrueRefusals()
		})
	}
}
