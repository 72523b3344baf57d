package gateway

import (
	"errors"
	"io"
	"sync"
)

// maxReplayBytes is the maximum size of a request body that is buffered for a retry.
const maxReplayBytes = 64 << 10

var (
	errBodyTooLarge = errors.New("the request body exceeds the limit")
	errAttemptEnded = errors.New("the attempt has ended")
)

// replayableBody reads a caller's body once and provides it to successive attempts. The transport of an earlier attempt
// may still be reading while the next attempt runs. The lock is therefore held during reads, so that the bytes of such
// a read are buffered for the next attempt.
type replayableBody struct {
	mu        sync.Mutex
	src       io.Reader
	remaining int64
	buffered  []byte
	overflow  bool
	err       error
	attempt   int
}

func newReplayableBody(src io.Reader, limit int64) *replayableBody {
	return &replayableBody{src: src, remaining: limit}
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
	n, err := b.src.Read(p)
	if b.remaining -= int64(n); b.remaining < 0 {
		n, err = 0, errBodyTooLarge
	}
	b.err = err
	b.appendBuffered(p[:n])
	v.offset += n
	return n, err
}

// appendBuffered adds p to the buffer, and drops the buffer once it would exceed maxReplayBytes. After that no further
// attempt can start, so the offset of the current one is not used any more. The caller must hold the lock.
func (b *replayableBody) appendBuffered(p []byte) {
	if b.overflow || len(b.buffered)+len(p) > maxReplayBytes {
		b.overflow, b.buffered = true, nil
		return
	}
	b.buffered = append(b.buffered, p...)
}

// overflowed reports whether the start of the body is no longer buffered.
func (b *replayableBody) overflowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflow
}
