package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// maxControlBytes is the maximum size of the JSON body of a control call, which contains the body of a task in base64.
const maxControlBytes = 16 << 20

// readHeaderTimeout is the time after which a connection with an incomplete request header is closed.
const readHeaderTimeout = 10 * time.Second

// Server serves a stand-in on the loopback interface.
type Server struct {
	Address string // host:port
	URL     string
	server  *http.Server
}

// Start serves the handler on 127.0.0.1 at a free port.
func Start(h http.Handler) (*Server, error) {
	return start(&http.Server{Handler: h})
}

func start(server *http.Server) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	go func() { _ = server.Serve(listener) }()
	address := listener.Addr().String()
	return &Server{Address: address, URL: "http://" + address, server: server}, nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.server.Close() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the request body and rejects unknown fields and trailing data. If the body is invalid, it writes a
// response with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil {
		if _, trailing := d.Token(); !errors.Is(trailing, io.EOF) {
			err = errors.New("data after the JSON value")
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// faultsHandler returns a handler that replaces all faults with those of the JSON body. An absent field removes its
// fault.
func faultsHandler[F any](set func(F)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f F
		if !readJSON(w, r, &f) {
			return
		}
		set(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
