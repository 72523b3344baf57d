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

// maxControlBytes bounds the JSON body of a control call; a task carries its body in base64.
const maxControlBytes = 16 << 20

// readHeaderTimeout closes a connection that does not finish its request header.
const readHeaderTimeout = 10 * time.Second

// Server is a stand-in that listens on loopback.
type Server struct {
	Address string // host:port
	URL     string
	server  *http.Server
}

// Start serves the handler on 127.0.0.1 with a free port.
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
	// A write fails only if the client has gone.
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body strictly. It answers 400 itself and returns false if the body does not fit.
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

// faultsHandler replaces all faults with the JSON body; a field that is absent switches its fault off.
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
