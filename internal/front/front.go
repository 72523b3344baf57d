// Package front serves the HTTP interface for callers on an entry instance: it accepts and cancels jobs and reports
// their state.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/claim"
	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/ingress"
	"pollenlead/internal/jobbudget"
	"pollenlead/internal/leaderrpc"
	"pollenlead/internal/overload"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// maxConfigAgeFraction is the fraction of the key withdrawal time after which the configuration counts as out of
	// date.
	maxConfigAgeFraction = 0.56
	// maxStoreSilence is the time without contact after which the store counts as unavailable: a job is then refused
	// at once, before an append makes its outcome unknown.
	maxStoreSilence = 1600 * time.Millisecond
	// defaultDeadline is the deadline of a request that sets none.
	defaultDeadline = 3 * time.Second
	// responseMargin is the part of the deadline that is reserved for the transfer of the response.
	responseMargin = 100 * time.Millisecond
	// storeRetryWindow bounds the time for which a refused append is retried.
	storeRetryWindow  = time.Second
	storeRetryDelay   = 40 * time.Millisecond
	leaderRetryDelay  = 60 * time.Millisecond
	idDigits          = 16
	retryAfterSeconds = 1
	// defaultBodyBytes is the limit for request bodies if the configuration sets none.
	defaultBodyBytes = 256 << 10
	// maxConcurrentDecodeBytes is the size up to which bodies are decoded concurrently.
	maxConcurrentDecodeBytes = 16 << 10
)

// Codec decodes requests and encodes responses. The platform adapter provides it.
type Codec struct {
	Job            func(body []byte) (*fleet.JobSpec, error)
	State          func(state string) []byte
	Pending        func(n int) []byte
	Key            func(authorization string) string
	DeadlineHeader string
}

// Config provides the configuration in force.
type Config interface {
	Config() *fleet.Config
	// Age returns the time for which the configuration may have been out of date, and whether there has been any
	// contact with the store.
	Age() (time.Duration, bool)
}

// Claims reserves the IDs of jobs for their owners.
type Claims interface {
	// Claim returns claim.ErrTaken if the ID belongs to another owner. After any error nothing is stored under the ID.
	Claim(ctx context.Context, id, owner string) error
}

// Leader answers queries about jobs.
type Leader interface {
	JobState(ctx context.Context, queue, team, id string) (workload.State, error)
	PendingJobs(ctx context.Context, queue string) (int, error)
}

// Handler serves the requests of callers.
type Handler struct {
	Config Config
	// Jobs appends records to the partitions of the job topic.
	Jobs *store.Batchers
	// Claims reserves the IDs of jobs. Nil reserves none.
	Claims Claims
	Leader Leader
	Codec  Codec
	// Overload refuses work that the queue cannot serve in time. Nil refuses nothing.
	Overload *overload.Gate
	// Budget refuses jobs for whose state no leader has room. Nil refuses nothing.
	Budget *jobbudget.Gate
	// KeyWithdrawal is the time after which a withdrawn key must no longer be accepted.
	KeyWithdrawal time.Duration
	Log           zerolog.Logger
	// Draining is set when the process is about to stop. Responses then close their connections.
	Draining *atomic.Bool

	largeDecode sync.Mutex
}

// request is a routed and authenticated request.
type request struct {
	queue   *fleet.Queue
	team    string
	id      string
	version int64
}

// refusal describes the response to a request that was refused without effect.
type refusal struct {
	status int
	reason string
	// retryAfter is the value of the Retry-After header in seconds, or 0 if a retry cannot succeed.
	retryAfter int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refused := h.admit(r)
	if refused != nil {
		h.refuse(w, r, q, refused)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.deadline(r, q))
	defer cancel()
	switch {
	case r.Method == http.MethodGet && q.id == "":
		h.servePending(ctx, w, r, q)
	case q.id == "":
		h.refuse(w, r, q, &refusal{status: http.StatusNotFound, reason: "path contains no job ID"})
	case r.Method == http.MethodPost:
		h.submit(ctx, w, r, q)
	case r.Method == http.MethodGet:
		h.serveState(ctx, w, r, q)
	case r.Method == http.MethodDelete:
		h.cancel(ctx, w, r, q)
	default:
		h.refuse(w, r, q, &refusal{status: http.StatusMethodNotAllowed, reason: "method not allowed"})
	}
}

