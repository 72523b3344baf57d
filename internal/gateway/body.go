package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync"

	"pollenlead/internal/ingress"
)

// maxReplayBytes is the maximum size of a request body that is buffered for a retry.
const maxReplayBytes = 64 << 10

// minReserveBytes is the least amount of memory that is reserved at a time for a buffered body.
const minReserveBytes = 4 << 10

var (
	errBodyTooLarge = errors.New("the request body exceeds the limit")
	errAttemptEnded = errors.New("the attempt has ended")
)

// replayableBody reads a caller's body once and provides it to successive attempts. The transport of an earlier attempt
// may still be reading while the next attempt runs. The lock is therefore held during reads, so that the bytes of such
// a read are buffered for the next attempt.
type replayableBody struct {
	mu        sync.Mutex
	request   *http.Request
	remaining int64
	buffered  []byte
	overflow  bool
	// reserved is the memory reserved for buffered.
	reserved int64
	err      error
	attempt  int
}

func newReplayableBody(r *http.Request, limit int64) *replayableBody {
	return &replayableBody{request: r, remaining: limit}
}

// nextAttempt returns a reader for a new attempt and invalidates the reader of the previous one. It reports false if
// the start of the body is no longer buffered.
func (b *replayableBody) nextAttempt() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, false
	}
	b.attempt++
	return &attemptReader{body: b, attempt: b.attempt}, true
}

// readError returns the error of reading the caller's body, or nil. io.EOF is not an error here.
func (b *replayableBody) readError() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

// attemptReader reads the body from its start for one attempt.
type attemptReader struct {
	body    *replayableBody
	attempt int
	offset  int
}

// Read implements io.Reader.
func (v *attemptReader) Read(p []byte) (int, error) {
	b := v.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.attempt != b.attempt {
		return 0, errAttemptEnded
	}
	if v.offset < len(b.buffered) {
		n := copy(p, b.buffered[v.offset:])
		v.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.request.Body.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		n, err = 0, errBodyTooLarge
	}
	if err == io.EOF {
		ingress.MarkReceived(b.request)
	}
	b.err = err
	b.appendBuffered(p[:n])
	v.offset += n
	return n, err
}

// appendBuffered adds p to the buffer, and drops the buffer once it would exceed maxReplayBytes or there is no memory
// for it. After that no further attempt can start, so the offset of the current one is not used any more. The caller
// must hold the lock.
func (b *replayableBody) appendBuffered(p []byte) {
	if b.overflow {
		return
	}
	size := len(b.buffered) + len(p)
	if size > maxReplayBytes || !b.reserve(size) {
		b.overflow, b.buffered = true, nil
		return
	}
	b.buffered = append(b.buffered, p...)
}

// reserve reserves memory for a buffer of a size, which may grow to twice its content. The caller must hold the lock.
func (b *replayableBody) reserve(size int) bool {
	missing := 2*int64(size) - b.reserved
	if missing <= 0 {
		return true
	}
	missing = max(missing, minReserveBytes)
	if !ingress.Reserve(b.request, missing) {
		return false
	}
	b.reserved += missing
	return true
}

// overflowed reports whether the start of the body is no longer buffered.
func (b *replayableBody) overflowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflow
}
