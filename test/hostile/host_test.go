package hostile_test

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

const (
	contentLength = "Content-Length: %d"
	chunked       = "Transfer-Encoding: chunked"
	lastChunk     = "0\r\n\r\n"
)

// shapes are the requests that crowds send to the callers' address.
var shapes = []struct {
	name string
	send func(m *member, w io.Writer) error
}{
	{"bodies sent whole", func(m *member, w io.Writer) error {
		if err := m.writeHead(w, fmt.Sprintf(contentLength, bodyLimit)); err != nil {
			return err
		}
		return writePieces(w, m.text(legalBody(bodyLimit)), bodyLimit, 0)
	}},
	{"bodies sent in pieces", func(m *member, w io.Writer) error {
		if err := m.writeHead(w, fmt.Sprintf(contentLength, bodyLimit)); err != nil {
			return err
		}
		return writePieces(w, m.text(legalBody(bodyLimit)), bodyLimit/16, 20*time.Millisecond)
	}},
	{"large chunks", func(m *member, w io.Writer) error { return m.sendChunked(w, legalBody(bodyLimit), largeChunk, "") }},
	{"chunks of one byte", func(m *member, w io.Writer) error { return m.sendChunked(w, legalBody(smallChunks), 1, "") }},
	{"chunk extensions", func(m *member, w io.Writer) error {
		return m.sendChunked(w, legalBody(bodyLimit), 1000, ";extension=value")
	}},
	{"bodies announced over the limit", func(m *member, w io.Writer) error {
		if err := m.writeHead(w, fmt.Sprintf(contentLength, 1<<30)); err != nil {
			return err
		}
		return writePieces(w, legalBody(1<<20), largeChunk, 0)
	}},
	{"bodies sent over the limit", func(m *member, w io.Writer) error {
		if err := m.writeHead(w, chunked); err != nil {
			return err
		}
		return writeChunks(w, strings.Repeat(" ", 4<<20), largeChunk, "")
	}},
	{"bodies of empty steps", func(m *member, w io.Writer) error {
		body := `{"spec":"","steps":[` + strings.Repeat("{},", 87000) + `{}]}`
		if err := m.writeHead(w, fmt.Sprintf(contentLength, len(body))); err != nil {
			return err
		}
		return writePieces(w, body, bodyLimit, 0)
	}},
	{"unfinished headers", func(_ *member, w io.Writer) error {
		if _, err := fmt.Fprintf(w, "POST /jobs/ HTTP/1.1\r\nHost: %s\r\n", hostHeader); err != nil {
			return err
		}
		for n := range 2000 {
			if _, err := fmt.Fprintf(w, "%x:\r\n", n); err != nil {
				return err
			}
		}
		return nil
	}},
	{"connections without a request", func(*member, io.Writer) error { return nil }},
}

// sendChunked sends a body in chunks; only a member that completes its body sends the last one.
func (m *member) sendChunked(w io.Writer, body string, size int, extension string) error {
	if err := m.writeHead(w, chunked); err != nil {
		return err
	}
	if err := writeChunks(w, m.text(body), size, extension); err != nil || !m.whole {
		return err
	}
	_, err := io.WriteString(w, lastChunk)
	return err
}

// TestHostOutlivesCrowdsOfCallers lets a crowd of each shape hold on to the host, each to a new one.
func TestHostOutlivesCrowdsOfCallers(t *testing.T) {
	for _, shape := range shapes {
		t.Run(shape.name, func(t *testing.T) {
			s := newSite(t)
			c := s.gather(s.callers, crowdSize, shape.send)
			s.requireOrdinaryRequest(2)
			s.requireWithinLimits()
			c.requireTrueRefusals()
		})
	}
}

// TestHostServesALargeRequestInCalm sends single requests of the largest legal size, each way.
func TestHostServesALargeRequestInCalm(t *testing.T) {
	s := newSite(t)
	for _, shape := range shapes[:5] {
		c := s.gather(s.callers, 1, shape.send)
		c.answers.Wait()
		if status := c.members[0].status; status != 200 {
			t.Errorf("%s: the answer is %d", shape.name, status)
		}
	}
}