// admit returns the queue, the team and the job ID of a request, or the reason for its refusal.
func (h *Handler) admit(r *http.Request) (*request, *refusal) {
	c := h.Config.Config()
	if c == nil {
		return &request{}, &refusal{http.StatusServiceUnavailable, "no configuration has been read yet", retryAfterSeconds}
	}
	queue, rest := c.Route(r.Host, r.URL.Path)
	q := &request{queue: queue, version: c.Version}
	if queue == nil {
		return q, &refusal{status: http.StatusNotFound, reason: "no queue for this host and path"}
	}
	key := h.Codec.Key(r.Header.Get("Authorization"))
	if !queue.Public {
		if age, ok := h.Config.Age(); !ok || age > time.Duration(maxConfigAgeFraction*float64(h.KeyWithdrawal)) {
			reason := fmt.Sprintf("configuration may be out of date by %d ms", age.Milliseconds())
			return q, &refusal{http.StatusServiceUnavailable, reason, retryAfterSeconds}
		}
	}
	team := c.TeamOfKey(key)
	switch {
	case team != nil:
		q.team = team.Name
	case !queue.Public:
		return q, &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	if rest != "" && !validID(rest) {
		return q, &refusal{status: http.StatusNotFound, reason: fmt.Sprintf("job ID is not %d hexadecimal digits", idDigits)}
	}
	q.id = rest
	return q, nil
}

func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// deadline returns the maximum time until the response.
func (h *Handler) deadline(r *http.Request, q *request) time.Duration {
	d := defaultDeadline
	if q.queue.Timeout > 0 {
		d = min(d, q.queue.Timeout)
	}
	if ms, err := strconv.Atoi(r.Header.Get(h.Codec.DeadlineHeader)); err == nil && ms > 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return max(d-responseMargin, responseMargin)
}

// submit stores a job and accepts it.
func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	received := time.Now()
	if age, _ := h.Config.Age(); age > maxStoreSilence {
		reason := fmt.Sprintf("no contact with the store for %d ms", age.Milliseconds())
		h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, reason, retryAfterSeconds})
		return
	}
	body, err := ingress.ReadBody(w, r, h.bodyLimit())
	if err != nil {
		w.Header().Set("Connection", "close") // the rest of the body is unread
		h.refuse(w, r, q, bodyRefusal(err))
		return
	}
	// A client may take longer to send its body than a withdrawn key may be used.
	q, refused := h.admit(r)
	if refused != nil {
		h.refuse(w, r, q, refused)
		return
	}
	spec, err := h.decode(body)
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	if refused := h.shed(q, spec); refused != nil {
		counters.shed.Add(1)
		h.refuse(w, r, q, refused)
		return
	}
	if refused := h.fit(q, spec); refused != nil {
		counters.noRoom.Add(q.team, 1)
		h.refuse(w, r, q, refused)
		return
	}
	if refused := h.claim(ctx, q); refused != nil {
		h.refuse(w, r, q, refused)
		return
	}
	value, err := json.Marshal(workload.Submission{
		Queue: q.queue.Name, Pool: q.queue.Pool, Team: q.team, Attempts: q.queue.Attempts,
		NeedsTicket: q.queue.Advice != nil, Address: q.queue.Address(), AtMillis: received.UnixMilli(), Spec: spec,
	})
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	if h.append(ctx, w, r, q, store.Record{Key: workload.SubmissionKey(q.id), Value: value}) {
		counters.accepted.Add(1)
		counters.acceptMillis.Observe(time.Since(received))
		h.Log.Info().Str("event", "accepted").Str("job", q.id).Str("queue", q.queue.Name).Str("team", q.team).
			Int64("config_version", q.version).Dur("stored_in", time.Since(received)).Msg("job accepted")
		respond(w, http.StatusOK, []byte("{}"))
	}
}

