package intake

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"agatewinch/internal/errkind"
)

const (
	// skipTimeout limits the reading of a small body that is dropped.
	skipTimeout = time.Second
	// firstBytes is the first size of a body's buffer; it then doubles as the body arrives.
	firstBytes = 4 << 10
	// DefaultBodyIdle is the longest time for which a client may send nothing of its body, and
	// DefaultBodyTime the longest time for a whole body: both many times a usual request's deadline.
	DefaultBodyIdle = 15 * time.Second
	DefaultBodyTime = 30 * time.Second
)

// Body is the whole body of a request, in memory. It is an io.ReadCloser, so that it can replace the
// body of the request.
type Body struct {
	data []byte
	read int
	hold *Hold
}

// NewBody returns a body that is in memory already. Only what Grow adds counts towards the budget, which
// may be nil.
func NewBody(data []byte, budget *Budget) *Body {
	hold := budget.Open(func() {})
	hold.Finish()
	return &Body{data: data, hold: hold}
}

// Bytes returns the body without a copy.
func (b *Body) Bytes() []byte { return b.data }

// Read implements io.Reader.
func (b *Body) Read(p []byte) (int, error) {
	if b.read == len(b.data) {
		return 0, io.EOF
	}
	n := copy(p, b.data[b.read:])
	b.read += n
	return n, nil
}

// Close implements io.Closer. The body stays in memory until Release.
func (b *Body) Close() error { return nil }

// Grow accounts for n further bytes that are held for the request, such as its decoded form, but for no
// more in all than half of the budget, so that a single request can always be served. It returns the
// bytes that it has accounted for, and fails as Hold.Grow does.
func (b *Body) Grow(ctx context.Context, n int64) (int64, error) {
	n = b.hold.withinHalf(n)
	return n, b.hold.Grow(ctx, n)
}

// Shrink returns n bytes that Grow has accounted for.
func (b *Body) Shrink(n int64) { b.hold.Shrink(n) }

// Release ends the accounting when the request has been answered.
func (b *Body) Release() { b.hold.Release() }

// Reader reads bodies of requests into memory, within a budget and a time.
type Reader struct {
	Budget *Budget
	// Idle is the longest time without a byte of the body, and Total the longest time for the
	// whole body.
	Idle, Total time.Duration
}

// Read returns the body of a request. The caller must release it. It fails with errkind.TooLarge if
// the body is longer than limit bytes, before reading it if its length is announced; with
// errkind.Overloaded if the budget is spent or the client too slow; and with errkind.InvalidRequest if
// the client ends its body early. After an error the connection is closed, without reading the rest of
// the body; the caller writes the response.
func (rd *Reader) Read(w http.ResponseWriter, r *http.Request, limit int64) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return &Body{}, nil
	}
	control := http.NewResponseController(w)
	connection := connOf(r.Context())
	connection.setReading(true)
	defer connection.setReading(false)
	body, err := rd.read(control, r, limit)
	if err != nil {
		rd.close(control, w, r)
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{}) // unsupported only in tests
	return body, nil
}

// Skip prepares the refusal of a request whose body has not been read. A small body is read and
// dropped by the server, so that the connection can be used again; any other closes it.
func (rd *Reader) Skip(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	control := http.NewResponseController(w)
	if r.ContentLength >= 0 && r.ContentLength <= smallBytes {
		_ = control.SetReadDeadline(time.Now().Add(skipTimeout)) // unsupported only in tests
		return
	}
	rd.close(control, w, r)
}

// close makes the server close the connection after the response, without reading the rest of the body.
func (rd *Reader) close(control *http.ResponseController, w http.ResponseWriter, r *http.Request) {
	connOf(r.Context()).setRefused()
	w.Header().Set("Connection", "close")
	_ = control.SetReadDeadline(time.Unix(1, 0)) // ends the server's attempt to read the rest
}

func (rd *Reader) read(control *http.ResponseController, r *http.Request, limit int64) (*Body, error) {
	if r.ContentLength > limit {
		return nil, rd.tooLarge(limit)
	}
	hold := rd.Budget.Open(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	body := &Body{hold: hold}
	end := time.Now().Add(rd.Total)
	var err error
	for err == nil {
		if int64(len(body.data)) > limit {
			err = rd.tooLarge(limit)
			break
		}
		if err = body.makeRoom(r.Context(), sizeLimit(r.ContentLength, limit)); err == nil {
			err = rd.fill(control, r, body, end)
		}
	}
	if errors.Is(err, io.EOF) && hold.Finish() {
		return body, nil
	}
	evicted := hold.Evicted()
	hold.Release()
	return nil, rd.failure(err, evicted)
}

// sizeLimit returns the largest size of a body's buffer: its length if it is announced, and otherwise
// one byte more than the limit, by which a longer body is recognised.
func sizeLimit(announced, limit int64) int64 {
	if announced >= 0 {
		return announced
	}
	return limit + 1
}

// makeRoom doubles the buffer, up to size, if it is full.
func (b *Body) makeRoom(ctx context.Context, size int64) error {
	full := int64(cap(b.data))
	if int64(len(b.data)) < full || full == size {
		return nil
	}
	next := min(size, max(firstBytes, 2*full))
	if err := b.hold.Grow(ctx, next); err != nil {
		return err
	}
	data := make([]byte, len(b.data), next)
	copy(data, b.data)
	b.data = data
	b.hold.Shrink(full)
	return nil
}

// fill reads once into the free part of the buffer. The read fails if the client sends nothing for
// rd.Idle, or at end.
func (rd *Reader) fill(control *http.ResponseController, r *http.Request, b *Body, end time.Time) error {
	deadline := time.Now().Add(rd.Idle)
	if deadline.After(end) {
		deadline = end
	}
	_ = control.SetReadDeadline(deadline) // unsupported only in tests
	if b.hold.Evicted() {
		return os.ErrDeadlineExceeded // the deadline just set has replaced that of the eviction
	}
	n, err := r.Body.Read(b.data[len(b.data):cap(b.data)])
	b.data = b.data[:len(b.data)+n]
	if n > 0 {
		b.hold.NoteProgress()
	}
	return err
}

// ReadAll reads r to its end, and accounts for the data in hold. It fails with errkind.TooLarge if there
// are more than limit bytes, with an error of r, or as Hold.Grow does.
func ReadAll(ctx context.Context, r io.Reader, hold *Hold, limit int64) ([]byte, error) {
	body := &Body{hold: hold}
	for {
		if int64(len(body.data)) > limit {
			return nil, errkind.New(errkind.TooLarge, "the data exceeds %d bytes", limit)
		}
		if err := body.makeRoom(ctx, limit+1); err != nil {
			return nil, err
		}
		n, err := r.Read(body.data[len(body.data):cap(body.data)])
		body.data = body.data[:len(body.data)+n]
		hold.NoteProgress()
		switch {
		case errors.Is(err, io.EOF):
			return body.data, nil
		case err != nil:
			return nil, err
		}
	}
}

func (rd *Reader) tooLarge(limit int64) error {
	noteRefusal("too_large", nil)
	return errkind.New(errkind.TooLarge, "the request body exceeds %d bytes", limit)
}

// failure returns the error with which a request is refused whose body could not be read.
func (rd *Reader) failure(err error, evicted bool) error {
	var known *errkind.Error
	switch {
	case errors.As(err, &known):
		return err
	case evicted:
		return rd.Budget.refusal("evicted", "the request was held for too long while others waited")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return rd.Budget.refusal("slow", "the request body did not arrive in time")
	}
	noteRefusal("ended_early", nil)
	return errkind.New(errkind.InvalidRequest, "the request body ended early")
}
