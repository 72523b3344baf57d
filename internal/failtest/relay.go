// Package failtest holds the end-to-end failure tests: entry instances over the platform stand-ins in one process.
package failtest

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// relay forwards TCP connections to a target until it is cut.
type relay struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	cut    bool
	conns  map[net.Conn]struct{}
}

func newRelay(target string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *relay) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// setTarget names the address that new connections are forwarded to.
func (r *relay) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// setCut closes all connections and refuses new ones, or lets connections through again.
func (r *relay) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	for c := range r.conns {
		if cut {
			_ = c.Close()
		}
	}
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.setCut(true)
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *relay) forward(in net.Conn) {
	defer r.drop(in)
	target, ok := r.add(in)
	if !ok {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer r.drop(out)
	if _, ok := r.add(out); !ok {
		return
	}
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
}

func (r *relay) add(c net.Conn) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.cut {
		r.conns[c] = struct{}{}
	}
	return r.target, !r.cut
}

func (r *relay) drop(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
