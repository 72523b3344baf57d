// Package front is the callers' interface of an entry instance on the platform: it accepts, cancels and reports jobs.
package front

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"pollenlead/internal/dispatch"
	"pollenlead/internal/fleet"
	"pollenlead/internal/leaderrpc"
	"pollenlead/internal/sleep"
	"pollenlead/internal/store"
	"pollenlead/internal/workload"
)

const (
	// keyContact is the part of the time of a key's withdrawal after which the configuration counts as out of date.
	keyContact = 0.56
	// storeSilence is the time without contact after which the store counts as away: a job is then refused at once, before an append
	// makes its outcome unknown.
	storeSilence = 1600 * time.Millisecond
	// defaultDeadline is how long a caller waits that does not say it.
	defaultDeadline = 3 * time.Second
	// answerMargin is the part of the deadline that is kept for the answer's way.
	answerMargin = 100 * time.Millisecond
	// storeTries bounds the time in which a refused append is tried again.
	storeTries   = time.Second
	storeRetry   = 40 * time.Millisecond
	leaderRetry  = 60 * time.Millisecond
	idDigits     = 16
	retrySeconds = 1
	// defaultBodyBytes bounds a body while the configuration does not.
	defaultBodyBytes = 256 << 10
)

// Codec decodes and encodes callers' bodies. The adapter provides it.
type Codec struct {
	Job            func(body []byte) (*fleet.JobSpec, error)
	State          func(state string) []byte
	Pending        func(n int) []byte
	Key            func(authorization string) string
	DeadlineHeader string
}

// Config returns the configuration in force.
type Config interface {
	Config() *fleet.Config
	// Age returns for how long the configuration may have been out of date.
	Age() (time.Duration, bool)
}

// Leader answers questions about jobs.
type Leader interface {
	JobState(ctx context.Context, queue, team, id string) (workload.State, error)
	PendingJobs(ctx context.Context, queue string) (int, error)
}

// Handler serves callers.
type Handler struct {
	Config Config
	// Jobs appends to the partitions of the jobs' topic.
	Jobs   *store.Batchers
	Leader Leader
	Codec  Codec
	// KeyWithdrawal is the time after which a withdrawn key must not work.
	KeyWithdrawal time.Duration
	Log           zerolog.Logger
	// Draining is set when the process is about to stop: answers then close their connections.
	Draining *atomic.Bool
}

// request is a routed and authenticated request.
type request struct {
	queue   *fleet.Queue
	team    string
	id      string
	version int64
}

// refusal is an answer that says that nothing was done.
type refusal struct {
	status int
	reason string
	// retry says when to come back; 0 if coming back does not help.
	retry int
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q, no := h.admit(r)
	if no != nil {
		h.refuse(w, r, q, no)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), h.deadline(r, q))
	defer cancel()
	switch {
	case r.Method == http.MethodGet && q.id == "":
		h.pending(ctx, w, r, q)
	case q.id == "":
		h.refuse(w, r, q, &refusal{status: http.StatusNotFound, reason: "no job is named"})
	case r.Method == http.MethodPost:
		h.submit(ctx, w, r, q)
	case r.Method == http.MethodGet:
		h.state(ctx, w, r, q)
	case r.Method == http.MethodDelete:
		h.cancel(ctx, w, r, q)
	default:
		h.refuse(w, r, q, &refusal{status: http.StatusMethodNotAllowed, reason: "method"})
	}
}

// admit finds the queue and the team of a request.
func (h *Handler) admit(r *http.Request) (*request, *refusal) {
	c := h.Config.Config()
	if c == nil {
		return &request{}, &refusal{http.StatusServiceUnavailable, "no configuration yet", retrySeconds}
	}
	queue, rest := c.Route(r.Host, r.URL.Path)
	q := &request{queue: queue, version: c.Version}
	if queue == nil {
		return q, &refusal{status: http.StatusNotFound, reason: "no such queue"}
	}
	key := h.Codec.Key(r.Header.Get("Authorization"))
	if !queue.Public {
		if age, ok := h.Config.Age(); !ok || age > time.Duration(keyContact*float64(h.KeyWithdrawal)) {
			return q, &refusal{http.StatusServiceUnavailable, fmt.Sprintf("configuration may be %d ms old", age.Milliseconds()), retrySeconds}
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
		return q, &refusal{status: http.StatusNotFound, reason: "not a job ID"}
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

// deadline returns how long the answer may take.
func (h *Handler) deadline(r *http.Request, q *request) time.Duration {
	d := defaultDeadline
	if q.queue.Timeout > 0 {
		d = min(d, q.queue.Timeout)
	}
	if ms, err := strconv.Atoi(r.Header.Get(h.Codec.DeadlineHeader)); err == nil && ms > 0 {
		d = min(d, time.Duration(ms)*time.Millisecond)
	}
	return max(d-answerMargin, answerMargin)
}

// submit stores a job and accepts it.
func (h *Handler) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	received := time.Now()
	if age, _ := h.Config.Age(); age > storeSilence {
		h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, fmt.Sprintf("no contact to the store for %d ms", age.Milliseconds()), retrySeconds})
		return
	}
	body, err := h.body(r)
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusRequestEntityTooLarge, reason: err.Error()})
		return
	}
	spec, err := h.Codec.Job(body)
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	value, err := json.Marshal(workload.Submission{
		Queue: q.queue.Name, Pool: q.queue.Pool, Team: q.team, AtMillis: received.UnixMilli(), Spec: spec,
	})
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	if h.append(ctx, w, r, q, store.Record{Key: workload.SubmissionKey(q.id), Value: value}) {
		counters.accepted.Add(1)
		counters.acceptMillis.Observe(time.Since(received))
		h.Log.Info().Str("event", "accepted").Str("job", q.id).Str("queue", q.queue.Name).Str("team", q.team).Int64("config_version", q.version).
			Dur("stored_in", time.Since(received)).Msg("job accepted")
		answer(w, http.StatusOK, []byte("{}"))
	}
}

