// Package failtest contains the end-to-end failure tests. They run entry instances and the platform stand-ins in one
// process.
package failtest

import (
	"io"
	"net"
	"net/netip"
	"sync"
)

// tcpProxy forwards TCP connections to a target unless it is blocked.
type tcpProxy struct {
	listener net.Listener

	mu      sync.Mutex
	target  string
	blocked bool
	conns   map[net.Conn]struct{}
}

func newTCPProxy(target string) (*tcpProxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &tcpProxy{listener: listener, target: target, conns: map[net.Conn]struct{}{}}
	go r.accept()
	return r, nil
}

func (r *tcpProxy) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// setTarget sets the address to which new connections are forwarded.
func (r *tcpProxy) setTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// setBlocked closes all connections and makes the proxy close new ones at once, or makes it forward connections again.
func (r *tcpProxy) setBlocked(blocked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.blocked = blocked
	for c := range r.conns {
		if blocked {
			_ = c.Close()
		}
	}
}

func (r *tcpProxy) close() {
	_ = r.listener.Close()
	r.setBlocked(true)
}

func (r *tcpProxy) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *tcpProxy) forward(in net.Conn) {
	defer r.untrack(in)
	target, ok := r.track(in)
	if !ok {
		return
	}
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer r.untrack(out)
	if _, ok := r.track(out); !ok {
		return
	}
	go func() {
		_, _ = io.Copy(out, in)
		_ = out.Close()
	}()
	_, _ = io.Copy(in, out)
}

// track registers a connection for setBlocked and returns the target. ok is false if the proxy is blocked.
func (r *tcpProxy) track(c net.Conn) (target string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.blocked {
		r.conns[c] = struct{}{}
	}
	return r.target, !r.blocked
}

// untrack closes a connection and removes it from the registered ones.
func (r *tcpProxy) untrack(c net.Conn) {
	_ = c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}
