package ingress

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// startHTTP2 is like start, with TLS and HTTP/2. It returns a function that begins a request whose body stalls after
// size bytes, and that returns a function which ends the body.
func startHTTP2(t *testing.T, l Limits) (s *server, begin func(size int) (end func())) {
	t.Helper()
	web := httptest.NewUnstartedServer(nil)
	s = &server{Guard: New(l, zerolog.Nop()), handled: make(chan struct{}, 100)}
	web.Config.Handler = http.HandlerFunc(s.serve)
	s.Protect(web.Config)
	web.Listener = s.Listener(web.Listener)
	web.EnableHTTP2 = true
	web.StartTLS()
	t.Cleanup(web.Close)
	client := web.Client()
	client.Timeout = testTimeout
	return s, func(size int) func() {
		body, rest := io.Pipe()
		t.Cleanup(func() { _ = rest.Close() })
		go func() {
			r, err := client.Post(web.URL, "text/plain", body)
			if err == nil {
				_ = r.Body.Close()
			}
			_ = body.Close()
		}()
		_, _ = rest.Write(bytes.Repeat([]byte{'x'}, size))
		return func() { _ = rest.Close() }
	}
}

// TestStreamsAreCountedApart guards against a client that holds much more memory than is counted by the bodies of many
// requests on one HTTP/2 connection: the beginning of a request released what the others of its connection held.
func TestStreamsAreCountedApart(t *testing.T) {
	const streams, size = 8, bodyLimit / 2
	s, begin := startHTTP2(t, Limits{Memory: 1 << 30})
	var ends []func()
	for range streams {
		ends = append(ends, begin(size))
	}
	s.await(t, "all bodies are reserved", func() bool { return s.reserved >= streams*size })
	for _, end := range ends {
		end()
		<-s.handled
	}
	s.await(t, "the bodies are released while the connection is open", func() bool {
		return len(s.conns) == 1 && s.reserved == connectionBytes
	})
}

// TestStalledStreamGivesWay guards against stalled bodies on an HTTP/2 connection that are never shed, and against memory
// that stays reserved after they were.
func TestStalledStreamGivesWay(t *testing.T) {
	is := is.New(t)
	s, begin := startHTTP2(t, Limits{Memory: 6 * (connectionBytes + bodyLimit)})
	for range 4 {
		begin(bodyLimit - 1)
	}
	s.await(t, "the bodies are reserved", func() bool { return s.reserved >= 4*bodyLimit })
	s.mu.Lock()
	larger := &conn{guard: s.Guard, progressAt: time.Now()}
	s.conns[larger] = struct{}{}
	s.mu.Unlock()
	is.True(larger.grow(4 * bodyLimit))
	s.await(t, "the memory of the others is released", func() bool { return len(s.conns) == 1 && s.draining == 0 })
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.reserved, int64(4*bodyLimit))
}
