package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/worker"
)

// fakeWorkers is a worker client that records its calls.
type fakeWorkers struct {
	mu     sync.Mutex       // guards what follows
	orders []worker.Address // of starts, stops and changes of pace
	starts []worker.Start
	holds  []worker.Hold
	stops  []string
	paces  []int
	// start and hold answer calls; nil answers with a clock of 1.
	start func(worker.Address, worker.Start) (int64, error)
	hold  func(worker.Address, worker.Hold) (worker.Report, error)
}

func (f *fakeWorkers) Start(_ context.Context, to worker.Address, s worker.Start) (int64, error) {
	f.mu.Lock()
	f.starts, f.orders = append(f.starts, s), append(f.orders, to)
	f.mu.Unlock()
	if f.start != nil {
		return f.start(to, s)
	}
	return 1, nil
}

func (f *fakeWorkers) Stop(_ context.Context, to worker.Address, task string, _ int, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops, f.orders = append(f.stops, task), append(f.orders, to)
	return nil
}

func (f *fakeWorkers) SetPace(_ context.Context, to worker.Address, _ string, _, percent int, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.paces, f.orders = append(f.paces, percent), append(f.orders, to)
	return nil
}

func (f *fakeWorkers) Hold(_ context.Context, to worker.Address, h worker.Hold) (worker.Report, error) {
	f.mu.Lock()
	f.holds = append(f.holds, h)
	f.mu.Unlock()
	if f.hold != nil {
		return f.hold(to, h)
	}
	return worker.Report{ClockMillis: 1}, nil
}

func (f *fakeWorkers) started() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// startDelegate serves a delegate on loopback and returns it with its address.
func startDelegate(t testing.TB, workers worker.Client) (*Delegate, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	d := &Delegate{Workers: workers, Token: func() int64 { return 0 }, Log: zerolog.Nop()}
	go d.Serve(t.Context(), l)
	return d, l.Addr().String()
}

// newTestClient returns a client of a deployment of 16 entry instances, of which only those at the addresses can be
// delegates.
func newTestClient(t testing.TB, direct worker.Client, addresses ...string) *Client {
	t.Helper()
	members := func() []Member { return testMembers(addresses...) }
	return NewClient(t.Context(), Options{Direct: direct, Members: members, Self: "self", Token: 7, Log: zerolog.Nop()})
}

func testMembers(addresses ...string) []Member {
	var members []Member
	for i := range minMembers {
		m := Member{Name: fmt.Sprintf("e%d", i), Zone: "z1", CPUShare: 0.1}
		if i < len(addresses) {
			m.Address, m.CPUShare = addresses[i], 1-float64(i)/10
		}
		members = append(members, m)
	}
	return members
}

func address(n int) worker.Address {
	return worker.Address{ID: fmt.Sprintf("w%d", n), Address: "127.0.0.1:1", Zone: "z1"}
}

// TestErrorKindsSurviveRelay guards against a refusal that arrives as an unanswered call, and the reverse: the leader
// would treat a task as started that was not, or start it elsewhere while it runs.
func TestErrorKindsSurviveRelay(t *testing.T) {
	is := is.New(t)
	outcomes := []error{
		nil, &worker.RefusedError{Reason: worker.RefusedRoom, ClockMillis: 77}, fmt.Errorf("x: %w", worker.ErrNotSent),
		fmt.Errorf("x: %w", worker.ErrUnknown), worker.ErrOtherWorker, worker.ErrUnhealthy, worker.ErrInvalid,
		fmt.Errorf("x: %w", worker.ErrOtherIncarnation), errors.New("status 500"),
	}
	for _, outcome := range outcomes {
		start := func(worker.Address, worker.Start) (int64, error) { return 55, outcome }
		_, at := startDelegate(t, &fakeWorkers{start: start})
		clock, err := newTestClient(t, nil, at).Start(t.Context(), address(1), worker.Start{Task: "j.0.0.1", Run: 1})
		if outcome == nil {
			is.NoErr(err)
			is.Equal(clock, int64(55))
			continue
		}
		var refused *worker.RefusedError
		if errors.As(outcome, &refused) {
			var got *worker.RefusedError
			is.True(errors.As(err, &got))
			is.Equal(*got, *refused)
			continue
		}
		is.True(!errors.Is(err, ErrDelegate))
		for _, kind := range []error{
			worker.ErrNotSent, worker.ErrUnknown, worker.ErrOtherWorker, worker.ErrUnhealthy, worker.ErrInvalid,
			worker.ErrOtherIncarnation,
		} {
			is.Equal(errors.Is(err, kind), errors.Is(outcome, kind)) // the kind of the error is preserved
		}
		is.True(err != nil)
	}
}

