package httpcall

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/traffic"
)

// Peer is a service to which calls are made.
type Peer struct {
	Name      string // for errors, such as "log 127.0.0.1:4000"
	URL       string // scheme, host and port
	Transport http.RoundTripper
	// CallTraffic counts the bytes of Call and CallJSON, and not those of Send on the same connections. It may be nil.
	CallTraffic *traffic.Counter
}

// NewPeer returns a Peer for the service with the given name at a base URL. counter counts the bytes of its
// connections and may be nil.
func NewPeer(name, baseURL string, maxConnections int, counter *traffic.Counter) Peer {
	return Peer{Name: name + " " + baseURL, URL: baseURL, Transport: NewCountedTransport(maxConnections, counter)}
}

// Request describes a call with a small body.
type Request struct {
	Step             string // the operation that error texts name, such as "append"
	Method           string
	Path             string // in escaped form, with the query
	ContentType      string
	IfNoneMatch      string // the entity tag of the response that the caller has cached
	Body             []byte
	Timeout          time.Duration
	MaxResponseBytes int64 // limit on the response body
}

// Response is the complete response to a call.
type Response struct {
	Status int
	ETag   string
	Body   []byte
}

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
	Detail string // the response body, of which Error shows the start
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200q", e.Status, e.Detail) }

// ErrResponseTooLong is returned if a response body exceeds Request.MaxResponseBytes.
var ErrResponseTooLong = errors.New("response body too long")

// WrapError wraps the cause of a failed call with its kind (platform.ErrNoEffect or platform.ErrOutcomeUnknown) and
// adds the step and the name of the peer to the text.
func WrapError(kind, cause error, step, peer string) error {
	return eris.Wrapf(fmt.Errorf("%w: %w", kind, cause), "%s at %s", step, peer)
}

// Call sends a request and reads the whole response. Errors wrap platform.ErrNoEffect or platform.ErrOutcomeUnknown.
func (p *Peer) Call(ctx context.Context, req Request) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, req.Method, p.URL+req.Path, nil)
	if err != nil {
		return Response{}, WrapError(platform.ErrNoEffect, err, req.Step, p.Name)
	}
	if req.ContentType != "" {
		r.Header.Set("Content-Type", req.ContentType)
	}
	if req.IfNoneMatch != "" {
		r.Header.Set("If-None-Match", req.IfNoneMatch)
	}
	r.ContentLength = int64(len(req.Body))
	var ex exchange
	defer func() { p.CallTraffic.Add(ex.bytes()) }()
	resp, err := p.send(r, bytes.NewReader(req.Body), req.Step, &ex)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, req.MaxResponseBytes+1))
	if err == nil && int64(len(body)) > req.MaxResponseBytes {
		err = fmt.Errorf("%w: limit %d bytes", ErrResponseTooLong, req.MaxResponseBytes)
	}
	if err != nil {
		return Response{}, WrapError(platform.ErrOutcomeUnknown, err, req.Step, p.Name)
	}
	return Response{Status: resp.StatusCode, ETag: resp.Header.Get("ETag"), Body: body}, nil
}

// CallJSON sends v, if it is not nil, as JSON and decodes a response with status 200 into out, if that is not nil.
// Statuses other than 200 and 204 return a StatusError, which ClassifyStatus classifies.
func (p *Peer) CallJSON(ctx context.Context, req Request, v, out any) error {
	if v != nil {
		body, err := json.Marshal(v)
		if err != nil {
			return WrapError(platform.ErrNoEffect, err, req.Step, p.Name)
		}
		req.Body, req.ContentType = body, "application/json"
	}
	resp, err := p.Call(ctx, req)
	if err != nil {
		return err
	}
	if resp.Status == http.StatusNoContent {
		return nil
	}
	if resp.Status != http.StatusOK {
		cause := &StatusError{Status: resp.Status, Detail: string(resp.Body)}
		return WrapError(ClassifyStatus(resp.Status), cause, req.Step, p.Name)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(resp.Body, out); err != nil {
		return WrapError(platform.ErrOutcomeUnknown, err, req.Step, p.Name)
	}
	return nil
}

// ClassifyStatus returns platform.ErrNoEffect for the statuses with which the platform services reject a call before
// it has an effect. It returns platform.ErrOutcomeUnknown for all others, which may follow the effect, such as 504
// from a load balancer.
func ClassifyStatus(status int) error {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone,
		http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return platform.ErrNoEffect
	default:
		return platform.ErrOutcomeUnknown
	}
}

// Send sends a request at most once, with the given body, and returns the response as soon as its header has arrived.
// The body may be nil; its length is r.ContentLength, which is -1 if the length is unknown. Errors wrap
// platform.ErrNoEffect if nothing was written to a connection, and platform.ErrOutcomeUnknown otherwise.
//
// The transport may read the body for a short time after Send has returned.
func (p *Peer) Send(r *http.Request, body io.Reader, step string) (*http.Response, error) {
	return p.send(r, body, step, &exchange{})
}

func (p *Peer) send(r *http.Request, body io.Reader, step string, ex *exchange) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			ex.begin(c)
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.Body, r.GetBody = newSingleUseBody(body), nil
	resp, err := p.Transport.RoundTrip(r)
	if err == nil {
		return resp, nil
	}
	kind := platform.ErrOutcomeUnknown
	if !ex.wrote() {
		kind = platform.ErrNoEffect
	}
	return nil, WrapError(kind, err, step, p.Name)
}

// exchange is one request and its response on a connection. No other exchange uses the connection until it ends, so the
// counters of the connection since begin belong to it.
type exchange struct {
	conn           *countedConn
	writes         int64
	sent, received int64
}

func (u *exchange) begin(c *countedConn) {
	u.conn, u.writes, u.sent, u.received = c, c.writes.Load(), c.bytes.Sent(), c.bytes.Received()
}

// wrote reports whether a write was started.
func (u *exchange) wrote() bool { return u.conn != nil && u.conn.writes.Load() != u.writes }

// bytes returns the numbers of bytes sent and received so far.
func (u *exchange) bytes() (sent, received int64) {
	if u.conn == nil {
		return 0, 0
	}
	return u.conn.bytes.Sent() - u.sent, u.conn.bytes.Received() - u.received
}

// singleUseBody is a request body that makes http.Transport send the request at most once. The transport retries a
// request by itself when a reused connection breaks and it considers the request replayable: without a body, or with
// http.NoBody, this applies to GET, HEAD, OPTIONS and TRACE, and to every method with an Idempotency-Key or
// X-Idempotency-Key header. The first attempt may already have run. The transport never retries a request that has
// another body and no GetBody.
type singleUseBody struct {
	reader io.Reader
	closed atomic.Bool
}

func newSingleUseBody(reader io.Reader) *singleUseBody {
	if reader == nil {
		reader = bytes.NewReader(nil)
	}
	return &singleUseBody{reader: reader}
}

// Read implements io.Reader.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.reader.Read(p)
}

// Close implements io.Closer. It does not close the reader, which belongs to the caller.
func (b *singleUseBody) Close() error {
	b.closed.Store(true)
	return nil
}
