package ingress

import (
	"context"
	"net/http"
	"time"
)

// serveStream serves one request of an HTTP/2 connection. The requests of a connection run concurrently, so what each
// of them holds and what it is doing is counted apart, as if it had a connection of its own. To shed one of them closes
// the connection.
func (g *Guard) serveStream(next http.Handler, w http.ResponseWriter, r *http.Request, c *conn) {
	stream := g.openStream(c)
	defer g.closeStream(c, stream)
	g.serve(next, w, r.WithContext(context.WithValue(r.Context(), connKey{}, stream)), stream)
}

// openStream counts a request of an HTTP/2 connection, which itself is not shed while it has any.
func (g *Guard) openStream(c *conn) *conn {
	stream := &conn{Conn: c.Conn, guard: g, progressAt: time.Now(), stream: true}
	g.mu.Lock()
	defer g.mu.Unlock()
	c.streams++
	c.phase = phaseHandling
	c.release(c.reserved - connectionBytes) // its header is counted with the stream
	g.conns[stream] = struct{}{}
	return stream
}

// closeStream forgets a request whose handler has returned, and what it holds.
func (g *Guard) closeStream(c, stream *conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.remove(stream)
	g.ended(stream)
	c.streams--
	if c.streams == 0 {
		c.phase, c.progressAt = phaseResponse, time.Now()
	}
}