// TestCallsForwardEveryField guards against a call that reaches the worker without its checkpoint, ticket, lease,
// percentage or spec, or without the incarnation whose ends it acknowledges or which an order is meant for.
func TestCallsForwardEveryField(t *testing.T) {
	is := is.New(t)
	workers := &fakeWorkers{}
	_, at := startDelegate(t, workers)
	c := newTestClient(t, nil, at)
	want := worker.Start{
		Task: "j.0.0.1", Run: 2, Spec: "spec", DeadlineMillis: 5, FencingToken: 7, Checkpoint: "c", Ticket: "t",
	}
	again := worker.Start{Task: "j.0.0.2", Run: 1, Spec: "spec", DeadlineMillis: 5, FencingToken: 7}
	to := address(1)
	to.Incarnation = 1_700_000_000_123
	for _, s := range []worker.Start{want, again} {
		_, err := c.Start(t.Context(), to, s)
		is.NoErr(err)
	}
	is.Equal(workers.starts, []worker.Start{want, again}) // the second start omits the spec; the delegate adds it
	hold := worker.Hold{
		FencingToken: 7, Acknowledged: 3, DeadlineMillis: 9, Wait: 20 * time.Millisecond, Seen: 4, Incarnation: 5,
	}
	_, err := c.Hold(t.Context(), address(1), hold)
	is.NoErr(err)
	is.Equal(workers.holds, []worker.Hold{hold})
	is.NoErr(c.Stop(t.Context(), to, "j.0.0.1", 2, 7))
	is.NoErr(c.SetPace(t.Context(), to, "j.0.0.1", 2, 40, 7))
	is.Equal(len(workers.orders), 4)
	for _, order := range workers.orders {
		is.Equal(order.ID, to.ID)
		is.Equal(order.Address, to.Address)
		is.Equal(order.Incarnation, to.Incarnation)
	}
	is.Equal(workers.stops, []string{"j.0.0.1"})
	is.Equal(workers.paces, []int{40})
}

// TestLateCallIsNotSent guards against a delegate that was paused and then sends a call whose deadline has passed.
func TestLateCallIsNotSent(t *testing.T) {
	is := is.New(t)
	workers := &fakeWorkers{}
	s := &delegateSession{
		delegate: &Delegate{Workers: workers, Token: func() int64 { return 0 }, Log: zerolog.Nop()},
		ctx:      t.Context(), lastRuns: runsByWorker{}, specs: map[string]string{}, wake: make(chan struct{}, 1),
	}
	spec := "spec"
	x := &call{
		Number: 1, Worker: "w1", UntilMillis: millis(bootclock.Now()) - 1, TimeoutMillis: 100,
		Start: &startCall{Task: "j.0.0.1", Run: 1, Spec: &spec},
	}
	s.forward(x, spec)
	is.Equal(workers.started(), 0)
	is.True(errors.Is(s.answers[0].decodeError("d"), worker.ErrNotSent))
	x.UntilMillis = millis(bootclock.Now()) + 1000
	s.forward(x, spec)
	is.Equal(workers.started(), 1)
}

// TestPermissionRunsOutAtTheLeaderFirst guards against a call that a delegate still sends after the leader has stopped
// waiting for it.
func TestPermissionRunsOutAtTheLeaderFirst(t *testing.T) {
	is := is.New(t)
	s := &session{peerClock: time.Hour, lastContact: bootclock.Now() - time.Second}
	left := duration(s.delegateDeadline(time.Second)) - time.Hour
	is.True(left <= 2*time.Second) // the delegate's clock has advanced by about 1 s since the last contact
	is.True(left >= 1900*time.Millisecond)
}

