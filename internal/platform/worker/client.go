// Package worker is the HTTP client of the platform's workers.
package worker

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"pollenlead/internal/platform"
	"pollenlead/internal/platform/httpcall"
	"pollenlead/internal/platform/traffic"
)

const (
	// defaultTimeout limits the duration of a control call. A lease renewal that takes longer leaves too little of the
	// lease's 10 s.
	defaultTimeout = 2 * time.Second
	// maxControlResponseBytes limits the response to a control call, which contains a task's result in base64.
	maxControlResponseBytes = 16 << 20
)

// Pool implements platform.Workers with one client per instance and address. It is safe for concurrent use.
type Pool struct {
	timeout        time.Duration
	controlTraffic *traffic.Counter

	mu      sync.Mutex
	clients map[clientKey]*Client
}

type clientKey struct{ instance, address string }

// NewPool returns a Pool whose control calls time out after timeout; 0 means 2 s. Synchronous requests end only with
// their context.
func NewPool(timeout time.Duration) *Pool { return NewCountedPool(timeout, nil) }

// NewCountedPool is like NewPool, and controlTraffic counts the bytes of control calls (leases and tasks). It may be
// nil. Synchronous requests share the connections of control calls and are not counted.
func NewCountedPool(timeout time.Duration, controlTraffic *traffic.Counter) *Pool {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Pool{timeout: timeout, controlTraffic: controlTraffic, clients: map[clientKey]*Client{}}
}

// Worker implements platform.Workers. A changed maxConnections applies to the calls that start afterwards.
func (p *Pool) Worker(instance, address string, maxConnections int) platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := clientKey{instance: instance, address: address}
	c := p.clients[key]
	if c == nil {
		c = newClient(instance, address, p.timeout)
		c.peer.CallTraffic = p.controlTraffic
		p.clients[key] = c
	}
	c.setMaxConnections(maxConnections)
	return c
}

// Retain removes the clients for which keep returns false and closes their idle connections. A removed client remains
// usable.
func (p *Pool) Retain(keep func(instance, address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, c := range p.clients {
		if keep(key.instance, key.address) {
			continue
		}
		delete(p.clients, key)
		c.transport.Load().CloseIdleConnections()
	}
}

// Client implements platform.Worker. It is safe for concurrent use.
type Client struct {
	instance string
	address  string
	peer     httpcall.Peer
	timeout  time.Duration

	transport      atomic.Pointer[http.Transport]
	maxConnections int // protected by the Pool's mutex
}

func newClient(instance, address string, timeout time.Duration) *Client {
	c := &Client{instance: instance, address: address, timeout: timeout}
	c.peer = httpcall.Peer{Name: "worker " + instance, URL: "http://" + address, Transport: c}
	return c
}

// setMaxConnections sets the connection limit. The caller holds the Pool's mutex. The limit of an http.Transport must
// not change while it is in use, so a new limit requires a new transport. The old transport closes each connection at
// the end of its exchange. Until then both have open connections, which stays within the worker's limit: a holder has
// at most one exchange per slot and may open eight connections per slot.
func (c *Client) setMaxConnections(n int) {
	old := c.transport.Load()
	if old != nil && c.maxConnections == n {
		return
	}
	c.maxConnections = n
	c.transport.Store(httpcall.NewTransport(n))
	if old != nil {
		old.CloseIdleConnections()
	}
}

// RoundTrip implements http.RoundTripper with the current transport.
func (c *Client) RoundTrip(r *http.Request) (*http.Response, error) {
	return c.transport.Load().RoundTrip(r)
}

type refusalResponse struct {
	Refused platform.Refusal `json:"refused"`
}

// parseRefusal returns the refusal in the body of a response with status 409, or "" if the body is not a refusal.
func parseRefusal(body []byte) platform.Refusal {
	var response refusalResponse
	if json.Unmarshal(body, &response) != nil {
		return ""
	}
	switch response.Refused {
	case platform.RefusedLeaseLapsed, platform.RefusedSlotsFull, platform.RefusedConnectionsFull, platform.RefusedLeaving:
		return response.Refused
	default:
		return ""
	}
}

// call makes a control call. A refusal by the worker is returned as a RefusedError.
func (c *Client) call(ctx context.Context, step, method, path string, v, out any) error {
	req := httpcall.Request{
		Step:             step,
		Method:           method,
		Path:             path,
		Timeout:          c.timeout,
		MaxResponseBytes: maxControlResponseBytes,
	}
	err := c.peer.CallJSON(ctx, req, v, out)
	var status *httpcall.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return err
	}
	refusal := parseRefusal([]byte(status.Detail))
	if refusal == "" {
		return err
	}
	refused := &platform.RefusedError{Instance: c.instance, Refusal: refusal}
	return httpcall.WrapError(platform.ErrNoEffect, refused, step, c.peer.Name)
}

// callTask is like call, for a path below a task. It returns platform.ErrUnknownTask if the worker does not have the
// task.
func (c *Client) callTask(ctx context.Context, step, method, taskID, action string, v, out any) error {
	err := c.call(ctx, step, method, "/tasks/"+url.PathEscape(taskID)+action, v, out)
	var status *httpcall.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return httpcall.WrapError(platform.ErrNoEffect, platform.ErrUnknownTask, step, c.peer.Name)
	}
	return err
}
