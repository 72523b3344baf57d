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
	// silenceTimeout is the time without a batch from the delegate after which the session ends. The delegate sends a
	// batch at least every heartbeatInterval.
	silenceTimeout = time.Second
	// maxMissed is the missed-call count above which a delegate is too slow. A call without an answer in time
	// increments the count, and an answered call decrements it. An answer that reports a silent worker counts as an
	// answer.
	maxMissed = 8
)

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	worker string
	result chan callResult
}

// callResult is the outcome of a call.
type callResult struct {
	clockMillis int64
	report      worker.Report
	err         error
}

// session is the leader's side of a session with one delegate.
type session struct {
	member Member
	log    zerolog.Logger
	conn   *jsonrpc2.Conn
	// connected is closed when conn is set. The connection's reading goroutine may receive a message before that.
	connected chan struct{}
	wake      chan struct{}
	done      chan struct{}
	// mayCloseSlow reports whether the session may end because its delegate is slow.
	mayCloseSlow func() bool

	mu     sync.Mutex // guards what follows
	closed bool
	// leaving means that the delegate accepts no more calls.
	leaving  bool
	number   uint64
	calls    map[uint64]*pendingCall
	queue    []call
	specs    map[string]bool // jobs whose spec the delegate has received
	forget   bool
	lastRuns runsByWorker
	missed   int
	// peerClock is the delegate's boot clock at the time lastContact of this process's boot clock.
	peerClock, lastContact time.Duration
}

// openSession connects to a delegate.
func openSession(
	ctx context.Context, m Member, token int64, mayCloseSlow func() bool, log zerolog.Logger,
) (*session, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", m.Address)
	if err != nil {
		return nil, fmt.Errorf("relay: connect to %s: %w", m.Name, err)
	}
	s := &session{
		member: m, log: log, mayCloseSlow: mayCloseSlow,
		connected: make(chan struct{}), wake: make(chan struct{}, 1), done: make(chan struct{}),
		calls: map[uint64]*pendingCall{}, specs: map[string]bool{}, lastRuns: runsByWorker{},
	}
	stream := jsonrpc2.NewPlainObjectStream(writeTimeoutConn{raw})
	s.conn = jsonrpc2.NewConn(
		context.WithoutCancel(ctx), stream, jsonrpc2.HandlerWithError(s.handle), jsonrpc2.SetLogger(debugLogger{log}),
	)
	close(s.connected)
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	var opened openResult
	if err := s.conn.Call(opening, methodOpen, openParams{Token: token}, &opened); err != nil {
		_ = s.conn.Close()
		return nil, fmt.Errorf("relay: open a session at %s: %w", m.Name, err)
	}
	s.recordContact(opened.ClockMillis)
	go s.writeLoop(ctx)
	go s.watch(ctx)
	return s, nil
}

// recordContact stores the delegate's clock and the time at which it was received. Callers must not hold mu.
func (s *session) recordContact(clockMillis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peerClock, s.lastContact = duration(clockMillis), bootclock.Now()
}

// delegateDeadline returns the time on the delegate's boot clock after which a call that is issued now, with the given
// time left, must not be sent. The result is early by the transit time of the delegate's last batch and by the
// allowance for clock drift, and never late. Callers must hold mu.
func (s *session) delegateDeadline(left time.Duration) int64 {
	since := bootclock.Now() - s.lastContact
	return millis(s.peerClock + time.Duration(float64(since)*(1-maxClockDrift)) + left)
}

// usable reports whether the session accepts calls.
func (s *session) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.closed && !s.leaving
}

// call sends one call to the delegate and waits for its outcome, at most for timeout and maxRelayDelay.
func (s *session) call(ctx context.Context, x call, timeout time.Duration) callResult {
	p, number, ok := s.enqueue(x, timeout)
	if !ok {
		return callResult{err: s.unansweredError(errors.New("session has ended"))}
	}
	timer := time.NewTimer(timeout + maxRelayDelay)
	defer timer.Stop()
	select {
	case a := <-p.result:
		return a
	case <-timer.C:
		defer s.recordMiss()
	case <-s.done:
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case a := <-p.result:
		return a
	default:
	}
	delete(s.calls, number)
	return callResult{err: s.unansweredError(ctx.Err())}
}