// cancel stores a cancellation and confirms it.
func (h *Handler) cancel(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	value, err := json.Marshal(workload.Cancellation{Queue: q.queue.Name, Team: q.team})
	if err != nil {
		h.refuse(w, r, q, &refusal{status: http.StatusBadRequest, reason: err.Error()})
		return
	}
	if h.append(ctx, w, r, q, store.Record{Key: workload.CancelKey(q.id), Value: value}) {
		counters.cancelled.Add(1)
		h.Log.Info().Str("event", "cancel_accepted").Str("job", q.id).Str("team", q.team).Int64("config_version", q.version).Msg("cancellation stored")
		answer(w, http.StatusOK, []byte("{}"))
	}
}

// append stores one record, and answers the request itself if it cannot. The record's key makes a repeat harmless.
func (h *Handler) append(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request, record store.Record) bool {
	began := time.Now()
	unknown := false
	for {
		err := h.Jobs.Append(ctx, record)
		if err == nil {
			return true
		}
		unknown = unknown || !errors.Is(err, store.ErrBusy) && !errors.Is(err, store.ErrFull)
		if ctx.Err() != nil || !unknown && time.Since(began) > storeTries {
			h.notStored(w, r, q, err, unknown)
			return false
		}
		sleep.For(ctx, storeRetry)
	}
}

// notStored answers a request whose record is not known to be stored. Only a record that was surely not stored is refused;
// otherwise the job may run, and the answer says that the outcome is unknown.
func (h *Handler) notStored(w http.ResponseWriter, r *http.Request, q *request, err error, unknown bool) {
	if unknown {
		counters.unknown.Add(1)
		h.Log.Warn().Str("event", "outcome_unknown").Str("job", q.id).Str("queue", q.queue.Name).Str("method", r.Method).Err(err).Msg("the store did not answer in time")
		answer(w, http.StatusGatewayTimeout, nil)
		return
	}
	h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, err.Error(), retrySeconds})
}

// state tells the state of a job.
func (h *Handler) state(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	var state workload.State
	err := h.ask(ctx, func() (err error) {
		state, err = h.Leader.JobState(ctx, q.queue.Name, q.team, q.id)
		return err
	})
	switch {
	case err == nil:
		answer(w, http.StatusOK, h.Codec.State(string(state)))
	case errors.Is(err, dispatch.ErrNoJob):
		answer(w, http.StatusGone, []byte("{}"))
	default:
		h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, err.Error(), retrySeconds})
	}
}

// pending tells the number of a queue's jobs that have not begun.
func (h *Handler) pending(ctx context.Context, w http.ResponseWriter, r *http.Request, q *request) {
	n := 0
	err := h.ask(ctx, func() (err error) {
		n, err = h.Leader.PendingJobs(ctx, q.queue.Name)
		return err
	})
	if err != nil {
		h.refuse(w, r, q, &refusal{http.StatusServiceUnavailable, err.Error(), retrySeconds})
		return
	}
	answer(w, http.StatusOK, h.Codec.Pending(n))
}

// ask asks the leader again while there is none and the caller waits.
func (h *Handler) ask(ctx context.Context, question func() error) error {
	for {
		err := question()
		if err == nil || !errors.Is(err, leaderrpc.ErrNoLeader) || ctx.Err() != nil {
			return err
		}
		sleep.For(ctx, leaderRetry)
	}
}

func (h *Handler) body(r *http.Request) ([]byte, error) {
	limit := int64(defaultBodyBytes)
	if c := h.Config.Config(); c != nil && c.Limits.BodyBytes > 0 {
		limit = c.Limits.BodyBytes
	}
	if r.ContentLength > limit {
		return nil, fmt.Errorf("body of %d bytes is over the limit of %d", r.ContentLength, limit)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("body is over the limit of %d bytes", limit)
	}
	return body, nil
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, q *request, no *refusal) {
	counters.refused.Add(strconv.Itoa(no.status), 1)
	queue := ""
	if q.queue != nil {
		queue = q.queue.Name
	}
	h.Log.Info().Str("event", "refused").Str("method", r.Method).Str("job", q.id).Str("queue", queue).Str("team", q.team).
		Int64("config_version", q.version).Int("status", no.status).Str("reason", no.reason).Msg("request refused")
	if no.retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(no.retry))
	}
	answer(w, no.status, nil)
}

func answer(w http.ResponseWriter, status int, body []byte) {
	if len(body) > 0 {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A caller that has gone does not need its answer.
	_, _ = w.Write(body)
}