// TestEarlierTermIsRefused guards against calls of a leader whose successor has begun. A delegate learns of the
// successor from its own election state or from the successor's session.
func TestEarlierTermIsRefused(t *testing.T) {
	is := is.New(t)
	workers := &fakeWorkers{}
	d, at := startDelegate(t, workers)
	c := newTestClient(t, nil, at)
	_, err := c.Start(t.Context(), address(1), worker.Start{Task: "j.0.0.1", Run: 1})
	is.NoErr(err)
	d.raiseToken(8)
	_, err = c.Start(t.Context(), address(1), worker.Start{Task: "j.0.0.2", Run: 1})
	var refused *worker.RefusedError
	is.True(errors.As(err, &refused))
	is.Equal(refused.Reason, worker.RefusedFence)
	is.Equal(workers.started(), 1)
}

// TestLostDelegateIsReplaced guards against workers that get no calls after their delegate has stopped, and against an
// unanswered call that is reported as not sent.
func TestLostDelegateIsReplaced(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{}, 1)
	first := &fakeWorkers{hold: func(worker.Address, worker.Hold) (worker.Report, error) {
		held <- struct{}{}
		time.Sleep(time.Second)
		return worker.Report{}, nil
	}}
	second := &fakeWorkers{}
	_, at := startDelegate(t, first)
	_, next := startDelegate(t, second)
	c := newTestClient(t, nil, at, next)
	go func() {
		<-held
		s := c.sessionFor(t.Context(), address(1))
		_ = s.conn.Close()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	began := time.Now()
	_, err := c.Hold(ctx, address(1), worker.Hold{})
	is.True(errors.Is(err, ErrDelegate))
	is.True(errors.Is(err, worker.ErrUnknown))
	is.True(time.Since(began) < 900*time.Millisecond) // it does not wait for the call's timeout
	_, err = c.Hold(ctx, address(1), worker.Hold{})
	is.NoErr(err)
	is.Equal(len(second.holds), 1)
}

// TestCancelledRenewalEnds guards against a leader that still waits for the answer to a renewal through a delegate
// after it has given the renewal up, because the worker's known incarnation is over. It noticed the restart seconds later.
func TestCancelledRenewalEnds(t *testing.T) {
	is := is.New(t)
	held, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	workers := &fakeWorkers{hold: func(_ worker.Address, h worker.Hold) (worker.Report, error) {
		if h.Wait > 0 {
			close(held)
			<-release
		}
		return worker.Report{ClockMillis: 3}, nil
	}}
	_, at := startDelegate(t, workers)
	c := newTestClient(t, nil, at)
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	go func() {
		<-held
		cancel()
	}()
	began := time.Now()
	_, err := c.Hold(ctx, address(1), worker.Hold{Wait: 2 * time.Second})
	is.True(errors.Is(err, worker.ErrUnknown))
	is.True(errors.Is(err, ErrDelegate))
	is.True(time.Since(began) < time.Second)
	r, err := c.Hold(t.Context(), address(1), worker.Hold{})
	is.NoErr(err) // the session goes on
	is.Equal(r.ClockMillis, int64(3))
}

// TestSilentDelegateIsReplaced guards against a delegate that is frozen or whose connection carries no data, and
// against a start that is sent twice in consequence: the first call is unanswered, and the caller repeats the same run.
func TestSilentDelegateIsReplaced(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() { // accepts a session and then sends nothing
		conn, err := l.Accept()
		if err != nil {
			return
		}
		var open struct {
			ID json.RawMessage `json:"id"`
		}
		_ = json.NewDecoder(conn).Decode(&open)
		_, _ = fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":%s,"result":{"clock_ms":1}}`, open.ID)
	}()
	healthy := &fakeWorkers{}
	_, at := startDelegate(t, healthy)
	c := newTestClient(t, nil, l.Addr().String(), at)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	_, err = c.Start(ctx, address(1), worker.Start{Task: "j.0.0.1", Run: 1})
	is.True(errors.Is(err, ErrDelegate))
	is.True(time.Since(began) < 2*silenceTimeout)
	_, err = c.Start(ctx, address(1), worker.Start{Task: "j.0.0.1", Run: 1})
	is.NoErr(err)
	is.Equal(healthy.started(), 1)
}

