package gateway

import (
	"errors"
	"io"
	"sync"
)

// replayBytes is the most that is kept of a request body for a retry.
const replayBytes = 64 << 10

var (
	errBodyTooLarge = errors.New("the request body exceeds the limit")
	errAttemptEnded = errors.New("the attempt has ended")
)

// replayBody reads a caller's body once and gives it to one attempt after the other. An earlier attempt's transport may
// still read while the next attempt runs, so the lock is held during reads: what such a read takes is kept for the next.
type replayBody struct {
	mu       sync.Mutex
	src      io.Reader
	left     int64
	kept     []byte
	overflow bool
	err      error
	attempt  int
}

func newReplayBody(src io.Reader, limit int64) *replayBody { return &replayBody{src: src, left: limit} }

// next starts an attempt and ends the one before. It reports false if the start of the body is no longer kept.
func (b *replayBody) next() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, false
	}
	b.attempt++
	return &bodyView{b: b, attempt: b.attempt}, true
}

// failure returns the error of the caller's side, if reading the body failed.
func (b *replayBody) failure() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == io.EOF {
		return nil
	}
	return b.err
}

type bodyView struct {
	b       *replayBody
	attempt int
	at      int
}

// Read implements io.Reader.
func (v *bodyView) Read(p []byte) (int, error) {
	b := v.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if v.attempt != b.attempt {
		return 0, errAttemptEnded
	}
	if v.at < len(b.kept) {
		n := copy(p, b.kept[v.at:])
		v.at += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.src.Read(p)
	if b.left -= int64(n); b.left < 0 {
		n, err = 0, errBodyTooLarge
	}
	b.err = err
	b.keep(p[:n])
	v.at += n
	return n, err
}

// keep is called with the lock held. After an overflow only one attempt can exist, so its position no longer matters.
func (b *replayBody) keep(p []byte) {
	if b.overflow || len(b.kept)+len(p) > replayBytes {
		b.overflow, b.kept = true, nil
		return
	}
	b.kept = append(b.kept, p...)
}

// overflowed reports whether the start of the body is no longer kept.
func (b *replayBody) overflowed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overflow
}
