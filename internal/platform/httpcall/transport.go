// Package httpcall makes the HTTP calls of the platform's clients. It tells calls that certainly had no effect from
// calls whose effect is unknown, and it never sends a request twice.
package httpcall

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"pollenlead/internal/platform/traffic"
)

const (
	// dialTimeout is far above the round trip between two availability zones, and short enough to try another peer.
	dialTimeout = time.Second
	// idleTimeout is shorter than the idle timeouts that are usual at servers: a request on a connection that the
	// server closes at that moment ends without a known outcome.
	idleTimeout = 30 * time.Second
	// bufferBytes is the size of the read buffer and of the write buffer of a connection.
	bufferBytes = 4 << 10
	// maxResponseHeaderBytes bounds the memory that a peer's response header can take.
	maxResponseHeaderBytes = 64 << 10
)

// NewTransport returns a transport with at most maxConnections connections per peer, and at least one. It follows no
// redirects, keeps no cookies, uses no proxy and does not decompress.
func NewTransport(maxConnections int) *http.Transport {
	return NewCountedTransport(maxConnections, nil)
}

// NewCountedTransport is NewTransport with a counter of the bytes of its connections, which may be nil.
func NewCountedTransport(maxConnections int, counter *traffic.Counter) *http.Transport {
	maxConnections = max(maxConnections, 1) // for http.Transport 0 means no limit
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &countedConn{Conn: counter.Conn(conn)}, nil
		},
		MaxConnsPerHost:        maxConnections,
		MaxIdleConnsPerHost:    maxConnections,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

// countedConn counts the writes that were begun, so that a failed call knows whether the peer may have got a part of it, and
// the bytes, so that a call knows its part of the connection's.
type countedConn struct {
	net.Conn
	writes atomic.Int64
	bytes  traffic.Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(0, int64(n))
	return n, err
}

// Write implements net.Conn. It counts before it writes, because a write that fails may have sent a part.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n), 0)
	return n, err
}

// CloseIdle closes the transport's idle connections.
func CloseIdle(t http.RoundTripper) {
	if c, ok := t.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
