package relay

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/ingress"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
)

var (
	callsForwarded = expvar.NewInt("relay_calls_passed_total")
	callsExpired   = expvar.NewInt("relay_calls_expired_total")
	callsFenced    = expvar.NewInt("relay_calls_fenced_total")
)

// Delegate forwards the calls of leaders to workers. Its methods are safe for concurrent use.
type Delegate struct {
	Workers worker.Client
	// Token returns the fencing token of the newest term that this entry instance has seen in the election.
	Token func() int64
	// Limits bounds what the connections of leaders take.
	Limits ingress.Limits
	Log    zerolog.Logger

	highestToken atomic.Int64 // fencing token of the newest term that has opened a session
	leaving      atomic.Bool
}

// Serve accepts sessions until the listener is closed.
func (d *Delegate) Serve(ctx context.Context, l net.Listener) {
	newHandler := func() jsonrpc2.Handler {
		s := &delegateSession{
			delegate: d, ctx: ctx, lastRuns: runsByWorker{}, specs: map[string]string{}, wake: make(chan struct{}, 1),
		}
		return jsonrpc2.HandlerWithError(s.handle)
	}
	ingress.New(d.Limits, d.Log).ServeRPC(ctx, l, newHandler, debugLogger{d.Log})
}

// AnnounceLeaving makes every later batch of answers announce that this entry instance stops soon, so that leaders send
// it no more calls.
func (d *Delegate) AnnounceLeaving() { d.leaving.Store(true) }

// superseded reports whether a term with a higher fencing token than token has begun.
func (d *Delegate) superseded(token int64) bool {
	return token < max(d.highestToken.Load(), d.Token())
}

// raiseToken records the fencing token of a term if it is the highest so far.
func (d *Delegate) raiseToken(token int64) {
	for {
		old := d.highestToken.Load()
		if token <= old || d.highestToken.CompareAndSwap(old, token) {
			return
		}
	}
}

// delegateSession is the delegate's side of one session of a leader.
type delegateSession struct {
	delegate *Delegate
	ctx      context.Context
	wake     chan struct{}

	// The fields up to specs are used only by the connection's reading goroutine.
	token int64
	open  bool
	specs map[string]string // by job

	mu       sync.Mutex // guards what follows
	lastRuns runsByWorker
	answers  []answer
}

func (s *delegateSession) handle(_ context.Context, conn *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "parameters are missing"}
	}
	switch r.Method {
	case methodOpen:
		var p openParams
		if err := json.Unmarshal(*r.Params, &p); err != nil {
			return nil, invalid(err)
		}
		return s.begin(conn, p)
	case methodCalls:
		var b callBatch
		if err := decodePayload(r.Params, &b); err != nil || !s.open {
			// The calls of a batch that cannot be decoded stay unanswered. The leader treats an unanswered call as one
			// that may or may not have been carried out, so dropping the batch is safe.
			s.delegate.Log.Warn().Err(err).Str("event", "bad_calls").Bool("open", s.open).Msg("rejected a batch of calls")
			return nil, invalid(err)
		}
		s.dispatch(b)
		return nil, nil
	}
	return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
}

func invalid(err error) error {
	text := "no session is open"
	if err != nil {
		text = err.Error()
	}
	return &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: text}
}

