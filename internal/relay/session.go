package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/jsonrpc2"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/sleep"
	"pollenlead/internal/worker"
)

const (
	dialTimeout = 250 * time.Millisecond
	openTimeout = 500 * time.Millisecond
	// silentAfter is the time without a batch of a delegate after which it is given up. It sends one every aliveInterval.
	silentAfter = time.Second
	// mostMissed is how many more calls a delegate may leave without an answer than it answers in time before it is slow. An answer that the worker
	// is silent is an answer.
	mostMissed = 8
)

// pending is a call under way.
type pending struct {
	worker string
	answer chan answered
}

// answered is the outcome of a call.
type answered struct {
	clockMillis int64
	report      worker.Report
	err         error
}

// session is the leader's side of a session: its connection to one delegate.
type session struct {
	member Member
	log    zerolog.Logger
	conn   *jsonrpc2.Conn
	// connected is closed when conn is set: the connection's reading goroutine may be faster.
	connected chan struct{}
	wake      chan struct{}
	broken    chan struct{}
	// mayGiveUp reports whether the session may end because its delegate is slow.
	mayGiveUp func() bool

	mu     sync.Mutex // guards what follows
	closed bool
	// leaving means that the delegate wants no more calls.
	leaving bool
	number  uint64
	calls   map[uint64]*pending
	queue   []call
	specs   map[string]bool // jobs whose spec the delegate knows
	forget  bool
	last    runLists
	missed  int
	// clock is the delegate's boot clock when heard was this one's.
	clock, heard time.Duration
}

// openSession connects to a delegate.
func openSession(ctx context.Context, m Member, token int64, mayGiveUp func() bool, log zerolog.Logger) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, fmt.Errorf("relay: connect to %s: %w", m.Name, err)
	}
	s := &session{
		member: m, log: log, mayGiveUp: mayGiveUp, connected: make(chan struct{}), wake: make(chan struct{}, 1), broken: make(chan struct{}), calls: map[uint64]*pending{},
		specs: map[string]bool{}, last: runLists{},
	}
	stream := jsonrpc2.NewPlainObjectStream(timedConn{raw})
	s.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(quietLog{log}))
	close(s.connected)
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var opened openResult
	if err := s.conn.Call(opening, methodOpen, openParams{Token: token}, &opened); err != nil {
		_ = s.conn.Close()
		return nil, fmt.Errorf("relay: open a session at %s: %w", m.Name, err)
	}
	s.hear(opened.ClockMillis)
	go s.write(ctx)
	go s.watch(ctx)
	return s, nil
}

// hear notes a sign of life. Callers do not hold mu.
func (s *session) hear(clockMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock, s.heard = duration(clockMillis), bootclock.Now()
}

// until returns the delegate's boot clock at which a call that is given now has run out. It is too early by the time that the delegate's
// last batch took, and never too late. Callers hold mu.
func (s *session) until(left time.Duration) int64 {
	since := bootclock.Now() - s.heard
	return millis(s.clock + time.Duration(float64(since)*(1-clockDrift)) + left)
}

// usable reports whether the session takes calls.
func (s *session) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// call passes on one call and waits for its outcome.
func (s *session) call(ctx context.Context, x call, timeout time.Duration) answered {
	p, number, ok := s.enqueue(x, timeout)
	if !ok {
		return answered{err: s.lost(errors.New("the session has ended"))}
	}
	timer := time.NewTimer(timeout + relayTime)
	defer timer.Stop()
	select {
	case a := <-p.answer:
		return a
	case <-timer.C:
		defer s.miss()
	case <-s.broken:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case a := <-p.answer:
		return a
	default:
	}
	delete(s.calls, number)
	return answered{err: s.lost(ctx.Err())}
}

// miss counts a call that the delegate has not answered in time.
func (s *session) miss() {
	s.mu.Lock()
	s.missed++
	slow := s.missed > mostMissed
	s.mu.Unlock()
	if slow && s.mayGiveUp() {
		s.close(errors.New("it is too slow"))
	}
}

// slow reports whether the delegate leaves calls without an answer.
func (s *session) slow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missed > mostMissed/2
}

