// Package leaderrpc forwards queries about jobs from any entry instance to the leader over JSON-RPC 2.0.
package leaderrpc

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/ingress"
	"pollenlead/internal/workload"
)

// The RPC methods.
const (
	methodJobState    = "job_state"
	methodPendingJobs = "pending_jobs"
	methodExplain     = "explain"
	methodCancelJobs  = "cancel_jobs"
)

// The error codes.
const (
	codeNotLeading  = -32001
	codeJobNotFound = -32002
	codeNoQueue     = -32003
	codeUnknownKey  = -32004
)

const (
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds one call. After a time-out the call is repeated over a new connection, since a connection
	// may stop delivering without an error.
	callTimeout = 500 * time.Millisecond
)

// ErrNoLeader means that the leader cannot be reached or has not loaded the jobs yet.
var ErrNoLeader = errors.New("leaderrpc: no leader available")

type jobStateParams struct {
	Queue string `json:"queue"`
	Team  string `json:"team"`
	Job   string `json:"job"`
}

type jobStateResult struct {
	State workload.State `json:"state"`
}

type pendingParams struct {
	Queue string `json:"queue"`
}

type pendingResult struct {
	Pending int `json:"pending"`
}

type cancelJobsParams struct {
	Key string `json:"key"`
}

type explainParams struct {
	Queue string         `json:"queue"`
	Team  string         `json:"team"`
	Spec  *fleet.JobSpec `json:"spec"`
}

// Jobs answers queries about jobs.
type Jobs interface {
	JobState(queue, team, id string) (workload.State, error)
	PendingJobs(queue string) (int, error)
	Explain(queue, team string, spec *fleet.JobSpec) (*dispatch.Explanation, error)
	CancelJobs(key string) (dispatch.BulkCancellation, error)
}

// Server answers the queries of the other entry instances while this one leads.
type Server struct {
	// Leading returns the leader's work, or nil while this entry instance does not lead.
	Leading func() Jobs
	// Limits bounds what the connections take.
	Limits ingress.Limits
	Log    zerolog.Logger
}

// Serve answers queries until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	handler := jsonrpc2.HandlerWithError(s.handle)
	newHandler := func() jsonrpc2.Handler { return handler }
	ingress.New(s.Limits, s.Log).ServeRPC(ctx, l, newHandler, connectionLogger{s.Log})
}

// connectionLogger counts the library's messages about broken connections, which are usual while the leader changes.
type connectionLogger struct{ log zerolog.Logger }

var brokenTotal = expvar.NewInt("leader_connections_broken_total")

// Printf implements jsonrpc2.Logger.
func (b connectionLogger) Printf(format string, args ...any) {
	brokenTotal.Add(1)
	b.log.Debug().Str("event", "leader_connection").Msgf(format, args...)
}

func (s *Server) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	jobs := s.Leading()
	if jobs == nil {
		return nil, &jsonrpc2.Error{Code: codeNotLeading, Message: "this entry instance does not lead"}
	}
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	switch r.Method {
	case methodJobState:
		var p jobStateParams
		if err := json.Unmarshal(*r.Params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		state, err := jobs.JobState(p.Queue, p.Team, p.Job)
		return jobStateResult{State: state}, encodeError(err)
	case methodPendingJobs:
		var p pendingParams
		if err := json.Unmarshal(*r.Params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		n, err := jobs.PendingJobs(p.Queue)
		return pendingResult{Pending: n}, encodeError(err)
	case methodCancelJobs:
		var p cancelJobsParams
		if err := json.Unmarshal(*r.Params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		b, err := jobs.CancelJobs(p.Key)
		return b, encodeError(err)
	case methodExplain:
		var p explainParams
		if err := json.Unmarshal(*r.Params, &p); err != nil || p.Spec == nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "invalid parameters of explain"}
		}
		x, err := jobs.Explain(p.Queue, p.Team, p.Spec)
		return x, encodeError(err)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

func encodeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrNoJob):
		return &jsonrpc2.Error{Code: codeJobNotFound, Message: err.Error()}
	case errors.Is(err, dispatch.ErrNoQueue):
		return &jsonrpc2.Error{Code: codeNoQueue, Message: err.Error()}
	case errors.Is(err, dispatch.ErrUnknownKey):
		return &jsonrpc2.Error{Code: codeUnknownKey, Message: err.Error()}
	default:
		return &jsonrpc2.Error{Code: codeNotLeading, Message: err.Error()}
	}
}

