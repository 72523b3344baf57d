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

// Peer is the other end of calls.
type Peer struct {
	Name      string // for errors, such as "log 127.0.0.1:4000"
	URL       string // scheme, host and port
	Transport http.RoundTripper
	// Calls counts the bytes of Call and CallJSON, also on connections that carry Send as well. It may be nil.
	Calls *traffic.Counter
}

// NewPeer returns the service with the given name at a base URL. counter counts the bytes of its connections and may be nil.
func NewPeer(name, baseURL string, maxConnections int, counter *traffic.Counter) Peer {
	return Peer{Name: name + " " + baseURL, URL: baseURL, Transport: NewCountedTransport(maxConnections, counter)}
}

// Request is a call with a small body.
type Request struct {
	Step        string // for errors, such as "append"
	Method      string
	Path        string // with the query, in escaped form
	ContentType string
	IfNoneMatch string // the entity tag of an answer that the caller has
	Body        []byte
	Timeout     time.Duration
	MaxAnswer   int64 // bytes of the answer's body
}

// Answer is the complete answer to a call.
type Answer struct {
	Status int
	ETag   string
	Body   []byte
}

// StatusError says that a peer answered with a status that the call does not expect.
type StatusError struct {
	Status int
	Detail string // the start of the answer's body
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %.200q", e.Status, e.Detail) }

// ErrAnswerTooLong says that the answer has more bytes than the call allows.
var ErrAnswerTooLong = errors.New("the answer is too long")

// Fail wraps the cause of a failed call with its kind (platform.ErrNotSent or platform.ErrNoAnswer), step and peer.
func Fail(kind, cause error, step, peer string) error {
	return eris.Wrapf(fmt.Errorf("%w: %w", kind, cause), "%s at %s", step, peer)
}

// Call sends a request and reads the whole answer. Errors wrap platform.ErrNotSent or platform.ErrNoAnswer.
func (p *Peer) Call(ctx context.Context, req Request) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, req.Method, p.URL+req.Path, nil)
	if err != nil {
		return Answer{}, Fail(platform.ErrNoEffect, err, req.Step, p.Name)
	}
	if req.ContentType != "" {
		r.Header.Set("Content-Type", req.ContentType)
	}
	if req.IfNoneMatch != "" {
		r.Header.Set("If-None-Match", req.IfNoneMatch)
	}
	r.ContentLength = int64(len(req.Body))
	var use connectionUse
	defer func() { p.Calls.Add(use.bytes()) }()
	resp, err := p.send(r, bytes.NewReader(req.Body), req.Step, &use)
	if err != nil {
		return Answer{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, req.MaxAnswer+1))
	if err == nil && int64(len(body)) > req.MaxAnswer {
		err = ErrAnswerTooLong
	}
	if err != nil {
		return Answer{}, Fail(platform.ErrOutcomeUnknown, err, req.Step, p.Name)
	}
	return Answer{Status: resp.StatusCode, ETag: resp.Header.Get("ETag"), Body: body}, nil
}

// CallJSON sends v, if it is not nil, as JSON and decodes an answer with status 200 into answer, if that is not nil.
// Other statuses than 200 and 204 are a StatusError, classified by their status.
func (p *Peer) CallJSON(ctx context.Context, req Request, v, answer any) error {
	if v != nil {
		body, err := json.Marshal(v)
		if err != nil {
			return Fail(platform.ErrNoEffect, err, req.Step, p.Name)
		}
		req.Body, req.ContentType = body, "application/json"
	}
	a, err := p.Call(ctx, req)
	if err != nil {
		return err
	}
	if a.Status == http.StatusNoContent {
		return nil
	}
	if a.Status != http.StatusOK {
		return Fail(KindOfStatus(a.Status), &StatusError{Status: a.Status, Detail: string(a.Body)}, req.Step, p.Name)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(a.Body, answer); err != nil {
		return Fail(platform.ErrOutcomeUnknown, err, req.Step, p.Name)
	}
	return nil
}

// KindOfStatus classifies an unexpected status of the platform's own interfaces: with these statuses they refuse a call
// before it has an effect. Any other status may come after the effect, such as 504 from a load balancer.
func KindOfStatus(status int) error {
	switch status {
	case http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone,
		http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return platform.ErrNoEffect
	default:
		return platform.ErrOutcomeUnknown
	}
}

// Send sends a request once, with the body, and returns the response as soon as its header has arrived. The body may be
// nil; its length is r.ContentLength, and -1 if it is not known. Errors wrap platform.ErrNotSent if nothing was written
// to a connection, otherwise platform.ErrNoAnswer.
//
// The transport may read the body for a short time after Send has returned.
func (p *Peer) Send(r *http.Request, body io.Reader, step string) (*http.Response, error) {
	return p.send(r, body, step, &connectionUse{})
}

func (p *Peer) send(r *http.Request, body io.Reader, step string, use *connectionUse) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*countedConn); ok {
			use.begin(c)
		}
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	r.Body, r.GetBody = newOnceBody(body), nil
	resp, err := p.Transport.RoundTrip(r)
	if err == nil {
		return resp, nil
	}
	kind := platform.ErrOutcomeUnknown
	if !use.wrote() {
		kind = platform.ErrNoEffect
	}
	return nil, Fail(kind, err, step, p.Name)
}

// connectionUse is one exchange on a connection. An exchange has its connection for itself until it ends.
type connectionUse struct {
	conn           *countedConn
	writes         int64
	sent, received int64
}

func (u *connectionUse) begin(c *countedConn) {
	u.conn, u.writes, u.sent, u.received = c, c.writes.Load(), c.bytes.Sent(), c.bytes.Received()
}

// wrote reports whether a write was begun.
func (u *connectionUse) wrote() bool { return u.conn != nil && u.conn.writes.Load() != u.writes }

// bytes returns what was sent and received so far.
func (u *connectionUse) bytes() (sent, received int64) {
	if u.conn == nil {
		return 0, 0
	}
	return u.conn.bytes.Sent() - u.sent, u.conn.bytes.Received() - u.received
}

// onceBody is a request body that makes http.Transport send the request at most once. The transport repeats a request on
// its own when a reused connection breaks and it thinks that it may: without a body, or with http.NoBody, it does so for
// GET, HEAD, OPTIONS and TRACE and for every method with an Idempotency-Key or X-Idempotency-Key header. The first
// attempt may have run by then. It never repeats a request that has another body and no GetBody.
type onceBody struct {
	from   io.Reader
	closed atomic.Bool
}

func newOnceBody(from io.Reader) *onceBody {
	if from == nil {
		from = bytes.NewReader(nil)
	}
	return &onceBody{from: from}
}

// Read implements io.Reader.
func (b *onceBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, http.ErrBodyReadAfterClose
	}
	return b.from.Read(p)
}

// Close implements io.Closer. The reader belongs to the caller and stays open.
func (b *onceBody) Close() error {
	b.closed.Store(true)
	return nil
}
