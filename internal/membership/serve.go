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
	// maxConnections bounds the connections of peers: 9 entry instances with 3 each, several times over.
	maxConnections = 128
	// acceptPause is the time before the next accept after one failed.
	acceptPause = 100 * time.Millisecond
	// maxRelayWait bounds the wait of a relayed read; a follower waits as long itself.
	maxRelayWait = time.Second
	// relayTimeout bounds a call to the log on behalf of a peer.
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
			sleep(ctx, acceptPause) // The process is out of descriptors or the connection ended at once.
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

func (m *Member) register(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.conns) >= maxConnections {
		return false
	}
	m.conns[conn] = struct{}{}
	return true
}

// serveConn handles the requests of one connection one after another.
func (m *Member) serveConn(ctx context.Context, conn net.Conn) {
	defer func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.conns, conn)
	}()
	rpc := jsonrpc2.NewConn(ctx, newLineStream(conn, m.countBad), jsonrpc2.HandlerWithError(m.handle).SuppressErrClosed(), jsonrpc2.SetLogger(noLogger{}))
	select {
	case <-rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	_ = rpc.Close()
}

// noLogger drops the library's log lines; failures are counted.
type noLogger struct{}

// Printf implements jsonrpc2.Logger.
func (noLogger) Printf(string, ...any) {}

func (m *Member) countBad() { m.count(func(s *Stats) { s.BadMessages++ }) }

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
		m.countBad()
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
}

// badParams counts a request with wrong parameters and returns the answer.
func (m *Member) badParams(err error) error {
	m.countBad()
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
}

func parse(r *jsonrpc2.Request, into any) error {
	if r.Params == nil {
		return fmt.Errorf("%s without parameters", r.Method)
	}
	if err := json.Unmarshal(*r.Params, into); err != nil {
		return fmt.Errorf("parameters of %s: %w", r.Method, err)
	}
	return nil
}

func (m *Member) handleHeartbeat(r *jsonrpc2.Request) (any, error) {
	var params heartbeat
	if err := parse(r, &params); err != nil {
		return nil, m.badParams(err)
	}
	if err := checkDigest(params.Digest); err != nil {
		return nil, m.badParams(err)
	}
	m.count(func(s *Stats) { s.HeartbeatsReceived++ })
	// How long the request was under way is not known here, so it proves nothing about ages.
	m.learn(params.Digest, time.Time{})
	// Peers get the load with the heartbeats of this instance; sending it in answers as well would double its cost.
	return heartbeat{Digest: m.digest()}, nil
}

func (m *Member) handleLoadReport(r *jsonrpc2.Request) (any, error) {
	var params loadReport
	if err := parse(r, &params); err != nil {
		return nil, m.badParams(err)
	}
	if err := params.Entry.check(); err != nil {
		return nil, m.badParams(err)
	}
	m.count(func(s *Stats) { s.LoadReportsReceived++ })
	m.learn([]Entry{params.Entry}, time.Time{})
	return struct{}{}, nil
}

// handleReadLog reads the log for a peer. Only the log itself is asked: a read through two peers could go in circles.
func (m *Member) handleReadLog(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params readLog
	if err := parse(r, &params); err != nil {
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

// boundedResult keeps the first records of a batch, up to the size bound but at least one.
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

// handleAppendRecord appends a record for a peer. The record keeps its identity, so a copy changes nothing.
func (m *Member) handleAppendRecord(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	var params appendRecord
	if err := parse(r, &params); err != nil {
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