// TestSlowDelegateIsReplaced guards against a delegate that is connected but forwards no call in time: while it is
// slow, the starts at all of its workers would be withdrawn.
func TestSlowDelegateIsReplaced(t *testing.T) {
	is := is.New(t)
	slow := &fakeWorkers{start: func(worker.Address, worker.Start) (int64, error) {
		time.Sleep(3 * time.Second)
		return 1, nil
	}}
	healthy := &fakeWorkers{}
	_, at := startDelegate(t, slow)
	_, next := startDelegate(t, healthy)
	c := newTestClient(t, nil, at, next)
	var calls sync.WaitGroup
	for n := range maxMissed + 1 {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			_, err := c.Start(ctx, address(n), worker.Start{Task: "j.0.0.1", Run: 1})
			if !errors.Is(err, ErrDelegate) {
				t.Errorf("unanswered call returned %v, want ErrDelegate", err)
			}
		})
	}
	calls.Wait()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	_, err := c.Start(ctx, address(1), worker.Start{Task: "j.0.0.2", Run: 1})
	is.NoErr(err)
	is.Equal(healthy.started(), 1)
}

// TestSlowLeaderKeepsItsDelegates guards against a leader behind a slow link that closes the sessions with all of its
// delegates and then calls each worker over the same link.
func TestSlowLeaderKeepsItsDelegates(t *testing.T) {
	is := is.New(t)
	c := &Client{shards: map[string][]*delegateShard{"z1": {}}}
	var sessions []*session
	for range 4 {
		s := &session{done: make(chan struct{}), mayCloseSlow: c.mostDelegatesResponsive}
		sessions = append(sessions, s)
		c.shards["z1"] = append(c.shards["z1"], &delegateShard{session: s})
	}
	sessions[0].missed = maxMissed + 1
	is.True(c.mostDelegatesResponsive()) // one of four is slow, so its session may be closed
	for _, s := range sessions[1:] {
		s.missed = maxMissed + 1
	}
	sessions[0].recordMiss()
	is.True(!sessions[0].closed)
}

// TestLeavingDelegateFinishesItsCalls guards against a planned stop of a delegate that leaves a call unanswered.
func TestLeavingDelegateFinishesItsCalls(t *testing.T) {
	is := is.New(t)
	held := make(chan struct{}, 1)
	first := &fakeWorkers{hold: func(worker.Address, worker.Hold) (worker.Report, error) {
		held <- struct{}{}
		time.Sleep(2 * heartbeatInterval)
		return worker.Report{ClockMillis: 3}, nil
	}}
	second := &fakeWorkers{}
	d, at := startDelegate(t, first)
	_, next := startDelegate(t, second)
	c := newTestClient(t, nil, at, next)
	go func() {
		<-held
		d.AnnounceLeaving()
	}()
	r, err := c.Hold(t.Context(), address(1), worker.Hold{})
	is.NoErr(err)
	is.Equal(r.ClockMillis, int64(3))
	_, err = c.Start(t.Context(), address(1), worker.Start{Task: "j.0.0.1", Run: 1})
	is.NoErr(err)
	is.Equal(second.started(), 1)
}

// TestWorkersAreCalledDirectlyWithoutDelegates guards against a leader that reaches no worker because no other entry
// instance is present.
func TestWorkersAreCalledDirectlyWithoutDelegates(t *testing.T) {
	is := is.New(t)
	for _, members := range [][]Member{nil, testMembers(), testMembers("127.0.0.1:1")} {
		direct := &fakeWorkers{}
		c := NewClient(t.Context(), Options{
			Direct: direct, Members: func() []Member { return members }, Self: "self", Token: 7, Log: zerolog.Nop(),
		})
		_, err := c.Start(t.Context(), address(1), worker.Start{Task: "j.0.0.1", Run: 1})
		is.NoErr(err)
		is.Equal(direct.started(), 1)
	}
}

