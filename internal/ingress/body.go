package ingress

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// initialBodyBytes is the size of the first buffer for a body.
const initialBodyBytes = 4 << 10

// ReadBody reads the body of a request of at most limit bytes. It reserves memory as the bytes arrive, so that a body
// that is announced and not sent takes none. Without a Guard it only enforces the limit.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, limit)
	}
	c := connOf(r)
	b := buffer{conn: c, limit: limit}
	if c == nil {
		return b.readAll(r.Body)
	}
	c.setReadDeadline(w, c.guard.limits.BodyTime)
	body, err := b.readAll(r.Body)
	if err != nil {
		c.shrink(int64(cap(b.bytes)))
		return nil, err
	}
	c.received()
	c.setReadDeadline(w, 0)
	return body, nil
}

// Reserve reserves memory for a request until its end. It reports false if there is none.
func Reserve(r *http.Request, bytes int64) bool {
	c := connOf(r)
	return c == nil || c.grow(bytes)
}

// MarkReceived tells the Guard that the whole request has been received, so that its connection is not shed before the
// response. ReadBody does that by itself.
func MarkReceived(r *http.Request) {
	if c := connOf(r); c != nil {
		c.received()
	}
}

// setReadDeadline sets the time that the client may take to send what is missing of its request; 0 means no limit.
func (c *conn) setReadDeadline(w http.ResponseWriter, d time.Duration) {
	if c.guard.limits.BodyTime == 0 {
		return
	}
	deadline := time.Time{}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	// An error means that the connection is closed, which the next read reports.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// buffer is a body that is being received. The memory of its bytes is reserved for conn, unless that is nil.
type buffer struct {
	conn  *conn
	limit int64
	bytes []byte
}

// readAll reads from body until its end.
func (b *buffer) readAll(body io.Reader) ([]byte, error) {
	for {
		if err := b.makeRoom(); err != nil {
			return nil, err
		}
		n, err := body.Read(b.free())
		b.bytes = b.bytes[:len(b.bytes)+n]
		switch {
		case int64(len(b.bytes)) > b.limit:
			return nil, fmt.Errorf("%w of %d bytes", ErrTooLarge, b.limit)
		case err == io.EOF:
			return b.bytes, nil
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, ErrTimeout
		case err != nil:
			return nil, fmt.Errorf("read request body: %w", err)
		}
	}
}

// free returns the unused part of the buffer.
func (b *buffer) free() []byte { return b.bytes[len(b.bytes):cap(b.bytes)] }

// makeRoom doubles a full buffer, up to one byte above the limit.
func (b *buffer) makeRoom() error {
	if len(b.bytes) < cap(b.bytes) {
		return nil
	}
	size := min(max(2*int64(cap(b.bytes)), initialBodyBytes), b.limit+1)
	if b.conn != nil && !b.conn.grow(size) {
		counters.refusedRequests.Add(1)
		return ErrNoMemory
	}
	larger := make([]byte, len(b.bytes), size)
	copy(larger, b.bytes)
	if b.conn != nil {
		b.conn.shrink(int64(cap(b.bytes)))
	}
	b.bytes = larger
	return nil
}