// shed returns the refusal of a job that its queue cannot serve in time, or nil. Nothing of the job has been stored.
// Scheduled jobs are due at another time, and long-running ones come before all others: both are taken.
func (h *Handler) shed(q *request, spec *fleet.JobSpec) *refusal {
	if h.Overload == nil || spec.Times > 0 || spec.LongRunning() {
		return nil
	}
	refused := h.Overload.Refuse(q.queue.Name, q.team, q.id)
	if refused == nil {
		return nil
	}
	return &refusal{
		http.StatusTooManyRequests, "queue is overloaded and the team is beyond its share",
		int(math.Ceil(refused.RetryAfter.Seconds())),
	}
}

// fit returns the refusal of a job whose state would take too much memory of the leader, or nil. Nothing of the job has
// been stored.
func (h *Handler) fit(q *request, spec *fleet.JobSpec) *refusal {
	if h.Budget == nil {
		return nil
	}
	refused := h.Budget.Admit(q.team, q.id, workload.AcceptedBytes(spec))
	if refused == nil {
		return nil
	}
	return &refusal{
		http.StatusTooManyRequests, "the state of accepted jobs takes all memory that this team may use",
		int(math.Ceil(refused.RetryAfter.Seconds())),
	}
}

// claim reserves the job's ID for the client account at the address of the queue. Tasks are named by the ID on workers,
// so no other account may use it, and the newest submission under an ID would replace the others. The name of the queue
// does not count: a configuration may give the address to a queue of another name while a request is repeated.
func (h *Handler) claim(ctx context.Context, q *request) *refusal {
	if h.Claims == nil {
		return nil
	}
	err := h.Claims.Claim(ctx, q.id, q.team+"@"+q.queue.Address())
	switch {
	case err == nil:
		return nil
	case errors.Is(err, claim.ErrTaken):
		return &refusal{status: http.StatusServiceUnavailable, reason: err.Error()}
	default:
		return &refusal{http.StatusServiceUnavailable, err.Error(), retryAfterSeconds}
	}
}

// cancel stores a cancellation and confirms it.
func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	c := workload.Cancellation{Queue: q.queue.Name, Team: q.team, Address: q.queue.Address()}
	value, err := json.Marshal(c)
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	own := store.Record{Key: c.Key(q.id), Value: value}
	shared := store.Record{Key: workload.CancelKey(q.id), Value: value} // a leader of an earlier version reads no other
	if h.append(ctx, w, r, q, own, shared) {
		counters.cancelled.Add(1)
		h.Log.Info().Str("event", "cancel_accepted").Str("job", q.id).Str("queue", q.queue.Name).Str("team", q.team).
			Int64("config_version", q.version).Msg("cancellation stored")
		respond(w, http.StatusOK, []byte("{}"))
	}
}

// append stores records, all or none, and retries refused appends. If it fails, it responds to the request and returns
// false. A repeated append is harmless because readers identify each record by its key.
func (h *Handler) append(
	ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, records ...store.Record,
) bool {
	began := time.Now()
	unknown := false
	for {
		err := h.Jobs.Append(ctx, records...)
		if err == nil {
			return true
		}
		if errors.Is(err, store.ErrRefused) && !unknown {
			h.refuse(w, r, q, &refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()})
			return false
		}
		unknown = unknown || !errors.Is(err, store.ErrBusy) && !errors.Is(err, store.ErrFull)
		if ctx.Err() != nil || !unknown && time.Since(began) > storeRetryWindow {
			h.respondNotStored(w, r, q, err, unknown)
			return false
		}
		sleep.For(ctx, storeRetryDelay)
	}
}

