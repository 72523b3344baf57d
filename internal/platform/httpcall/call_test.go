package httpcall

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
)

func peer(address string, maxConnections int) *Peer {
	return &Peer{Name: "peer " + address, URL: "http://" + address, Transport: NewTransport(maxConnections)}
}

// cutSecondRequest serves connections on which the first request is answered and the second is read and then cut off
// without an answer. It counts the requests that it has read.
func cutSecondRequest(t *testing.T) (address string, requests *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				for answered := false; ; answered = true {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					requests.Add(1)
					if answered {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
				}
			}()
		}
	}()
	return listener.Addr().String(), requests
}

// Guards against http.Transport repeating a request by itself on a new connection: the first attempt may have run. It
// does so for these requests when they have no body.
func TestSendNeverRepeats(t *testing.T) {
	for _, test := range []struct{ method, header string }{
		{"GET", "Accept"}, {"HEAD", "Accept"}, {"OPTIONS", "Accept"},
		{"POST", "Idempotency-Key"}, {"DELETE", "X-Idempotency-Key"}, {"PUT", "Accept"},
	} {
		t.Run(test.method, func(t *testing.T) {
			is := is.New(t)
			address, requests := cutSecondRequest(t)
			p := peer(address, 1)
			send := func() error {
				r, err := http.NewRequest(test.method, p.URL, nil)
				is.NoErr(err)
				r.Header.Set(test.header, "value")
				resp, err := p.Send(r, nil, "step")
				if err == nil {
					resp.Body.Close()
				}
				return err
			}
			is.NoErr(send())
			err := send()
			is.True(errors.Is(err, platform.ErrOutcomeUnknown))
			is.True(!errors.Is(err, platform.ErrNoEffect))
			is.Equal(requests.Load(), int64(2))
		})
	}
}

// Guards against a call to a peer that is not there being taken for one that may have run, and an error that does not
// say which step and peer failed.
func TestSendToClosedPort(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = peer(address, 1).Call(t.Context(), Request{Step: "open lease", Method: "POST", Path: "/", Timeout: time.Minute})
	is.True(errors.Is(err, platform.ErrNoEffect))
	is.True(!errors.Is(err, platform.ErrOutcomeUnknown))
	is.True(strings.Contains(err.Error(), "open lease at peer "+address))
}

// Guards against a call that ended while it waited for a connection being taken for one that may have run, and against
// more connections than allowed.
func TestSendWaitsForConnection(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int64
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests.Add(1)
		<-release
	}))
	defer server.Close()
	p := peer(server.Listener.Addr().String(), 0) // 0 must not mean "no limit"
	first := make(chan error)
	go func() {
		_, err := p.Call(t.Context(), Request{Method: "POST", Path: "/", Timeout: time.Minute})
		first <- err
	}()
	for requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err := p.Call(ctx, Request{Method: "POST", Path: "/", Timeout: time.Minute})
	is.True(errors.Is(err, platform.ErrNoEffect))
	is.True(errors.Is(err, context.DeadlineExceeded))
	close(release)
	is.NoErr(<-first)
	is.Equal(requests.Load(), int64(1))
}

// Guards against a call without an answer in time being taken for one that had no effect.
func TestCallTimeout(t *testing.T) {
	is := is.New(t)
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	defer server.Close()
	defer close(release)
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := peer(server.Listener.Addr().String(), 1).Call(ctx, Request{Method: "POST", Path: "/", Timeout: time.Minute})
	is.True(errors.Is(err, platform.ErrOutcomeUnknown))
}

// Guards against statuses that may follow an effect being taken for refusals, and against redirects and unbounded
// answers.
func TestCallClassifiesAnswers(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/redirect":
			http.Redirect(w, r, "/", http.StatusTemporaryRedirect)
		case "/long":
			_, _ = w.Write(make([]byte, 100))
		case "/503":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/504":
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	}))
	defer server.Close()
	p := peer(server.Listener.Addr().String(), 1)
	call := func(path string) error {
		req := Request{Method: "POST", Path: path, Timeout: time.Minute, MaxAnswer: 99}
		return p.CallJSON(t.Context(), req, nil, nil)
	}
	is.True(errors.Is(call("/503"), platform.ErrNoEffect))
	is.True(errors.Is(call("/504"), platform.ErrOutcomeUnknown))
	is.True(errors.Is(call("/long"), ErrAnswerTooLong))
	var status *StatusError
	is.True(errors.As(call("/redirect"), &status))
	is.Equal(status.Status, http.StatusTemporaryRedirect)
}