// TestMalformedBatches guards against bytes that cannot be decoded and that crash the process or stop a delegate from
// serving others.
func TestMalformedBatches(t *testing.T) {
	is := is.New(t)
	workers := &fakeWorkers{}
	_, at := startDelegate(t, workers)
	bad := []string{
		`{"jsonrpc":"2.0","method":"calls","params":{"body":"AAAA"}}`,
		`{"jsonrpc":"2.0","method":"calls","params":{"body":7}}`,
		`{"jsonrpc":"2.0","method":"open","params":[]}`, `{"jsonrpc":"2.0","method":"calls"}`,
		`{"jsonrpc":"2.0","method":"other","params":{}}`, "no JSON",
	}
	for _, text := range bad {
		conn, err := net.Dial("tcp", at)
		is.NoErr(err)
		_, err = conn.Write([]byte(text))
		is.NoErr(err)
		is.NoErr(conn.Close())
	}
	_, err := newTestClient(t, nil, at).Start(t.Context(), address(1), worker.Start{Task: "j.0.0.1", Run: 1})
	is.NoErr(err)
	is.Equal(workers.started(), 1)
}

// TestMalformedDataBeforeSessionOpens guards against a leader that crashes because its peer sends malformed data before
// the session is open.
func TestMalformedDataBeforeSessionOpens(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte(`{"jsonrpc":"2.0","method":"answers","params":{"body":"AAAA"}}` + "no JSON"))
		}
	}()
	for range 20 {
		peer := Member{Name: "d", Address: l.Addr().String()}
		_, err := openSession(t.Context(), peer, 7, func() bool { return true }, zerolog.Nop())
		is.True(err != nil)
	}
}

// FuzzBatches guards against a panic on any bytes that another entry instance may send.
func FuzzBatches(f *testing.F) {
	for _, batch := range []any{
		callBatch{Calls: []call{{Number: 1, Worker: "w", Hold: &holdCall{Seen: 3}}}},
		answerBatch{Answers: []answer{{Number: 1, Report: &report{Gone: []runKey{{"a", 1}}}}}},
	} {
		p, err := encodePayload(batch)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(p.Body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		text, err := json.Marshal(payload{Body: body})
		if err != nil {
			t.Fatal(err)
		}
		params := json.RawMessage(text)
		d := &Delegate{Workers: &fakeWorkers{}, Token: func() int64 { return 1 }, Log: zerolog.Nop()} // refuses each call
		served := &delegateSession{
			delegate: d, ctx: t.Context(), lastRuns: runsByWorker{}, specs: map[string]string{}, wake: make(chan struct{}, 1),
		}
		var calls callBatch
		if decodePayload(&params, &calls) == nil {
			served.dispatch(calls)
		}
		s := &session{calls: map[uint64]*pendingCall{1: {result: make(chan callResult, 1)}}, lastRuns: runsByWorker{}}
		var answers answerBatch
		if decodePayload(&params, &answers) == nil {
			for i := range answers.Answers {
				s.applyAnswer(&answers.Answers[i])
			}
		}
	})
}

// BenchmarkHold measures one renewal, through a delegate, of a worker with 16 runs. Since the previous renewal one run
// has ended and one has begun.
func BenchmarkHold(b *testing.B) {
	var mu sync.Mutex
	turn := map[string]int{}
	workers := &fakeWorkers{hold: func(to worker.Address, _ worker.Hold) (worker.Report, error) {
		mu.Lock()
		turn[to.ID]++
		n := turn[to.ID]
		mu.Unlock()
		r := worker.Report{ClockMillis: int64(n), Incarnation: 5, Ended: []worker.End{
			{Number: int64(n), Task: fmt.Sprintf("0011223344556677.0.0.%d", n), Run: 1, Kind: worker.EndDone},
		}}
		for i := range 16 {
			r.Running = append(r.Running, worker.Running{
				Task: fmt.Sprintf("0011223344556677.0.0.%d", n+1+i), Run: 1, Percent: i, Load: int64(n),
			})
		}
		return r, nil
	}}
	_, at := startDelegate(b, workers)
	c := newTestClient(b, workers, at)
	var callers sync.WaitGroup
	next := make(chan int)
	for w := range 200 {
		callers.Go(func() {
			for range next {
				ctx, cancel := context.WithTimeout(b.Context(), time.Second)
				if _, err := c.Hold(ctx, address(w), worker.Hold{Seen: 0}); err != nil {
					b.Error(err)
				}
				cancel()
			}
		})
	}
	for b.Loop() {
		next <- 1
	}
	close(next)
	callers.Wait()
}

