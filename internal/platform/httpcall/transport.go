// Package httpcall makes the HTTP calls of the platform clients. It distinguishes calls that certainly had no effect
// from calls whose outcome is unknown, and it never sends a request twice.
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
	// dialTimeout is far above the round trip between two availability zones, and short enough that a caller can try
	// another peer.
	dialTimeout = time.Second
	// idleTimeout is shorter than the usual idle timeouts of servers: a request on a connection that the server
	// closes at the same moment has an unknown outcome.
	idleTimeout = 30 * time.Second
	// bufferBytes is the size of the read buffer and of the write buffer of each connection.
	bufferBytes = 4 << 10
	// maxResponseHeaderBytes limits the memory that the header of a response can take.
	maxResponseHeaderBytes = 64 << 10
)

// NewTransport returns a transport that opens at most maxConnections connections per peer; values below 1 mean 1. It
// follows no redirects, stores no cookies, uses no proxy and does not decompress responses.
func NewTransport(maxConnections int) *http.Transport {
	return NewCountedTransport(maxConnections, nil)
}

// NewCountedTransport is like NewTransport, and counter counts the bytes of its connections. counter may be nil.
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

// countedConn counts the writes that were started and the bytes. The writes show whether the peer may have received a
// part of a failed call, and the bytes are attributed to the calls that share the connection.
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

// Write implements net.Conn. It counts the write before it starts, because a failed write may have sent a part of the
// data.
func (c *countedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n), 0)
	return n, err
}

// CloseIdle closes the idle connections of a transport that supports this.
func CloseIdle(t http.RoundTripper) {
	if c, ok := t.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}
