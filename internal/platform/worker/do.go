package worker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strings"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/httpcall"
)

// The request headers that the worker reads. It also returns the Request-Id in its response.
const (
	headerLeaseID   = "Lease-Id"
	headerRequestID = "Request-Id"
)

// maxRefusalBytes is above the size of any refusal. A longer response with status 409 comes from the backend server.
const maxRefusalBytes = 256

// serviceRequestStep is the step that errors of synchronous requests name.
const serviceRequestStep = "synchronous request"

// hopByHopHeaders apply only to the caller's own connection, so they are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// RequestIDMismatchError reports a response whose Request-Id differs from that of its request. Such a response may
// belong to another request, so it is discarded, and whether the request ran is unknown.
type RequestIDMismatchError struct {
	Instance string
	Sent     string
	Received string
}

// Error implements error.
func (e *RequestIDMismatchError) Error() string {
	return fmt.Sprintf("instance %s answered request %q with Request-Id %q", e.Instance, e.Sent, e.Received)
}

// Is reports whether target is platform.ErrOutcomeUnknown: the request may have run.
func (e *RequestIDMismatchError) Is(target error) bool { return target == platform.ErrOutcomeUnknown }

// errDotSegment is returned for a path that could leave the service and reach other paths of the worker.
var errDotSegment = errors.New(`the service path has a "." or ".." segment`)

// Do implements platform.Worker. The end of ctx aborts the request, also while the response body is read. req.Path is
// in escaped form and relative to the service. The request body may still be read for a short time after Do has
// returned.
func (c *Client) Do(ctx context.Context, req platform.ServiceRequest) (*http.Response, error) {
	r, err := c.newRequest(ctx, req)
	if err != nil {
		return nil, httpcall.WrapError(platform.ErrNoEffect, err, serviceRequestStep, c.peer.Name)
	}
	resp, err := c.peer.Send(r, req.Body, serviceRequestStep)
	if err != nil {
		return nil, err
	}
	if received := resp.Header.Get(headerRequestID); received != req.RequestID {
		resp.Body.Close()
		wrong := &RequestIDMismatchError{Instance: c.instance, Sent: req.RequestID, Received: received}
		return nil, httpcall.WrapError(platform.ErrOutcomeUnknown, wrong, serviceRequestStep, c.peer.Name)
	}
	if resp.StatusCode == http.StatusConflict {
		return c.checkRefusal(resp)
	}
	return resp, nil
}

func (c *Client) newRequest(ctx context.Context, req platform.ServiceRequest) (*http.Request, error) {
	target, err := c.serviceURL(req)
	if err != nil {
		return nil, err
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, target.String(), nil)
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		r.Header = req.Header
	}
	for _, name := range hopByHopHeaders {
		r.Header.Del(name)
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header.Set("User-Agent", "") // prevents the default of net/http
	}
	r.Header.Set(headerLeaseID, req.LeaseID)
	r.Header.Set(headerRequestID, req.RequestID)
	r.ContentLength = req.ContentLength
	return r, nil
}

func (c *Client) serviceURL(req platform.ServiceRequest) (*url.URL, error) {
	escaped := "/services/" + url.PathEscape(req.Service) + "/" + strings.TrimPrefix(req.Path, "/")
	path, err := url.PathUnescape(escaped)
	if err != nil {
		return nil, err
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return nil, errDotSegment
		}
	}
	return &url.URL{Scheme: "http", Host: c.address, Path: path, RawPath: escaped, RawQuery: req.Query}, nil
}

// checkRefusal handles a response with status 409. It returns a RefusedError for a refusal by the worker, and
// otherwise the response, which comes from the backend server.
func (c *Client) checkRefusal(resp *http.Response) (*http.Response, error) {
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if mediaType != "application/json" || resp.ContentLength < 0 || resp.ContentLength > maxRefusalBytes {
		return resp, nil
	}
	start, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Body.Close()
		return nil, httpcall.WrapError(platform.ErrOutcomeUnknown, err, serviceRequestStep, c.peer.Name)
	}
	if refusal := parseRefusal(start); refusal != "" {
		resp.Body.Close()
		refused := &platform.RefusedError{Instance: c.instance, Refusal: refusal}
		return nil, httpcall.WrapError(platform.ErrNoEffect, refused, serviceRequestStep, c.peer.Name)
	}
	resp.Body = bufferedBody{Reader: bytes.NewReader(start), Closer: resp.Body}
	return resp, nil
}

// bufferedBody is a response body of which the bytes were already read into memory.
type bufferedBody struct {
	io.Reader
	io.Closer
}