// Client sends queries to the leader. It keeps one connection and opens another when the leader changes or the
// connection fails.
type Client struct {
	// Leader returns the leader's address, or "".
	Leader func() string
	// Local returns the leader's work if this entry instance leads, or nil.
	Local func() Jobs
	Log   zerolog.Logger

	mu      sync.Mutex // guards conn and to; held while dialing
	conn    *jsonrpc2.Conn
	address string
}

// JobState returns the state of a team's job. Its errors are ErrNoLeader and dispatch.ErrNoJob.
func (c *Client) JobState(ctx context.Context, queue, team, id string) (workload.State, error) {
	if jobs := c.Local(); jobs != nil {
		state, err := jobs.JobState(queue, team, id)
		return state, decodeError(encodeError(err))
	}
	var r jobStateResult
	err := c.call(ctx, methodJobState, jobStateParams{Queue: queue, Team: team, Job: id}, &r)
	return r.State, err
}

// PendingJobs returns the number of a queue's jobs that have not started.
func (c *Client) PendingJobs(ctx context.Context, queue string) (int, error) {
	if jobs := c.Local(); jobs != nil {
		n, err := jobs.PendingJobs(queue)
		return n, decodeError(encodeError(err))
	}
	var r pendingResult
	err := c.call(ctx, methodPendingJobs, pendingParams{Queue: queue}, &r)
	return r.Pending, err
}

// Explain returns where the leader would place a job. Its errors are ErrNoLeader and dispatch.ErrNoQueue. The result is
// decoded by the reader of the response only.
func (c *Client) Explain(ctx context.Context, queue, team string, spec *fleet.JobSpec) (json.RawMessage, error) {
	if jobs := c.Local(); jobs != nil {
		x, err := jobs.Explain(queue, team, spec)
		if err != nil {
			return nil, decodeError(encodeError(err))
		}
		return json.Marshal(x)
	}
	var r json.RawMessage
	err := c.call(ctx, methodExplain, explainParams{Queue: queue, Team: team, Spec: spec}, &r)
	return r, err
}

// CancelJobs cancels jobs of the team with a key; see dispatch.Dispatcher. Its errors are ErrNoLeader and
// dispatch.ErrUnknownKey.
func (c *Client) CancelJobs(ctx context.Context, key string) (b dispatch.BulkCancellation, err error) {
	if jobs := c.Local(); jobs != nil {
		b, err = jobs.CancelJobs(key)
		return b, decodeError(encodeError(err))
	}
	err = c.call(ctx, methodCancelJobs, cancelJobsParams{Key: key}, &b)
	return b, err
}

func (c *Client) call(ctx context.Context, method string, params, result any) error {
	conn, err := c.connect(ctx)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = conn.Call(ctx, method, params, result)
	var rpcErr *jsonrpc2.Error
	if err != nil && !errors.As(err, &rpcErr) {
		c.discard(conn)
		return fmt.Errorf("%w: %s: %w", ErrNoLeader, method, err)
	}
	return decodeError(err)
}

func decodeError(err error) error {
	var rpcErr *jsonrpc2.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rpcErr) && rpcErr.Code == codeJobNotFound:
		return dispatch.ErrNoJob
	case errors.As(err, &rpcErr) && rpcErr.Code == codeNoQueue:
		return dispatch.ErrNoQueue
	case errors.As(err, &rpcErr) && rpcErr.Code == codeUnknownKey:
		return dispatch.ErrUnknownKey
	default:
		return fmt.Errorf("%w: %w", ErrNoLeader, err)
	}
}

func (c *Client) connect(ctx context.Context) (*jsonrpc2.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	to := c.Leader()
	if to == "" {
		return nil, errors.New("no leader is known")
	}
	if c.conn != nil && c.address == to {
		return c.conn, nil
	}
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	// The leader sends no requests over this connection. The connection outlives the call, so its context is not
	// cancelled with the call's.
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(raw), noHandler{},
		jsonrpc2.SetLogger(connectionLogger{c.Log}))
	c.address = to
	return c.conn, nil
}

// discard closes a connection over which a call failed.
func (c *Client) discard(conn *jsonrpc2.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = conn.Close()
	if c.conn == conn {
		c.conn = nil
	}
}

type noHandler struct{}

func (noHandler) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
