package standin

import (
	"context"
	"crypto/rand"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The reasons with which a worker refuses work. Refused work did not run.
const (
	RefusedLeaseLapsed     = "lease_lapsed"
	RefusedSlotsFull       = "slots_full"
	RefusedConnectionsFull = "connections_full"
	RefusedLeaving         = "leaving"
)

// maxRefusedBodyBytes is how much of a refused request's body the worker reads. A server that closes a connection with
// an unread body resets it, and the client may lose the refusal.
const maxRefusedBodyBytes = 16 << 20

// WorkerConfig describes a worker.
type WorkerConfig struct {
	ID          string
	Slots       int
	Connections int           // 0 means no limit
	ClockStart  time.Duration // what the worker's clock shows when the worker is built
	UsageLag    time.Duration
	Observer    *Observer // optional, shared by several workers
}

// WorkerFaults are the failures that a worker shows.
type WorkerFaults struct {
	// FailAll answers every synchronous request with 500 and fails every new task, after counting the execution.
	FailAll bool `json:"fail_all"`
	// DelayMS delays each synchronous request and each start of a task, before its effect.
	DelayMS int64 `json:"delay_ms"`
	// Truncate cuts the response to each synchronous request off after half of its body.
	Truncate bool `json:"truncate"`
	// WrongRequestID echoes another Request-Id than that of the request.
	WrongRequestID bool `json:"wrong_request_id"`
	// Pause holds every request and every response until it is switched off. Leases expire meanwhile.
	Pause bool `json:"pause"`
	// Leaving refuses new work; running work continues.
	Leaving bool `json:"leaving"`
	// FinishAbandoned goes on with a synchronous request after its client has gone, as most backend servers do.
	FinishAbandoned bool `json:"finish_departed"`
}

// Execution is one run of a synchronous request or of a task. End is zero while it runs.
type Execution struct {
	RequestID       string
	TaskID          string
	CallerRequestID string
	Team            string
	LeaseID         string
	Start           time.Time
	End             time.Time
	Checkpoints     int
	Throttled       bool
}

// execution is an Execution with what is needed to stop it. The worker's mutex protects it.
type execution struct {
	Execution
	stop func(taskState) // called under the worker's mutex when the execution is ended from outside
}

// Worker is one instance with slots, connections, leases, tasks and a backend server.
type Worker struct {
	config  WorkerConfig
	started time.Time
	mux     *http.ServeMux

	mu         sync.Mutex
	faults     WorkerFaults
	resumed    chan struct{} // open while paused
	leases     map[string]*lease
	tasks      map[string]*task
	running    map[*execution]struct{}
	executions []*execution
	maxRunning int
	samples    []usageSample

	connections        map[net.Conn]struct{}
	overLimit          map[net.Conn]struct{} // opened while the limit was reached
	maxConnections     int
	refusedConnections int
}

// connKey is the context key of a request's connection.
type connKey struct{}

// NewWorker returns a worker without leases or tasks.
func NewWorker(config WorkerConfig) *Worker {
	w := &Worker{
		config:      config,
		started:     time.Now(),
		mux:         http.NewServeMux(),
		resumed:     make(chan struct{}),
		leases:      map[string]*lease{},
		tasks:       map[string]*task{},
		running:     map[*execution]struct{}{},
		connections: map[net.Conn]struct{}{},
		overLimit:   map[net.Conn]struct{}{},
	}
	close(w.resumed)
	w.mux.HandleFunc("PUT /faults", faultsHandler(w.SetFaults))
	w.mux.HandleFunc("POST /leases", w.handleOpenLease)
	w.mux.HandleFunc("POST /leases/{id}/renew", w.handleRenewLease)
	w.mux.HandleFunc("DELETE /leases/{id}", w.handleCloseLease)
	w.mux.HandleFunc("POST /tasks", w.handleStartTask)
	w.mux.HandleFunc("GET /tasks/{id}", w.handleTask)
	w.mux.HandleFunc("POST /tasks/{id}/stop", w.handleTaskCall((*Worker).stopTaskLocked))
	w.mux.HandleFunc("POST /tasks/{id}/checkpoint", w.handleTaskCall((*Worker).checkpointTaskLocked))
	w.mux.HandleFunc("POST /tasks/{id}/throttle", w.handleTaskCall((*Worker).throttleTaskLocked))
	w.mux.HandleFunc("POST /tasks/{id}/adopt", w.handleAdoptTask)
	w.mux.HandleFunc("GET /usage", w.handleUsage)
	return w
}

// ServeHTTP implements http.Handler. Connections are counted only if the server was set up with Configure.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		w.mux.ServeHTTP(rw, r)
		return
	}
	if !w.awaitResumed(r.Context()) {
		panic(http.ErrAbortHandler)
	}
	service := strings.HasPrefix(r.URL.Path, "/services/")
	if w.isOverLimit(r.Context()) {
		if service {
			w.echoRequestID(rw, r)
		}
		rw.Header().Set("Connection", "close")
		refuse(rw, r, RefusedConnectionsFull)
		return
	}
	// The mux would redirect a path that is not in its shortest form, so the backend server is not behind it.
	if service {
		w.handleService(rw, r)
		return
	}
	w.mux.ServeHTTP(rw, r)
}

