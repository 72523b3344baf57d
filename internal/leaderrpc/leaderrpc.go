// Package leaderrpc carries questions about jobs from any entry instance to the leader, over jsonrpc2.
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
	"pollenlead/internal/workload"
)

// The methods.
const (
	methodJobState    = "job_state"
	methodPendingJobs = "pending_jobs"
)

// The error codes.
const (
	codeNotLeading = -32001
	codeNoJob      = -32002
)

const (
	dialTimeout = 300 * time.Millisecond
	// callTimeout bounds one call. A leader that is slower is asked again over a new connection, as connections may go silent.
	callTimeout = 500 * time.Millisecond
)

// ErrNoLeader means that the leader cannot be reached or does not know the jobs yet.
var ErrNoLeader = errors.New("leaderrpc: no leader can be asked")

// contact is what every question tells of the entry instance that asks.
type contact struct {
	// StoreSilentMillis is for how long it has had no contact to the store; nil if it never had any.
	StoreSilentMillis *int64 `json:"store_silent_ms,omitempty"`
}

type jobStateParams struct {
	contact
	Queue string `json:"queue"`
	Team  string `json:"team"`
	Job   string `json:"job"`
}

type jobStateResult struct {
	State workload.State `json:"state"`
}

type pendingParams struct {
	contact
	Queue string `json:"queue"`
}

type pendingResult struct {
	Pending int `json:"pending"`
}

// Jobs answers questions about jobs.
type Jobs interface {
	JobState(queue, team, id string) (workload.State, error)
	PendingJobs(queue string) (int, error)
	// PeerContact notes for how long another entry instance has had no contact to the store.
	PeerContact(silent time.Duration)
}

// Server answers the other entry instances while this one leads.
type Server struct {
	// Leading returns the leader's work, or nil while this entry instance does not lead.
	Leading func() Jobs
	Log     zerolog.Logger
}

// Serve answers until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		stream := jsonrpc2.NewPlainObjectStream(conn)
		jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(brokenConnections{s.Log}))
	}
}

// brokenConnections counts what the library says of broken connections, which are usual while the leader changes.
type brokenConnections struct{ log zerolog.Logger }

var brokenTotal = expvar.NewInt("leader_connections_broken_total")

// Printf implements jsonrpc2.Logger.
func (b brokenConnections) Printf(format string, args ...any) {
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
		p.tell(jobs)
		state, err := jobs.JobState(p.Queue, p.Team, p.Job)
		return jobStateResult{State: state}, encodeError(err)
	case methodPendingJobs:
		var p pendingParams
		if err := json.Unmarshal(*r.Params, &p); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
		}
		p.tell(jobs)
		n, err := jobs.PendingJobs(p.Queue)
		return pendingResult{Pending: n}, encodeError(err)
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

// tell passes on what the entry instance that asks says of its contact to the store.
func (c contact) tell(jobs Jobs) {
	if c.StoreSilentMillis != nil {
		jobs.PeerContact(time.Duration(*c.StoreSilentMillis) * time.Millisecond)
	}
}

func encodeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, dispatch.ErrNoJob):
		return &jsonrpc2.Error{Code: codeNoJob, Message: err.Error()}
	default:
		return &jsonrpc2.Error{Code: codeNotLeading, Message: err.Error()}
	}
}

// Client asks the leader. It keeps one connection and opens another when the leader changes or the connection fails.
type Client struct {
	// Leader returns the leader's address, or "".
	Leader func() string
	// Local returns the leader's work if this entry instance leads, or nil.
	Local func() Jobs
	// StoreContactAge returns for how long this entry instance has had no contact to the store, and whether it ever had any.
	StoreContactAge func() (time.Duration, bool)
	Log             zerolog.Logger

	mu   sync.Mutex // guards conn and to; held while dialing
	conn *jsonrpc2.Conn
	to   string
}

// JobState asks for the state of a job of a team. Its errors are ErrNoLeader and dispatch.ErrNoJob.
func (c *Client) JobState(ctx context.Context, queue, team, id string) (workload.State, error) {
	if jobs := c.Local(); jobs != nil {
		state, err := jobs.JobState(queue, team, id)
		return state, decodeError(encodeError(err))
	}
	var r jobStateResult
	err := c.call(ctx, methodJobState, jobStateParams{contact: c.contact(), Queue: queue, Team: team, Job: id}, &r)
	return r.State, err
}

// PendingJobs asks for the number of a queue's jobs that have not begun.
func (c *Client) PendingJobs(ctx context.Context, queue string) (int, error) {
	if jobs := c.Local(); jobs != nil {
		n, err := jobs.PendingJobs(queue)
		return n, decodeError(encodeError(err))
	}
	var r pendingResult
	err := c.call(ctx, methodPendingJobs, pendingParams{contact: c.contact(), Queue: queue}, &r)
	return r.Pending, err
}

func (c *Client) contact() contact {
	silent, ok := c.StoreContactAge()
	if !ok {
		return contact{}
	}
	millis := silent.Milliseconds()
	return contact{StoreSilentMillis: &millis}
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
	case errors.As(err, &rpcErr) && rpcErr.Code == codeNoJob:
		return dispatch.ErrNoJob
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
	if c.conn != nil && c.to == to {
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
	// The leader asks nothing over this connection; its context is the process's, not the call's.
	c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewPlainObjectStream(raw), noHandler{}, jsonrpc2.SetLogger(brokenConnections{c.Log}))
	c.to = to
	return c.conn, nil
}

// discard closes a connection over which a call had no answer.
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
