package standin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxFillerBytes bounds Answer-Bytes.
const maxFillerBytes = 64 << 20

// fillerChunkBytes is the size of one write of filler bytes.
const fillerChunkBytes = 32 << 10

// handleService runs a synchronous request on the backend server.
func (w *Worker) handleService(rw http.ResponseWriter, r *http.Request) {
	w.echoRequestID(rw, r)
	if !sleep(r.Context(), milliseconds(w.Faults().DelayMS)) {
		panic(http.ErrAbortHandler)
	}
	ctx := r.Context()
	if w.Faults().FinishAbandoned {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := &execution{
		Execution: Execution{
			RequestID:       r.Header.Get("Request-Id"),
			CallerRequestID: r.Header.Get("Caller-Request-Id"),
			Team:            r.Header.Get("Team"),
			LeaseID:         r.Header.Get("Lease-Id"),
		},
		stop: func(taskState) {
			cancel()
			// Ends reads of the request body and writes of the response that are under way.
			_ = http.NewResponseController(rw).SetReadDeadline(time.Now())
			_ = http.NewResponseController(rw).SetWriteDeadline(time.Now())
		},
	}
	w.mu.Lock()
	refused := w.beginLocked(e)
	w.mu.Unlock()
	if refused != "" {
		refuse(rw, r, refused)
		return
	}
	defer w.end(e)
	w.runService(ctx, rw, r, e)
}

// runService does the work and answers. Its slot is free before the client can have the whole response, so that a
// client that starts its next work then finds the slot.
func (w *Worker) runService(ctx context.Context, rw http.ResponseWriter, r *http.Request, e *execution) {
	faults := w.Faults()
	if faults.FailAll {
		w.end(e)
		http.Error(rw, "the backend server failed", http.StatusInternalServerError)
		return
	}
	hash := sha256.New()
	if _, err := io.Copy(hash, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	workMS, _ := strconv.ParseInt(r.Header.Get("Work-Ms"), 10, 64)
	if !sleep(ctx, milliseconds(workMS)) || !w.awaitResumed(ctx) {
		// The lease lapsed or the client has gone; in the first case the client must not see a complete response.
		panic(http.ErrAbortHandler)
	}
	body := hex.AppendEncode(nil, hash.Sum(nil))
	body = append(body, '\n')
	filler, _ := strconv.Atoi(r.Header.Get("Answer-Bytes"))
	filler = min(max(filler, 0), maxFillerBytes)
	size := len(body) + filler
	rw.Header().Set("Content-Type", "text/plain")
	rw.Header().Set("Content-Length", strconv.Itoa(size))
	send := size - 1
	if faults.Truncate {
		send = size / 2
	}
	out := io.MultiReader(bytes.NewReader(body), &fillerReader{left: filler})
	// The wrapped writer has no ReadFrom, so that the copy uses this buffer.
	buffer := make([]byte, fillerChunkBytes)
	if _, err := io.CopyBuffer(struct{ io.Writer }{rw}, io.LimitReader(out, int64(send)), buffer); err != nil {
		return
	}
	if faults.Truncate {
		_ = http.NewResponseController(rw).Flush()
		w.end(e)
		panic(http.ErrAbortHandler)
	}
	if !w.end(e) {
		// The lease lapsed while the response was sent.
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(rw, out)
}

// fillerReader returns the given number of bytes.
type fillerReader struct{ left int }

// Read implements io.Reader.
func (f *fillerReader) Read(p []byte) (int, error) {
	if f.left == 0 {
		return 0, io.EOF
	}
	n := min(len(p), f.left)
	for i := range p[:n] {
		p[i] = 'x'
	}
	f.left -= n
	return n, nil
}

// sleep waits for d. It returns false if ctx ended before.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
