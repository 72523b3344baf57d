// Package traffic counts the bytes that network connections send and receive.
package traffic

import (
	"net"
	"sync/atomic"
)

// Counter counts the bytes of a group of connections. It is safe for concurrent use. Add, Conn and Listener accept a
// nil Counter, which counts nothing.
type Counter struct {
	sent, received atomic.Int64
}

// Sent returns the number of bytes written.
func (c *Counter) Sent() int64 { return c.sent.Load() }

// Received returns the number of bytes read.
func (c *Counter) Received() int64 { return c.received.Load() }

// Add adds numbers of bytes to the counter.
func (c *Counter) Add(sent, received int64) {
	if c == nil {
		return
	}
	c.sent.Add(sent)
	c.received.Add(received)
}

// Conn wraps a connection so that its bytes are counted.
func (c *Counter) Conn(conn net.Conn) net.Conn {
	if c == nil {
		return conn
	}
	return &countedConn{Conn: conn, counter: c}
}

// Listener wraps a listener so that the bytes of its connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener {
	if c == nil {
		return l
	}
	return &countedListener{Listener: l, counter: c}
}

type countedConn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(0, int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Add(int64(n), 0)
	return n, err
}

type countedListener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.Conn(conn), nil
}
