package ingress

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

const (
	testTimeout = 20 * time.Second
	bodyLimit   = 64 << 10
)

// server is an HTTP server behind a Guard. Its handler reads the body, waits for release, and reports the error of the
// body as the status of the response.
type server struct {
	*Guard
	address string
	handled chan struct{} // receives a value when a body has been read
	release chan struct{} // closed at the end of the test if nil
}

func start(t *testing.T, l Limits, release chan struct{}) *server {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	s := &server{
		Guard: New(l, zerolog.Nop()), address: socket.Addr().String(), handled: make(chan struct{}, 100), release: release,
	}
	web := &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: testTimeout}
	s.Protect(web)
	go func() { _ = web.Serve(s.Listener(socket)) }()
	t.Cleanup(func() { _ = web.Close() })
	return s
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	_, err := ReadBody(w, r, bodyLimit)
	switch {
	case err == nil:
	case errors.Is(err, ErrTimeout):
		w.WriteHeader(http.StatusRequestTimeout)
	case errors.Is(err, ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrNoMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
	s.handled <- struct{}{}
	if s.release != nil && r.URL.Path == "/wait" {
		<-s.release
	}
}

// client is a connection that sends raw bytes.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, s *server) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	return &client{c, bufio.NewReader(c)}
}

// send sends a request whose body announces size bytes and has sent of them.
func (c *client) send(path string, size, sent int) {
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", path, size,
		strings.Repeat("x", sent))
}

// closed and silent are what status returns without a response.
const (
	closed = 0
	silent = -1
)

// status returns the status of the next response, closed if the connection is closed before it, or silent if neither
// happens.
func (c *client) status() int {
	r, err := http.ReadResponse(c.reader, nil)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return silent
	case err != nil:
		return closed
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// await waits until a condition on the state of the Guard holds.
func (s *server) await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		ok := holds()
		s.mu.Unlock()
		if ok {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("not reached: " + what)
		}
	}
}

// TestStalledBodyGivesWay guards against bodies that stop before their end and keep the memory that other requests
// need.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	// A body takes up to one and a half times its size while its buffer grows, so the first ordinary one does not fit.
	s := start(t, Limits{Memory: 2*connectionBytes + 2*bodyLimit}, nil)
	stalled := dial(t, s)
	stalled.send("/", bodyLimit, bodyLimit-1)
	s.await(t, "the stalled body is reserved", func() bool { return s.reserved > bodyLimit })
	for range 4 {
		ordinary := dial(t, s)
		ordinary.send("/", bodyLimit, bodyLimit)
		is.Equal(ordinary.status(), http.StatusOK)
		is.NoErr(ordinary.Close())
	}
	is.Equal(stalled.status(), closed)
}

// TestRequestInProgressIsNotShed guards against a received request whose connection is closed before its response.
func TestRequestInProgressIsNotShed(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := start(t, Limits{Memory: 3*connectionBytes + 2*bodyLimit}, release)
	waiting := dial(t, s)
	waiting.send("/wait", bodyLimit, bodyLimit)
	<-s.handled
	other := dial(t, s)
	other.send("/", bodyLimit, bodyLimit)
	is.Equal(other.status(), http.StatusServiceUnavailable) // the memory is in use, and nothing can be shed
	close(release)
	is.Equal(waiting.status(), http.StatusOK)
}

// TestIdleConnectionGivesWay guards against idle connections that keep new clients out.
func TestIdleConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Connections: 3}, nil)
	var idle []*client
	for n := range 3 {
		idle = append(idle, dial(t, s))
		s.await(t, "the connection is accepted", func() bool { return len(s.conns) == n+1 })
	}
	fresh := dial(t, s)
	fresh.send("/", 1, 1)
	is.Equal(fresh.status(), http.StatusOK)
	is.Equal(idle[0].status(), closed)
	s.await(t, "the limit holds", func() bool { return len(s.conns) <= 3 })
}

// TestConnectionsInProgressAreKept guards against a new connection that takes the place of a request in progress.
func TestConnectionsInProgressAreKept(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	s := start(t, Limits{Connections: 1}, release)
	waiting := dial(t, s)
	waiting.send("/wait", 1, 1)
	<-s.handled
	is.Equal(dial(t, s).status(), closed)
	close(release)
	is.Equal(waiting.status(), http.StatusOK)
}

// TestSlowBodyTimesOut guards against a body that never ends and holds its memory and its connection for ever.
func TestSlowBodyTimesOut(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{BodyTime: 50 * time.Millisecond}, nil)
	slow := dial(t, s)
	slow.send("/", 10, 5)
	is.Equal(slow.status(), http.StatusRequestTimeout)
	is.Equal(slow.status(), closed)
}

// TestUnreadBodyDoesNotHoldAConnection guards against a refused request whose rest is awaited for ever.
func TestUnreadBodyDoesNotHoldAConnection(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{BodyTime: testTimeout}, nil)
	refused := dial(t, s)
	refused.send("/", bodyLimit+1, 10)
	is.Equal(refused.status(), http.StatusRequestEntityTooLarge)
	s.await(t, "the connection is closed", func() bool { return len(s.conns) == 0 })
}

// TestMemoryIsReleased guards against memory that stays reserved after a request or a connection has ended, until
// nothing is left for others.
func TestMemoryIsReleased(t *testing.T) {
	is := is.New(t)
	s := start(t, Limits{Memory: 1 << 20}, nil)
	c := dial(t, s)
	for range 100 {
		c.send("/", bodyLimit, bodyLimit)
		is.Equal(c.status(), http.StatusOK)
	}
	s.await(t, "only the connection is reserved", func() bool { return s.reserved == connectionBytes })
	is.NoErr(c.Close())
	s.await(t, "nothing is reserved", func() bool { return s.reserved == 0 && len(s.conns) == 0 })
}

// TestHeaderIsCounted guards against headers of many small fields, which take many times their size in memory.
func TestHeaderIsCounted(t *testing.T) {
	is := is.New(t)
	const fields = 1000
	s := start(t, Limits{Memory: 1 << 20}, make(chan struct{}))
	defer close(s.release)
	c := dial(t, s)
	var header strings.Builder
	for n := range fields {
		fmt.Fprintf(&header, "x%d:\r\n", n)
	}
	_, err := fmt.Fprintf(c, "POST /wait HTTP/1.1\r\nHost: a\r\n%sContent-Length: 1\r\n\r\nx", header.String())
	is.NoErr(err)
	<-s.handled
	s.await(t, "the header is reserved", func() bool { return s.reserved > fields*headerFieldBytes })
}

// TestBodyWaitsForTheMemoryOfShedConnections guards against memory that is given to one body while the handler of a
// shed connection still holds it: on a busy machine, many handlers take a while to notice that their connections are
// closed.
func TestBodyWaitsForTheMemoryOfShedConnections(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	g := New(Limits{Memory: limit}, zerolog.Nop())
	open := func() *conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		c := g.admit(near)
		c.phase = phaseBody
		return c
	}
	first, second := open(), open()
	is.True(first.grow(limit / 2))
	grown := make(chan bool, 1)
	go func() { grown <- second.grow(limit * 3 / 4) }()
	select {
	case <-grown:
		t.Fatal("the memory was given away while the shed connection held it")
	case <-time.After(maxCloseWait / 10):
	}
	is.NoErr(first.Close()) // the handler of the shed connection has returned
	is.True(<-grown)
	g.mu.Lock()
	defer g.mu.Unlock()
	is.Equal(g.closing, int64(0))
	is.True(g.reserved <= limit)
}