// pausedWorkers is a worker client that pauses within a start, right before it would write the request.
type pausedWorkers struct {
	fakeWorkers
	paused, resume chan struct{}
}

func (p *pausedWorkers) Start(ctx context.Context, to worker.Address, s worker.Start) (int64, error) {
	p.paused <- struct{}{}
	<-p.resume
	if err := worker.MaySend(ctx); err != nil {
		return 0, fmt.Errorf("%w: %w", worker.ErrNotSent, err)
	}
	return p.fakeWorkers.Start(ctx, to, s)
}

// TestPausedCallIsNotSent guards against a delegate that is frozen after it has checked a call, and sends the call when
// it wakes: after its deadline, or after another term has begun. A worker that has restarted meanwhile knows of no
// later run and of no fencing token, and would carry it out.
func TestPausedCallIsNotSent(t *testing.T) {
	spec := "spec"
	for name, pause := range map[string]func(*delegateSession, *call){
		"deadline": func(_ *delegateSession, x *call) {
			for bootclock.Now() <= duration(x.UntilMillis) {
				time.Sleep(time.Millisecond)
			}
		},
		"term": func(s *delegateSession, _ *call) { s.delegate.raiseToken(s.token + 1) },
		"none": func(*delegateSession, *call) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			workers := &pausedWorkers{paused: make(chan struct{}, 1), resume: make(chan struct{}, 1)}
			s := &delegateSession{
				delegate: &Delegate{Workers: workers, Token: func() int64 { return 0 }, Log: zerolog.Nop()}, token: 7,
				ctx: t.Context(), lastRuns: runsByWorker{}, specs: map[string]string{}, wake: make(chan struct{}, 1),
			}
			x := &call{
				Number: 1, Worker: "w1", UntilMillis: millis(bootclock.Now()) + 50, TimeoutMillis: 5000,
				Start: &startCall{Task: "j.0.0.1", Run: 1, Spec: &spec},
			}
			if name == "none" {
				x.UntilMillis += 5000
			}
			forwarded := make(chan struct{})
			go func() {
				s.forward(x, spec)
				close(forwarded)
			}()
			<-workers.paused
			pause(s, x)
			workers.resume <- struct{}{}
			<-forwarded
			sent := 0
			if name == "none" {
				sent = 1
			}
			is.Equal(workers.started(), sent)
			is.Equal(errors.Is(s.answers[0].decodeError("d"), worker.ErrNotSent), sent == 0)
		})
	}
}

// TestPausedLeaderIssuesNoCall guards against a leader that was paused after it had prepared a call and then hands it
// to a delegate. The delegate would take the call for a new one.
func TestPausedLeaderIssuesNoCall(t *testing.T) {
	is := is.New(t)
	workers := &fakeWorkers{}
	_, at := startDelegate(t, workers)
	c := newTestClient(t, nil, at)
	s := c.sessionFor(t.Context(), address(1))
	is.True(s != nil)
	late := worker.WithSendCheck(t.Context(), func() error { return errors.New("too late") })
	expired, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
	defer cancel()
	<-expired.Done()
	for _, ctx := range []context.Context{late, expired} {
		a := c.call(ctx, s, address(1), call{Stop: &runCall{Task: "j.0.0.1", Run: 1}})
		is.True(errors.Is(a.err, worker.ErrNotSent))
	}
	is.Equal(len(workers.stops), 0)
}
