package membership

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
)

const (
	// maxConnections is the maximum number of connections from peers. It is several times what 9 entry instances with 3
	// connections each need.
	maxConnections = 128
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 100 * time.Millisecond
	// maxRelayWait is the maximum wait of a relayed read. It equals the wait of a follower's own reads.
	maxRelayWait = time.Second
	// relayTimeout limits a call to the log on behalf of a peer.
	relayTimeout = 2 * time.Second
)

// serve accepts the connections of peers until ctx ends.
func (m *Member) serve(ctx context.Context, running *sync.WaitGroup) error {
	stop := context.AfterFunc(ctx, func() { _ = m.opts.Listener.Close() })
	defer stop()
	for {
		conn, err := m.opts.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("accept peers on %s: %w", m.opts.Listener.Addr(), err)
		}
		if err != nil {
			sleep(ctx, acceptRetryDelay) // The process has no free file descriptor, or the peer closed the connection.
			continue
		}
		if m.opts.TLS != nil {
			conn = tls.Server(conn, m.opts.TLS)
		}
		if !m.register(conn) {
			_ = conn.Close()
			continue
		}
		running.Go(func() { m.serveConn(ctx, conn) })
	}
}

// register adds a connection. It returns false if the maximum number of connections is reached.
func (m *Member) register(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) >= maxConnections {
		return false
	}
	m.conns[conn] = struct{}{}
	return true
}

// serveConn handles the requests of one connection sequentially.
func (m *Member) serveConn(ctx context.Context, conn net.Conn) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.conns, conn)
	}()
	rpc := jsonrpc2.NewConn(ctx, newLineStream(conn, m.countBadMessage),
		jsonrpc2.HandlerWithError(m.handle).SuppressErrClosed(), jsonrpc2.SetLogger(discardLogger{}))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = rpc.Close()
}

// discardLogger discards the log lines of the library. Failures are counted instead.
type discardLogger struct{}

// Printf implements jsonrpc2.Logger.
func (discardLogger) Printf(string, ...any) {}

func (m *Member) countBadMessage() { m.count(func(s *Stats) { s.BadMessages++ }) }

// handle answers one request of a peer.
func (m *Member) handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	switch r.Method {
	case methodHeartbeat:
		return m.handleHeartbeat(r)
	case methodLoadReport:
		return m.handleLoadReport(r)
	case methodReadLog:
		return m.handleReadLog(ctx, r)
	case methodAppendRecord:
		return m.handleAppendRecord(ctx, r)
	default:
		m.countBadMessage()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
}

// badParams counts a request with invalid parameters and returns the error to answer with.
func (m *Member) badParams(err error) error {
	m.countBadMessage()
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
}

// parseParams decodes the parameters of a request.
func parseParams(r *jsonrpc2.Request, into any) error {
	if r.Params == nil {
		return fmt.Errorf("%s without parameters", r.Method)
	}
	if err := json.Unmarshal(*r.Params, into); err != nil {
		return fmt.Errorf("parameters of %s: %w", r.Method, err)
	}
	return nil
}

func (m *Member) handleHeartbeat(r *jsonrpc2.Request) (any, error) {
	var params heartbeatMessage
	if err := parseParams(r, &params); err != nil {
		return nil, m.badParams(err)
	}
	if err := validateDigest(params.Digest); err != nil {
		return nil, m.badParams(err)
	}
	m.count(func(s *Stats) { s.HeartbeatsReceived++ })
	// The transit time of the request is unknown, so the ages of its entries are not bounded.
	m.mergeReceived(params.Digest, time.Time{})
	// Peers receive the load with the heartbeats of this instance. Including it in answers as well would double its cost.
	return heartbeatMessage{Digest: m.digest()}, nil
}

func (m *Member) handleLoadReport(r *jsonrpc2.Request) (any, error) {
	var params loadReportParams
	if err := parseParams(r, &params); err != nil {
		return nil, m.badParams(err)
	}
	if err := params.Entry.validate(); err != nil {
		return nil, m.badParams(err)
	}
	m.count(func(s *Stats) { s.LoadReportsReceived++ })
	m.mergeReceived([]Entry{params.Entry}, time.Time{})
	return struct{}{}, nil
}

// handleReadLog reads the log for a peer. It reads only from the log itself, because a read that is relayed by two
// peers could circulate between them.
func (m *Member) handleReadLog(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params readLogParams
	if err := parseParams(r, &params); err != nil {
		return nil, m.badParams(err)
	}
	wait := time.Duration(params.WaitMillis) * time.Millisecond
	if params.Limit < 1 || params.WaitMillis < 0 || params.WaitMillis > maxAgeMillis {
		return nil, m.badParams(fmt.Errorf("limit %d, wait %d ms", params.Limit, params.WaitMillis))
	}
	wait = min(wait, maxRelayWait)
	ctx, cancel := context.WithTimeout(ctx, wait+relayTimeout)
	defer cancel()
	batch, err := m.opts.Log.Read(ctx, params.From, min(params.Limit, maxRelayRecords), wait)
	if err != nil {
		return nil, wireError(err)
	}
	m.count(func(s *Stats) { s.RelayedReads++ })
	return boundedResult(batch), nil
}

// boundedResult returns the first records of a batch, up to maxRelayBytes but at least one.
func boundedResult(batch platform.Batch) readLogResult {
	result := readLogResult{First: batch.First, Next: batch.Next}
	size := 0
	for i, entry := range batch.Entries {
		size += len(entry.Data)
		if i > 0 && size > maxRelayBytes {
			break
		}
		result.Entries = append(result.Entries, relayedEntry(entry))
	}
	return result
}

// handleAppendRecord appends a record for a peer. The record keeps its identity, so a duplicate has no effect.
func (m *Member) handleAppendRecord(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params appendRecordParams
	if err := parseParams(r, &params); err != nil {
		return nil, m.badParams(err)
	}
	if _, err := record.Decode(params.Data); err != nil {
		return nil, m.badParams(err)
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	offset, err := m.opts.Log.Append(ctx, params.Data)
	if err != nil {
		return nil, wireError(err)
	}
	m.count(func(s *Stats) { s.RelayedAppends++ })
	return appendResult{Offset: offset}, nil
}
