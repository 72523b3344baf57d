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

// The headers of a synchronous request.
const (
	headerLeaseID   = "Lease-Id"
	headerRequestID = "Request-Id"
)

// maxRefusalBytes is above the size of any refusal. A longer answer with status 409 is the backend server's own.
const maxRefusalBytes = 256

// stepDo names synchronous requests in errors.
const stepDo = "synchronous request"

// hopHeaders belong to the caller's own connection, so they are not sent on.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade",
}

// WrongRequestIDError says that a response has not the Request-Id of its request. It may belong to another request, so
// it is withheld, and it does not say whether the request ran.
type WrongRequestIDError struct {
	Instance string
	Sent     string
	Received string
}

// Error implements error.
func (e *WrongRequestIDError) Error() string {
	return fmt.Sprintf("instance %s answered request %q with Request-Id %q", e.Instance, e.Sent, e.Received)
}

// Is makes the error match platform.ErrNoAnswer.
func (e *WrongRequestIDError) Is(target error) bool { return target == platform.ErrOutcomeUnknown }

// errDotSegment says that a path could leave the service's part of the worker's paths.
var errDotSegment = errors.New(`the path has a "." or ".." segment`)

// Do implements platform.Worker. The request ends with ctx, also while the response's body is read. req.Path is in
// escaped form and relative to the service. The request's body may still be read for a short time after Do has returned.
func (c *Client) Do(ctx context.Context, req platform.ServiceRequest) (*http.Response, error) {
	r, err := c.newRequest(ctx, req)
	if err != nil {
		return nil, httpcall.Fail(platform.ErrNoEffect, err, stepDo, c.peer.Name)
	}
	resp, err := c.peer.Send(r, req.Body, stepDo)
	if err != nil {
		return nil, err
	}
	if received := resp.Header.Get(headerRequestID); received != req.RequestID {
		resp.Body.Close()
		wrong := &WrongRequestIDError{Instance: c.instance, Sent: req.RequestID, Received: received}
		return nil, httpcall.Fail(platform.ErrOutcomeUnknown, wrong, stepDo, c.peer.Name)
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
	for _, name := range hopHeaders {
		r.Header.Del(name)
	}
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header.Set("User-Agent", "") // otherwise net/http adds its own
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

// checkRefusal tells the worker's refusal from a response of the backend server with status 409.
func (c *Client) checkRefusal(resp *http.Response) (*http.Response, error) {
	mediaType, _, _ := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if mediaType != "application/json" || resp.ContentLength < 0 || resp.ContentLength > maxRefusalBytes {
		return resp, nil
	}
	start, err := io.ReadAll(resp.Body)
	if err != nil {
		resp.Body.Close()
		return nil, httpcall.Fail(platform.ErrOutcomeUnknown, err, stepDo, c.peer.Name)
	}
	if refusal := refusalOf(start); refusal != "" {
		resp.Body.Close()
		refused := &platform.RefusedError{Instance: c.instance, Refusal: refusal}
		return nil, httpcall.Fail(platform.ErrNoEffect, refused, stepDo, c.peer.Name)
	}
	resp.Body = readCloser{Reader: bytes.NewReader(start), Closer: resp.Body}
	return resp, nil
}

// readCloser is a body whose bytes have been read already.
type readCloser struct {
	io.Reader
	io.Closer
}