// begin starts the session and the goroutine that sends its answers.
func (s *delegateSession) begin(conn *jsonrpc2.Conn, p openParams) (openResult, error) {
	if s.open {
		return openResult{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the session is open already"}
	}
	s.open, s.token = true, p.Token
	s.delegate.raiseToken(p.Token)
	go s.writeLoop(conn)
	s.delegate.Log.Info().Str("event", "delegate_session").Int64("token", p.Token).
		Msg("a leader opened a session")
	return openResult{ClockMillis: millis(bootclock.Now())}, nil
}

// dispatch starts the calls of a batch. A start whose spec is not in the session is answered as not sent.
func (s *delegateSession) dispatch(b callBatch) {
	if b.Forget {
		clear(s.specs)
	}
	for i := range b.Calls {
		x := &b.Calls[i]
		spec := ""
		if x.Start != nil {
			if x.Start.Spec != nil {
				s.specs[jobOf(x.Start.Task)] = *x.Start.Spec
			}
			var known bool
			if spec, known = s.specs[jobOf(x.Start.Task)]; !known {
				s.answer(answer{Number: x.Number, Failure: failureNotSent, Text: "the spec is not known"})
				continue
			}
		}
		go s.forward(x, spec)
	}
}

// forward sends one call, unless its term is superseded or its deadline has passed.
func (s *delegateSession) forward(x *call, spec string) {
	a := answer{Number: x.Number}
	switch {
	case s.delegate.superseded(s.token):
		callsFenced.Add(1)
		a.Failure, a.Reason = failureRefused, worker.RefusedFence
		s.answer(a)
		return
	case bootclock.Now() > duration(x.UntilMillis):
		callsExpired.Add(1)
		a.Failure, a.Text = failureNotSent, "the call reached its delegate too late"
		s.answer(a)
		return
	}
	callsForwarded.Add(1)
	ctx, cancel := context.WithTimeout(s.ctx, duration(x.TimeoutMillis))
	defer cancel()
	// The process may be frozen from here until the request is written.
	ctx = worker.WithSendCheck(ctx, func() error { return s.maySend(x) })
	s.call(ctx, x, spec, &a)
}

// errCallWithdrawn means that a call was not sent because its deadline has passed or another term has begun.
var errCallWithdrawn = errors.New("relay: the call is no longer valid")

// maySend returns an error if a call must not be sent any more.
func (s *delegateSession) maySend(x *call) error {
	if s.delegate.superseded(s.token) || bootclock.Now() > duration(x.UntilMillis) {
		return errCallWithdrawn
	}
	return nil
}

// call sends a call to its worker and queues the outcome as the answer.
func (s *delegateSession) call(ctx context.Context, x *call, spec string, a *answer) {
	to := worker.Address{ID: x.Worker, Address: x.Address, Incarnation: x.Incarnation}
	workers := s.delegate.Workers
	switch {
	case x.Hold != nil:
		s.hold(ctx, to, x.Hold, a)
		return
	case x.Start != nil:
		clock, err := workers.Start(ctx, to, worker.Start{
			Task: x.Start.Task, Run: x.Start.Run, Spec: spec, DeadlineMillis: x.Start.DeadlineMillis, FencingToken: s.token,
			Checkpoint: x.Start.Checkpoint, Ticket: x.Start.Ticket,
		})
		a.ClockMillis = clock
		a.encodeError(err)
	case x.Stop != nil:
		a.encodeError(workers.Stop(ctx, to, x.Stop.Task, x.Stop.Run, s.token))
	case x.Pace != nil:
		a.encodeError(workers.SetPace(ctx, to, x.Pace.Task, x.Pace.Run, x.Pace.Percent, s.token))
	default:
		a.Failure, a.Text = failureInvalid, "the call orders nothing"
	}
	s.answer(*a)
}

// hold fetches a worker's report. The report is encoded and queued under one lock, because the differences between
// reports must be sent in the order in which they are computed.
func (s *delegateSession) hold(ctx context.Context, to worker.Address, h *holdCall, a *answer) {
	r, err := s.delegate.Workers.Hold(ctx, to, worker.Hold{
		FencingToken: s.token, Acknowledged: h.Acknowledged, DeadlineMillis: h.DeadlineMillis, Wait: duration(h.WaitMillis),
		Seen: h.Seen, Incarnation: h.Incarnation,
	})
	a.encodeError(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		a.ClockMillis, a.Worker = r.ClockMillis, to.ID
		a.Report = s.lastRuns.encode(to.ID, r, h)
	}
	s.answers = append(s.answers, *a)
	s.signal()
}

// answer queues an answer.
func (s *delegateSession) answer(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers = append(s.answers, a)
	s.signal()
}

func (s *delegateSession) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// writeLoop sends the answers in batches until the connection ends. It sends an empty batch after heartbeatInterval.
func (s *delegateSession) writeLoop(conn *jsonrpc2.Conn) {
	alive := time.NewTicker(heartbeatInterval)
	defer alive.Stop()
	defer func() { _ = conn.Close() }()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-conn.DisconnectNotify():
			return
		case <-s.wake:
		case <-alive.C:
		}
		s.mu.Lock()
		b := answerBatch{ClockMillis: millis(bootclock.Now()), Leaving: s.delegate.leaving.Load(), Answers: s.answers}
		s.answers = nil
		s.mu.Unlock()
		p, err := encodePayload(b)
		if err == nil {
			err = conn.Notify(s.ctx, methodAnswers, p)
		}
		if err != nil {
			s.delegate.Log.Info().Str("event", "session_lost").Int64("token", s.token).Err(err).
				Msg("could not send answers; the session has ended")
			return
		}
		sleep.For(s.ctx, answerInterval)
	}
}