// lost is the error of a call without an answer of the delegate.
func (s *session) lost(cause error) error {
	if cause == nil {
		cause = errors.New("no answer in time")
	}
	return fmt.Errorf("%w: %w: %s: %w", worker.ErrUnknown, ErrDelegate, s.member.Name, cause)
}

// enqueue adds a call to the next batch.
func (s *session) enqueue(x call, timeout time.Duration) (p *pending, number uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, 0, false
	}
	s.number++
	x.Number, x.TimeoutMillis, x.UntilMillis = s.number, millis(timeout), s.until(timeout+relayTime)
	if x.Start != nil {
		s.shareSpec(x.Start)
	}
	p = &pending{worker: x.Worker, answer: make(chan answered, 1)}
	s.calls[x.Number] = p
	s.queue = append(s.queue, x)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return p, x.Number, true
}

// shareSpec leaves out a spec that the delegate knows. Callers hold mu.
func (s *session) shareSpec(x *startCall) {
	job := jobOf(x.Task)
	if s.specs[job] {
		x.Spec = nil
		return
	}
	if len(s.specs) >= maxSpecs && len(s.queue) == 0 {
		clear(s.specs)
		s.forget = true
	}
	s.specs[job] = true
}

// write sends the calls in batches until the session ends.
func (s *session) write(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.close(ctx.Err())
			return
		case <-s.broken:
			return
		case <-s.wake:
		}
		s.mu.Lock()
		b := callBatch{Forget: s.forget, Calls: s.queue}
		s.queue, s.forget = nil, false
		s.mu.Unlock()
		if err := s.send(ctx, b); err != nil {
			s.close(err)
			return
		}
		sleep.For(ctx, callPause)
	}
}

func (s *session) send(ctx context.Context, b callBatch) error {
	p, err := encodePayload(b)
	if err != nil {
		return err
	}
	return s.conn.Notify(ctx, methodCalls, p)
}

// handle applies what the delegate sends.
func (s *session) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	<-s.connected
	if r.Method != methodAnswers || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var b answerBatch
	if err := decodePayload(r.Params, &b); err != nil {
		// Later changes of reports would be applied to a wrong list.
		s.close(err)
		return nil, invalid(err)
	}
	s.hear(b.ClockMillis)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = s.leaving || b.Leaving
	for i := range b.Answers {
		s.answered(&b.Answers[i])
	}
	return nil, nil
}

// answered applies one answer, also if nobody waits for it any more. Callers hold mu.
func (s *session) answered(a *answer) {
	out := answered{clockMillis: a.ClockMillis, err: a.decodeError(s.member.Name)}
	if a.Report != nil {
		out.report = s.last.decode(a.Worker, a.ClockMillis, a.Report)
	}
	if p := s.calls[a.Number]; p != nil {
		delete(s.calls, a.Number)
		s.missed = max(s.missed-1, 0)
		p.answer <- out
	}
}

// watch ends the session when the connection breaks or the delegate falls silent.
func (s *session) watch(ctx context.Context) {
	const interval = aliveInterval / 2
	last := bootclock.Now()
	for {
		select {
		case <-s.broken:
			return
		case <-s.conn.DisconnectNotify():
			s.close(errors.New("the connection has ended"))
			return
		case <-ctx.Done():
			s.close(ctx.Err())
			return
		case <-time.After(interval):
		}
		now := bootclock.Now()
		late := now-last > 2*interval // this process did not run either: what the delegate has sent meanwhile is still to be read
		last = now
		if !late && s.silent(now) {
			s.close(errors.New("it has sent nothing for too long"))
			return
		}
	}
}

func (s *session) silent(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.heard > silentAfter
}

// close ends the session. Its calls may have been carried out.
func (s *session) close(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.broken)
	if !errors.Is(cause, context.Canceled) {
		s.log.Info().Str("event", "delegate_lost").Str("delegate", s.member.Name).Int("calls", len(s.calls)).Err(cause).Msg("a delegate is given up")
	}
	go func() { _ = s.conn.Close() }()
}
