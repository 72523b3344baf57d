package ingress

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/sleep"
)

const (
	// messageFactor is the ratio of the memory that a message takes to its bytes: the decoder doubles its buffer, and
	// keeps it for later messages.
	messageFactor = 2
	// acceptRetryDelay is the delay after a failed accept, for example while the process has no free descriptor.
	acceptRetryDelay = 100 * time.Millisecond
	// messageWriteTimeout bounds each write of a message. A peer that does not read would block every later one.
	messageWriteTimeout = time.Second
)

// ServeRPC accepts JSON-RPC connections until the listener is closed. newHandler returns the handler of a connection,
// which handles one request at a time. The guard counts the connections and the messages that are being received.
func (g *Guard) ServeRPC(
	ctx context.Context, l net.Listener, newHandler func() jsonrpc2.Handler, log jsonrpc2.Logger,
) {
	for {
		accepted, err := l.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			sleep.For(ctx, acceptRetryDelay)
			continue
		}
		c := g.admit(accepted)
		if c == nil {
			_ = accepted.Close()
			continue
		}
		m := &messageConn{conn: c}
		stream := messageStream{jsonrpc2.NewPlainObjectStream(m), m}
		jsonrpc2.NewConn(ctx, stream, newHandler(), jsonrpc2.SetLogger(log))
	}
}

// messageStream is the stream of the messages of a connection.
type messageStream struct {
	jsonrpc2.ObjectStream
	conn *messageConn
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s messageStream) ReadObject(v any) error {
	err := s.ObjectStream.ReadObject(v)
	if err == nil {
		s.conn.endMessage()
	}
	return err
}

// messageConn counts the bytes of the message that is being received. Its reading goroutine alone uses its fields.
type messageConn struct {
	*conn
	// received is the number of bytes since the end of the last message, and buffered the most of a message so far.
	received, buffered int64
}

// Read implements net.Conn. A message has to be complete within the guard's BodyTime of its first byte.
func (m *messageConn) Read(p []byte) (int, error) {
	n, err := m.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if m.received == 0 {
		m.beginMessage()
	}
	m.received += int64(n)
	if more := m.received - m.buffered; more > 0 {
		if !m.grow(more * messageFactor) {
			_ = m.Close()
			return 0, ErrNoMemory
		}
		m.buffered = m.received
	}
	return n, err
}

// Write implements net.Conn.
func (m *messageConn) Write(p []byte) (int, error) {
	if err := m.SetWriteDeadline(time.Now().Add(messageWriteTimeout)); err != nil {
		return 0, err
	}
	return m.Conn.Write(p)
}

func (m *messageConn) beginMessage() {
	m.setPhase(phaseBody)
	if limit := m.guard.limits.BodyTime; limit > 0 {
		// An error means that the connection is closed, which the next read reports.
		_ = m.SetReadDeadline(time.Now().Add(limit))
	}
}

func (m *messageConn) endMessage() {
	m.received = 0
	m.setPhase(phaseIdle)
	_ = m.SetReadDeadline(time.Time{}) // as in beginMessage
}

// setPhase records what the client does. The time of its last progress is that of the beginning or the end of a
// message, so that a message that takes long is shed before those that have just begun.
func (m *messageConn) setPhase(p phase) {
	m.guard.mu.Lock()
	defer m.guard.mu.Unlock()
	m.phase, m.progressAt = p, time.Now()
	m.proven = m.proven || p == phaseIdle
}
