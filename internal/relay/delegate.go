package relay

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
)

var (
	callsPassed  = expvar.NewInt("relay_calls_passed_total")
	callsExpired = expvar.NewInt("relay_calls_expired_total")
	callsFenced  = expvar.NewInt("relay_calls_fenced_total")
)

// Delegate passes on the calls of leaders. Its methods may be called from any goroutine.
type Delegate struct {
	Workers worker.Client
	// Token returns the fencing token of the newest term that this entry instance knows of.
	Token func() int64
	Log   zerolog.Logger

	highest atomic.Int64 // token of the newest term that has opened a session
	leaving atomic.Bool
}

// Serve takes sessions until the listener is closed.
func (d *Delegate) Serve(ctx context.Context, l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		s := &delegateSession{delegate: d, ctx: ctx, last: runLists{}, specs: map[string]string{}, wake: make(chan struct{}, 1)}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(timedConn{conn}), jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(quietLog{d.Log}))
	}
}

// AnnounceLeaving tells the leader that this entry instance stops soon.
func (d *Delegate) AnnounceLeaving() { d.leaving.Store(true) }

// outdated reports whether a newer term than the one with that token has begun.
func (d *Delegate) outdated(token int64) bool {
	return token < max(d.highest.Load(), d.Token())
}

// raise notes the token of a term.
func (d *Delegate) raise(token int64) {
	for {
		old := d.highest.Load()
		if token <= old || d.highest.CompareAndSwap(old, token) {
			return
		}
	}
}

// delegateSession is the delegate's side of one session of a leader.
type delegateSession struct {
	delegate *Delegate
	ctx      context.Context
	wake     chan struct{}

	// Only the connection's reading goroutine uses these.
	token int64
	open  bool
	specs map[string]string // by job

	mu      sync.Mutex // guards what follows
	last    runLists
	answers []answer
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
		return s.opened(conn, p)
	case methodCalls:
		var b callBatch
		if err := decodePayload(r.Params, &b); err != nil || !s.open {
			// A batch that cannot be read leaves the leader's calls unanswered: they may be carried out by nobody, which the leader assumes anyhow.
			s.delegate.Log.Warn().Err(err).Str("event", "bad_calls").Bool("open", s.open).Msg("a batch of calls for workers cannot be read")
			return nil, invalid(err)
		}
		s.take(b)
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

// opened begins the session.
func (s *delegateSession) opened(conn *jsonrpc2.Conn, p openParams) (openResult, error) {
	if s.open {
		return openResult{}, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: "the session is open already"}
	}
	s.open, s.token = true, p.Token
	s.delegate.raise(p.Token)
	go s.write(conn)
	s.delegate.Log.Info().Str("event", "delegate_session").Int64("token", p.Token).Msg("a leader sends its calls for workers through this entry instance")
	return openResult{ClockMillis: millis(bootclock.Now())}, nil
}

// take begins the calls of a batch.
func (s *delegateSession) take(b callBatch) {
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
		go s.pass(x, spec)
	}
}

// pass sends one call, unless the permission for it has run out.
func (s *delegateSession) pass(x *call, spec string) {
	a := answer{Number: x.Number}
	switch {
	case s.delegate.outdated(s.token):
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
	callsPassed.Add(1)
	ctx, cancel := context.WithTimeout(s.ctx, duration(x.TimeoutMillis))
	defer cancel()
	s.call(ctx, x, spec, &a)
}

// call sends a call and answers with its outcome.
func (s *delegateSession) call(ctx context.Context, x *call, spec string, a *answer) {
	to, workers := worker.Address{ID: x.Worker, Address: x.Address}, s.delegate.Workers
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

// hold asks a worker for its report. The changes of reports have to be worked out in the order in which they are sent.
func (s *delegateSession) hold(ctx context.Context, to worker.Address, h *holdCall, a *answer) {
	r, err := s.delegate.Workers.Hold(ctx, to, worker.Hold{
		FencingToken: s.token, Acknowledged: h.Acknowledged, DeadlineMillis: h.DeadlineMillis, Wait: duration(h.WaitMillis),
	})
	a.encodeError(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		a.ClockMillis, a.Worker = r.ClockMillis, to.ID
		a.Report = s.last.encode(to.ID, r, h)
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

// write sends the answers in batches until the connection ends.
func (s *delegateSession) write(conn *jsonrpc2.Conn) {
	alive := time.NewTicker(aliveInterval)
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
			s.delegate.Log.Info().Str("event", "session_lost").Int64("token", s.token).Err(err).Msg("a leader's session has ended")
			return
		}
		sleep.For(s.ctx, answerPause)
	}
}