// recordMiss counts a call that the delegate has not answered in time. It ends the session if the delegate is slow and
// mayCloseSlow allows it.
func (s *session) recordMiss() {
	s.mu.Lock()
	s.missed++
	slow := s.missed > maxMissed
	s.mu.Unlock()
	if slow && s.mayCloseSlow() {
		s.close(fmt.Errorf("delegate too slow: missed-call count above %d", maxMissed))
	}
}

// isSlow reports whether the missed-call count is above half of maxMissed.
func (s *session) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.missed > maxMissed/2
}

// unansweredError returns the error of a call that the delegate did not answer.
func (s *session) unansweredError(cause error) error {
	if cause == nil {
		cause = errors.New("no answer received")
	}
	return fmt.Errorf("%w: %w: %s: %w", worker.ErrUnknown, ErrDelegate, s.member.Name, cause)
}

// enqueue adds a call to the next batch.
func (s *session) enqueue(x call, timeout time.Duration) (p *pendingCall, number uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil, 0, false
	}
	s.number++
	x.Number, x.TimeoutMillis, x.UntilMillis = s.number, millis(timeout), s.delegateDeadline(timeout+maxRelayDelay)
	if x.Start != nil {
		s.omitKnownSpec(x.Start)
	}
	p = &pendingCall{worker: x.Worker, result: make(chan callResult, 1)}
	s.calls[x.Number] = p
	s.queue = append(s.queue, x)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return p, x.Number, true
}

// omitKnownSpec removes the spec of a start if the delegate has received it before. When maxSpecs is reached, both
// sides drop their specs. Callers must hold mu.
func (s *session) omitKnownSpec(x *startCall) {
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

// writeLoop sends the calls in batches until the session ends.
func (s *session) writeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			s.close(ctx.Err())
			return
		case <-s.done:
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
		sleep.For(ctx, callInterval)
	}
}

func (s *session) send(ctx context.Context, b callBatch) error {
	p, err := encodePayload(b)
	if err != nil {
		return err
	}
	return s.conn.Notify(ctx, methodCalls, p)
}

// handle applies a batch of answers from the delegate.
func (s *session) handle(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	<-s.connected
	if r.Method != methodAnswers || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method " + r.Method}
	}
	var b answerBatch
	if err := decodePayload(r.Params, &b); err != nil {
		// Reports are differences, so later ones would be applied to a stale list of runs.
		s.close(err)
		return nil, invalid(err)
	}
	s.recordContact(b.ClockMillis)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = s.leaving || b.Leaving
	for i := range b.Answers {
		s.applyAnswer(&b.Answers[i])
	}
	return nil, nil
}

// applyAnswer applies one answer, even if no call waits for it any more. Callers must hold mu.
func (s *session) applyAnswer(a *answer) {
	out := callResult{clockMillis: a.ClockMillis, err: a.decodeError(s.member.Name)}
	if a.Report != nil {
		out.report = s.lastRuns.decode(a.Worker, a.ClockMillis, a.Report)
	}
	if p := s.calls[a.Number]; p != nil {
		delete(s.calls, a.Number)
		s.missed = max(s.missed-1, 0)
		p.result <- out
	}
}

// watch ends the session when the connection breaks or no batch arrives for silenceTimeout.
func (s *session) watch(ctx context.Context) {
	const interval = heartbeatInterval / 2
	last := bootclock.Now()
	for {
		select {
		case <-s.done:
			return
		case <-s.conn.DisconnectNotify():
			s.close(errors.New("connection closed"))
			return
		case <-ctx.Done():
			s.close(ctx.Err())
			return
		case <-time.After(interval):
		}
		now := bootclock.Now()
		// If this process was paused itself, the delegate's batches of that time are still to be read.
		late := now-last > 2*interval
		last = now
		if !late && s.isSilent(now) {
			s.close(fmt.Errorf("no batch received for more than %s", silenceTimeout))
			return
		}
	}
}

func (s *session) isSilent(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now-s.lastContact > silenceTimeout
}

// close ends the session. Its unanswered calls may have been carried out.
func (s *session) close(cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	s.closed = true
	close(s.done)
	if !errors.Is(cause, context.Canceled) {
		s.log.Info().Str("event", "delegate_lost").Str("delegate", s.member.Name).Int("calls", len(s.calls)).
			Err(cause).Msg("closed the session with a delegate")
	}
	go func() { _ = s.conn.Close() }()
}