// respondNotStored responds to a request whose record is not known to be stored. A request is refused only if the
// record was certainly not stored; otherwise the job may run, and the response reports the outcome as unknown.
func (h *Handler) respondNotStored(w http.ResponseWriter, r *http.Request, q *request, err error, unknown bool) {
	if unknown {
		counters.unknown.Add(1)
		h.Log.Warn().Str("event", "outcome_unknown").Str("job", q.id).Str("queue", q.queue.Name).
			Str("method", r.Method).Err(err).Msg("store did not confirm the record before the deadline")
		respond(w, http.StatusGatewayTimeout, nil)
		return
	}
	h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, err.Error(), retryAfterSeconds})
}

// serveState responds with the state of a job.
func (h *Handler) serveState(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	var state workload.State
	err := h.askLeader(ctx, func() (err error) {
		state, err = h.Leader.JobState(ctx, q.queue.Name, q.team, q.id)
		return err
	})
	switch {
	case err == nil:
		respond(w, http.StatusOK, h.Codec.State(string(state)))
	case errors.Is(err, dispatch.ErrNoJob):
		respond(w, http.StatusGone, []byte("{}"))
	default:
		h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, err.Error(), retryAfterSeconds})
	}
}

// servePending responds with the number of a queue's jobs that have not started.
func (h *Handler) servePending(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	n := 0
	err := h.askLeader(ctx, func() (err error) {
		n, err = h.Leader.PendingJobs(ctx, q.queue.Name)
		return err
	})
	if err != nil {
		h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, err.Error(), retryAfterSeconds})
		return
	}
	respond(w, http.StatusOK, h.Codec.Pending(n))
}

// askLeader runs query and repeats it until a leader is available or ctx is done.
func (h *Handler) askLeader(ctx context.Context, query func() error) error {
	for {
		err := query()
		if err == nil || !errors.Is(err, leaderrpc.ErrNoLeader) || ctx.Err() != nil {
			return err
		}
		sleep.For(ctx, leaderRetryDelay)
	}
}

// bodyLimit returns the limit for request bodies in force.
func (h *Handler) bodyLimit() int64 {
	if c := h.Config.Config(); c != nil && c.Limits.BodyBytes > 0 {
		return c.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// bodyRefusal returns the refusal of a request whose body was not received.
func bodyRefusal(err error) *refusal {
	switch {
	case errors.Is(err, ingress.ErrTooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	case errors.Is(err, ingress.ErrNoMemory):
		return &refusal{http.StatusServiceUnavailable, err.Error(), retryAfterSeconds}
	case errors.Is(err, ingress.ErrTimeout):
		return &refusal{status: http.StatusRequestTimeout, reason: err.Error()}
	default:
		return &refusal{status: http.StatusBadRequest, reason: err.Error()}
	}
}

// decode decodes a job. Large bodies are decoded one at a time, because a body of many small fields takes many times
// its size while it is decoded.
func (h *Handler) decode(body []byte) (*fleet.JobSpec, error) {
	if len(body) > maxConcurrentDecodeBytes {
		h.largeDecode.Lock()
		defer h.largeDecode.Unlock()
	}
	return h.Codec.Job(body)
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, q *request, refused *refusal) {
	counters.refused.Add(strconv.Itoa(refused.status), 1)
	queue := ""
	if q.queue != nil {
		queue = q.queue.Name
	}
	h.Log.Info().Str("event", "refused").Str("method", r.Method).Str("job", q.id).Str("queue", queue).Str("team", q.team).
		Int64("config_version", q.version).Int("status", refused.status).Str("reason", refused.reason).Msg("request refused")
	if refused.retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(refused.retryAfter))
	}
	respond(w, refused.status, nil)
}

func respond(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// An error means that the caller has disconnected and needs no response.
	_, _ = w.Write(body)
}