// Configure makes the server count its connections at the worker. It must be called before the server starts.
func (w *Worker) Configure(server *http.Server) {
	server.Handler = w
	server.ConnState = w.connState
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
}

// Start serves the worker on loopback.
func (w *Worker) Start() (*Server, error) {
	server := &http.Server{}
	w.Configure(server)
	return start(server)
}

func (w *Worker) connState(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		if w.config.Connections > 0 && len(w.connections) >= w.config.Connections {
			w.overLimit[c] = struct{}{}
			w.refusedConnections++
			return
		}
		w.connections[c] = struct{}{}
		w.maxConnections = max(w.maxConnections, len(w.connections))
	case http.StateClosed, http.StateHijacked:
		delete(w.connections, c)
		delete(w.overLimit, c)
	default:
		return
	}
	w.sampleLocked()
}

func (w *Worker) isOverLimit(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, over := w.overLimit[c]
	return over
}

// SetFaults replaces all faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if f.Pause && !w.faults.Pause {
		w.resumed = make(chan struct{})
	}
	if !f.Pause && w.faults.Pause {
		close(w.resumed)
	}
	w.faults = f
}

// Faults returns the faults in force.
func (w *Worker) Faults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// awaitResumed waits while the worker is paused. It returns false if the client has gone.
func (w *Worker) awaitResumed(ctx context.Context) bool {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	select {
	case <-resumed:
		return true
	case <-ctx.Done():
		return false
	}
}

// Executions returns all executions in the order of their starts.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]Execution, 0, len(w.executions))
	for _, e := range w.executions {
		all = append(all, e.Execution)
	}
	return all
}

// MaxSlotsUsed returns the highest number of slots that were in use at once.
func (w *Worker) MaxSlotsUsed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxRunning
}

// MaxOpenConnections returns the highest number of connections that were open at once, without refused ones.
func (w *Worker) MaxOpenConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.maxConnections
}

// RefusedConnections returns the number of connections that were opened while the limit was reached.
func (w *Worker) RefusedConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refusedConnections
}

// OpenConnections returns the number of connections open now, without refused ones.
func (w *Worker) OpenConnections() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.connections)
}

// beginLocked takes a slot for an execution, or returns why the worker refuses it.
func (w *Worker) beginLocked(e *execution) (refused string) {
	if w.faults.Leaving {
		return RefusedLeaving
	}
	if w.liveLeaseLocked(e.LeaseID) == nil {
		return RefusedLeaseLapsed
	}
	if len(w.running) >= w.config.Slots {
		return RefusedSlotsFull
	}
	e.Start = time.Now()
	w.running[e] = struct{}{}
	w.executions = append(w.executions, e)
	w.maxRunning = max(w.maxRunning, len(w.running))
	w.sampleLocked()
	if w.config.Observer != nil {
		w.config.Observer.begin(e.Team, e.CallerRequestID)
	}
	return ""
}

// endLocked frees the slot of an execution. It returns false if the execution had ended before.
func (w *Worker) endLocked(e *execution) bool {
	if _, ok := w.running[e]; !ok {
		return false
	}
	delete(w.running, e)
	e.End = time.Now()
	w.sampleLocked()
	if w.config.Observer != nil {
		w.config.Observer.end(e.Team)
	}
	return true
}

func (w *Worker) end(e *execution) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endLocked(e)
}

// echoRequestID sets the response's Request-Id.
func (w *Worker) echoRequestID(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if w.Faults().WrongRequestID {
		id = rand.Text()
	}
	rw.Header().Set("Request-Id", id)
}

type refusalAnswer struct {
	Refused string `json:"refused"`
}

// refuse answers that the work did not run.
func refuse(rw http.ResponseWriter, r *http.Request, reason string) {
	_, _ = io.CopyN(io.Discard, r.Body, maxRefusedBodyBytes)
	writeJSON(rw, http.StatusConflict, refusalAnswer{Refused: reason})
}
