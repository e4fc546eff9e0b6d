package hostile_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"agatewinch/internal/core/job"
)

const (
	// writeTimeout is how long a member of the crowd waits for the host to take its bytes.
	writeTimeout = 10 * time.Second
	// settleTime is how long a crowd holds on before the checks, so that the host has accepted all of it.
	settleTime = time.Second
	// completers is how many members there are to each one that completes its body.
	completers = 10
	largeChunk = 65000
	// smallChunks is how many chunks of one byte a member sends.
	smallChunks = 200000
)

// member is one connection of the crowd and the answer that it received, if any.
type member struct {
	id     string
	conn   net.Conn
	whole  bool
	status int
	after  string
}

// crowd is a number of connections to one address that stay open until the test ends.
type crowd struct {
	site    *site
	members []*member
	answers sync.WaitGroup
}

// gather opens the connections of a crowd, all at once, and lets each send what send writes. It
// returns once all have sent what the host took.
func (s *site) gather(address string, size int, send func(m *member, w io.Writer) error) *crowd {
	c := &crowd{site: s}
	var sending sync.WaitGroup
	for n := range size {
		m := &member{id: fmt.Sprintf("%016x", 0xc0de0000+n), whole: n%completers == 0}
		s.audit.AddJob(&job.Job{ID: m.id, Payload: "10", Steps: []job.Step{{Count: 1, Need: job.Resources{CPU: 1, MemMB: 1}}}})
		c.members = append(c.members, m)
		sending.Go(func() {
			conn, err := net.DialTimeout("tcp", address, patience)
			if err != nil {
				s.t.Errorf("a member of the crowd is missing: %v", err)
				return
			}
			m.conn = conn
			c.answers.Go(m.readAnswer)
			_ = conn.SetWriteDeadline(time.Now().Add(writeTimeout))
			w := bufio.NewWriterSize(conn, largeChunk)
			if send(m, w) == nil {
				_ = w.Flush() // the host may close the connection
			}
		})
	}
	sending.Wait()
	time.Sleep(settleTime)
	s.t.Cleanup(c.leave)
	return c
}

// readAnswer keeps the answer to a member's request; there is none if the host closes the connection.
func (m *member) readAnswer() {
	resp, err := http.ReadResponse(bufio.NewReader(m.conn), nil)
	if err != nil {
		return
	}
	m.status, m.after = resp.StatusCode, resp.Header.Get("Retry-After")
	_ = resp.Body.Close()
}

func (c *crowd) leave() {
	for _, m := range c.members {
		if m.conn != nil {
			_ = m.conn.Close()
		}
	}
	c.answers.Wait()
}

// requireTrueRefusals ends the crowd and checks its answers: no unfinished body is accepted, a refusal
// for load says when to return, and no refused job has run.
func (c *crowd) requireTrueRefusals() {
	c.site.t.Helper()
	c.leave()
	count := map[int]int{}
	for _, m := range c.members {
		count[m.status]++
		refused := m.status >= http.StatusBadRequest && m.status < http.StatusInternalServerError || m.status == http.StatusServiceUnavailable
		if m.status/100 == 2 && !m.whole {
			c.site.t.Errorf("job %s was accepted without the end of its body", m.id)
		}
		if refused && c.site.audit.Started(m.id) {
			c.site.t.Errorf("job %s was refused with %d and ran", m.id, m.status)
		}
		if seconds, err := strconv.Atoi(m.after); (m.status == http.StatusServiceUnavailable || m.status == http.StatusTooManyRequests) && (err != nil || seconds < 1) {
			c.site.t.Errorf("job %s was refused with %d and Retry-After %q", m.id, m.status, m.after)
		}
	}
	c.site.t.Logf("answers by status, 0 for none: %v", count)
}

// legalBody returns a job of exactly size bytes.
func legalBody(size int) string {
	const start, end = `{"spec":"10","steps":[{"count":1,"cpu":1,"mem_mb":1}]`, `}`
	return start + strings.Repeat(" ", size-len(start)-len(end)) + end
}

// text returns the body that a member sends: all but its last byte, unless the member completes it.
func (m *member) text(body string) string {
	if m.whole {
		return body
	}
	return body[:len(body)-1]
}

func (m *member) writeHead(w io.Writer, framing string) error {
	_, err := fmt.Fprintf(w, "POST /jobs/%s HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nDeadline-Ms: 3000\r\n%s\r\n\r\n", m.id, hostHeader, key, framing)
	return err
}

// writePieces writes text in pieces of the given size with a pause after each.
func writePieces(w io.Writer, text string, size int, pause time.Duration) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := io.WriteString(w, text[:n]); err != nil {
			return err
		}
		if b, ok := w.(*bufio.Writer); ok && pause > 0 {
			if err := b.Flush(); err != nil {
				return err
			}
			time.Sleep(pause)
		}
		text = text[n:]
	}
	return nil
}

// writeChunks writes text in chunks of the given size, each with the given extension.
func writeChunks(w io.Writer, text string, size int, extension string) error {
	for len(text) > 0 {
		n := min(size, len(text))
		if _, err := fmt.Fprintf(w, "%x%s\r\n%s\r\n", n, extension, text[:n]); err != nil {
			return err
		}
		text = text[n:]
	}
	return nil
}
