// Package ingress bounds the memory and the number of connections that the clients of a listener can take, which serves
// HTTP or JSON-RPC. A Guard counts what each connection holds. When the connections together would exceed a limit, it
// sheds those that hold the most for the longest time without sending anything.
package ingress

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Errors of ReadBody.
var (
	// ErrTooLarge means that the body exceeds the limit for bodies.
	ErrTooLarge = errors.New("request body exceeds the limit")
	// ErrNoMemory means that the connections hold as much memory as they may, and that no other one could be shed.
	ErrNoMemory = errors.New("no memory is left for request bodies")
	// ErrTimeout means that the client did not send the body in time.
	ErrTimeout = errors.New("request body was not received in time")
)

const (
	// connectionBytes is what an open connection takes: the buffers of the HTTP server, the stacks of its goroutines and
	// the descriptor.
	connectionBytes = 20 << 10
	// http2ReceiveBytes bounds the bytes of bodies that the server holds for an HTTP/2 connection before handlers read
	// them. It is the smallest bound that the protocol allows.
	http2ReceiveBytes = 64 << 10
	// maxStreams is the number of requests at the same time on an HTTP/2 connection.
	maxStreams = 100
	// headerFactor is the ratio of the memory that a header takes to its bytes, until its fields are known.
	headerFactor = 8
	// headerFieldBytes is what a field of a header takes besides its text.
	headerFieldBytes = 128
	// shedMemoryFraction is the fraction of the memory limit that is freed at a time, so that victims are seldom chosen.
	shedMemoryFraction = 1.0 / 8
	// shedConnectionFraction is the fraction of the connections that are closed at a time.
	shedConnectionFraction = 1.0 / 32
	// discardTime is how long the server reads the rest of a body after the handler has returned. A client that is still
	// sending reads the response only then.
	discardTime = 500 * time.Millisecond
	// maxCloseWait bounds the wait of a body for the memory of connections that were shed.
	maxCloseWait      = time.Second
	retryAfterSeconds = 1
	// sheddingEndsAfter is the time without a shed connection after which shedding counts as ended.
	sheddingEndsAfter = 5 * time.Second
)

// Limits are the limits of a Guard. A limit of 0 means none.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Memory is the maximum number of bytes that all connections hold.
	Memory int64
	// BodyTime is the time that a client may take to send a request body or a JSON-RPC message.
	BodyTime time.Duration
}

// Guard enforces Limits on the connections of one listener. It is safe for concurrent use.
type Guard struct {
	limits Limits
	log    zerolog.Logger

	mu sync.Mutex // protects the fields below and the state of the connections
	// conns holds the connections and the requests that are counted apart; open is the number of the former.
	conns    map[*conn]struct{}
	open     int
	reserved int64
	// closing is the memory of the connections that were shed and that the server has not ended yet. someEnded is
	// closed and replaced when it becomes less.
	closing   int64
	someEnded chan struct{}
	// endShedding fires sheddingEndsAfter after the last shed connection; nil while nothing is shed.
	endShedding *time.Timer
}

// New returns a Guard.
func New(l Limits, log zerolog.Logger) *Guard {
	return &Guard{limits: l, log: log, conns: map[*conn]struct{}{}, someEnded: make(chan struct{})}
}

// Protect makes a server report the connections of Listener to the Guard, and bounds what the server itself holds of
// HTTP/2 requests. It must be called after the server's handler has been set and before the server serves.
func (g *Guard) Protect(s *http.Server) {
	s.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: http2ReceiveBytes,
		MaxReceiveBufferPerStream: http2ReceiveBytes,
	}
	s.ConnState = setState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(c))
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch c := connOf(r); {
		case c == nil:
			next.ServeHTTP(w, r)
		case r.ProtoMajor == 2:
			g.serveStream(next, w, r, c)
		default:
			g.serve(next, w, r, c)
		}
	})
}

// serve serves a request that c stands for.
func (g *Guard) serve(next http.Handler, w http.ResponseWriter, r *http.Request, c *conn) {
	if c.beginRequest(r) {
		next.ServeHTTP(w, r)
	} else {
		refuse(w)
	}
	if c.endRequest() {
		c.setReadDeadline(w, discardTime)
	}
}

// refuse responds to a request of which nothing has been done.
func refuse(w http.ResponseWriter) {
	counters.refusedRequests.Add(1)
	w.Header().Set("Connection", "close")
	w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Listener returns a listener whose connections the Guard counts.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// listener accepts connections for a Guard.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.guard.admit(c); guarded != nil {
			return guarded, nil
		}
		_ = c.Close()
	}
}

// admit counts a new connection. It returns nil if there is no room for it and no other connection can be shed.
func (g *Guard) admit(c net.Conn) *conn {
	g.mu.Lock()
	guarded := &conn{Conn: c, guard: g, progressAt: time.Now()}
	var victims []*conn
	if g.limits.Connections > 0 && g.open >= g.limits.Connections {
		victims = g.shedConnections()
	}
	admitted := g.limits.Connections == 0 || g.open < g.limits.Connections
	if admitted {
		g.conns[guarded] = struct{}{}
		g.open++
		counters.connections.Add(1)
		var more []*conn
		more, admitted = g.reserve(guarded, connectionBytes)
		victims = append(victims, more...)
	}
	if !admitted {
		g.remove(guarded)
		counters.refused.Add(1)
	}
	g.mu.Unlock()
	closeAll(victims)
	if !admitted {
		return nil
	}
	return guarded
}

// reserve adds bytes to what a connection holds. If that exceeds the limit, it sheds other connections, which the
// caller closes after it has released mu. It reports false, and reserves nothing, if that did not make enough room,
// or if the connection itself has been shed. Callers hold mu.
func (g *Guard) reserve(c *conn, bytes int64) (victims []*conn, ok bool) {
	if _, open := g.conns[c]; !open {
		return nil, false
	}
	if g.limits.Memory > 0 && bytes > 0 && g.reserved+bytes > g.limits.Memory {
		victims = g.shedMemory(c, bytes)
		if g.reserved+bytes > g.limits.Memory {
			return victims, false
		}
	}
	c.reserved += bytes
	g.reserved += bytes
	counters.reservedBytes.Add(bytes)
	return victims, true
}

// exceedsWithClosing reports whether the limit is exceeded with the memory of the connections that are still being
// ended. A handler keeps its buffer until it has noticed that its connection is closed. Callers hold mu.
func (g *Guard) exceedsWithClosing() bool {
	return g.limits.Memory > 0 && g.closing > 0 && g.reserved+g.closing > g.limits.Memory
}

// ended stops counting what a shed connection held, because the server has ended it. Callers hold mu.
func (g *Guard) ended(c *conn) {
	if c.closing == 0 {
		return
	}
	g.closing -= c.closing
	c.closing = 0
	close(g.someEnded)
	g.someEnded = make(chan struct{})
}

// shed forgets a connection that is to be closed, but counts what it holds until the server has ended it. Callers hold
// mu.
func (g *Guard) shed(c *conn) {
	c.closing = c.reserved
	g.closing += c.reserved
	g.remove(c)
}

// remove forgets a connection and what it holds. Callers hold mu.
func (g *Guard) remove(c *conn) {
	if _, open := g.conns[c]; !open {
		return
	}
	delete(g.conns, c)
	if !c.stream {
		g.open--
		counters.connections.Add(-1)
	}
	g.reserved -= c.reserved
	counters.reservedBytes.Add(-c.reserved)
	c.reserved = 0
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}
