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
	// defaultTimeout bounds a control call. A lease renewal that takes longer leaves too little of the lease's 10 s.
	defaultTimeout = 2 * time.Second
	// maxControlAnswerBytes bounds the answer to a control call; a task's result is in it in base64.
	maxControlAnswerBytes = 16 << 20
)

// Pool is a platform.Workers: it keeps one client per instance and address. It is safe for concurrent use.
type Pool struct {
	timeout time.Duration
	calls   *traffic.Counter

	mu      sync.Mutex
	clients map[clientKey]*Client
}

type clientKey struct{ instance, address string }

// NewPool returns a Pool whose control calls end after timeout; 0 means 2 s. Synchronous requests end with their context.
func NewPool(timeout time.Duration) *Pool { return NewCountedPool(timeout, nil) }

// NewCountedPool is NewPool with a counter of the bytes of control calls (leases and tasks), which may be nil. Synchronous
// requests share their connections and are not counted.
func NewCountedPool(timeout time.Duration, calls *traffic.Counter) *Pool {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	return &Pool{timeout: timeout, calls: calls, clients: map[clientKey]*Client{}}
}

// Worker implements platform.Workers. A changed maxConnections applies to calls that begin after it.
func (p *Pool) Worker(instance, address string, maxConnections int) platform.Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := clientKey{instance: instance, address: address}
	c := p.clients[key]
	if c == nil {
		c = newClient(instance, address, p.timeout)
		c.peer.Calls = p.calls
		p.clients[key] = c
	}
	c.setMaxConnections(maxConnections)
	return c
}

// Retain forgets the clients that keep does not name and closes their idle connections. A forgotten client still works.
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

// Client is a platform.Worker.
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

// setMaxConnections is called under the Pool's mutex. The limit of an http.Transport must not change while it is used,
// so a new limit takes a new transport. The old one closes each connection at the end of its exchange; until then both
// have connections, but a holder has at most one exchange per slot and may open eight connections per slot.
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

type refusalAnswer struct {
	Refused platform.Refusal `json:"refused"`
}

// refusalOf returns the refusal in the body of an answer with status 409, or "" if it has another form.
func refusalOf(body []byte) platform.Refusal {
	var answer refusalAnswer
	if json.Unmarshal(body, &answer) != nil {
		return ""
	}
	switch answer.Refused {
	case platform.RefusedLeaseLapsed, platform.RefusedSlotsFull, platform.RefusedConnectionsFull, platform.RefusedLeaving:
		return answer.Refused
	default:
		return ""
	}
}

// call makes a control call and turns a refusal into a RefusedError.
func (c *Client) call(ctx context.Context, step, method, path string, v, answer any) error {
	req := httpcall.Request{
		Step:      step,
		Method:    method,
		Path:      path,
		Timeout:   c.timeout,
		MaxAnswer: maxControlAnswerBytes,
	}
	err := c.peer.CallJSON(ctx, req, v, answer)
	var status *httpcall.StatusError
	if !errors.As(err, &status) || status.Status != http.StatusConflict {
		return err
	}
	refusal := refusalOf([]byte(status.Detail))
	if refusal == "" {
		return err
	}
	refused := &platform.RefusedError{Instance: c.instance, Refusal: refusal}
	return httpcall.Fail(platform.ErrNoEffect, refused, step, c.peer.Name)
}

// callTask is call for a path under a task. A task that the worker does not have gives platform.ErrUnknownTask.
func (c *Client) callTask(ctx context.Context, step, method, taskID, action string, v, answer any) error {
	err := c.call(ctx, step, method, "/tasks/"+url.PathEscape(taskID)+action, v, answer)
	var status *httpcall.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return httpcall.Fail(platform.ErrNoEffect, platform.ErrUnknownTask, step, c.peer.Name)
	}
	return err
}
