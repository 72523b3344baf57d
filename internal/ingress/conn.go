package ingress

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"
)

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle means that no byte of a request has been received.
	phaseIdle phase = iota
	// phaseHeader means that the header of a request is being received.
	phaseHeader
	// phaseBody means that the body of a request is being received.
	phaseBody
	// phaseHandling means that a whole request has been received and is not yet answered.
	phaseHandling
	// phaseResponse means that the handler has returned: the response is being sent, and what is left of the body is
	// discarded.
	phaseResponse
)

// conn is a connection whose memory is counted.
type conn struct {
	net.Conn
	guard *Guard

	// The guard's mu protects the fields below.
	phase    phase
	reserved int64
	// closing is what the connection held when it was shed, until the server has ended it.
	closing int64
	// progressAt is when the client last sent something.
	progressAt time.Time
	// proven means that a whole JSON-RPC message has been received.
	proven bool
	// stream means that this is an HTTP/2 request that is counted apart from its connection.
	stream bool
	// streams is the number of its HTTP/2 requests that are being handled.
	streams int
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request, or nil if no Guard counts it.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// unwrap returns the counted connection below c, or nil.
func unwrap(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	guarded, _ := c.(*conn)
	return guarded
}

// setState follows the state of a connection that the HTTP server reports.
func setState(n net.Conn, s http.ConnState) {
	c := unwrap(n)
	if c == nil {
		return
	}
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	switch s {
	case http.StateActive:
		if c.phase == phaseIdle {
			c.phase = phaseHeader
		}
	case http.StateIdle:
		c.phase = phaseIdle
		c.release(c.reserved - connectionBytes)
	}
}

// Read implements net.Conn. It counts what the client sends before the fields of the header are known.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	g := c.guard
	g.mu.Lock()
	c.progressAt = time.Now()
	var victims []*conn
	ok := true
	if c.phase == phaseIdle || c.phase == phaseHeader {
		victims, ok = g.reserve(c, int64(n)*headerFactor)
	}
	g.mu.Unlock()
	closeAll(victims)
	if !ok {
		_ = c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.remove(c)
	c.guard.ended(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends the sending direction, as the HTTP server does before it drops a client that is still sending.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// beginRequest replaces the estimate for the header of a request by what its fields take. It reports false if there is
// no memory for them.
func (c *conn) beginRequest(r *http.Request) bool {
	header := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, v := range values {
			header += int64(len(name)+len(v)) + headerFieldBytes
		}
	}
	c.guard.mu.Lock()
	c.phase = phaseBody
	if r.Body == nil || r.Body == http.NoBody {
		c.phase = phaseHandling
	}
	missing := connectionBytes + header - c.reserved
	c.release(-missing)
	c.guard.mu.Unlock()
	return missing <= 0 || c.grow(missing)
}

// endRequest marks the request of the connection as handled. It returns whether a part of the body is still unread.
func (c *conn) endRequest() (unread bool) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	unread = c.phase == phaseBody
	c.phase, c.progressAt = phaseResponse, time.Now()
	return unread
}

// release subtracts bytes from what the connection holds; nothing if bytes is negative. Callers hold the guard's mu.
func (c *conn) release(bytes int64) {
	bytes = min(bytes, c.reserved)
	if _, open := c.guard.conns[c]; !open || bytes <= 0 {
		return
	}
	c.reserved -= bytes
	c.guard.reserved -= bytes
	counters.reservedBytes.Add(-bytes)
}

// grow reserves bytes for a body. It reports false if there is no memory for them. It waits until the server has ended
// the connections that were shed for them, at most for maxCloseWait.
func (c *conn) grow(bytes int64) bool {
	g := c.guard
	timeout := time.NewTimer(maxCloseWait)
	defer timeout.Stop()
	for {
		g.mu.Lock()
		victims, ok := g.reserve(c, bytes)
		ended := g.someEnded
		wait := ok && g.exceedsWithClosing()
		if wait {
			c.release(bytes)
		}
		g.mu.Unlock()
		closeAll(victims)
		if !wait {
			return ok
		}
		select {
		case <-ended:
		case <-timeout.C:
			return false
		}
	}
}

// shrink releases bytes of a body.
func (c *conn) shrink(bytes int64) {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.release(bytes)
}

// received marks the request of the connection as received, so that the connection is not shed before the response.
func (c *conn) received() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.phase = phaseHandling
}
