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

// maxFillerBytes is the maximum of the Answer-Bytes header.
const maxFillerBytes = 64 << 20

// fillerChunkBytes is the size of the writes of the response body.
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
			// The deadlines abort reads of the request body and writes of the response that are in progress.
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

// runService does the work and writes the response. It frees the slot before the client can have received the whole
// response, so that a client that starts its next work at that moment finds the slot free.
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
		// The lease expired or the client has disconnected. If the lease expired, the client must not receive a
		// complete response.
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
	out := io.MultiReader(bytes.NewReader(body), &fillerReader{remaining: filler})
	// The struct hides the ReadFrom method of the writer, so that the copy uses this buffer.
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
		// The lease expired while the response was being sent.
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(rw, out)
}

// fillerReader reads the remaining number of filler bytes and then io.EOF.
type fillerReader struct{ remaining int }

// Read implements io.Reader.
func (f *fillerReader) Read(p []byte) (int, error) {
	if f.remaining == 0 {
		return 0, io.EOF
	}
	n := min(len(p), f.remaining)
	for i := range p[:n] {
		p[i] = 'x'
	}
	f.remaining -= n
	return n, nil
}

// sleep waits for d. It returns false if ctx ends before.
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
