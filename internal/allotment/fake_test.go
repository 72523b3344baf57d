package allotment

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/platform"
	"pollenlead/internal/record"
	"pollenlead/internal/statemachine"
)

var errNotSent = errors.New("not sent")

// document passes the validation of package config.
var document = fmt.Sprintf(`
schema: 1
pools: [{name: p, members: [w-], availability_budget: {min_available_percent: 0}}, {name: spare, spare: true}]
services: [{name: s, pool: p, timeout_seconds: 1}]
teams: [{name: a, share: 1, upper_limit: 6, keys: [{id: k, sha256: "%064d"}]}, {name: b, share: 1, upper_limit: 2}]
`, 0)

// fake provides a log with an applied state, a session lease and workers. Tests run in a synctest bubble with a fake
// clock.
type fake struct {
	mu      sync.Mutex
	state   *statemachine.State
	changed chan struct{}
	seq     map[string]uint64
	submits []time.Time
	// submitErr is returned by Submit, which then stores the ops in unapplied instead of applying them.
	submitErr error
	unapplied []record.Op

	until   atomic.Pointer[time.Time]
	workers map[string]*fakeWorker
	// openDelay is the openDelay of new workers.
	openDelay time.Duration
	ledger    *Ledger
}

func newFake(is *is.I) *fake {
	f := &fake{
		state: statemachine.New(), changed: make(chan struct{}), seq: map[string]uint64{}, workers: map[string]*fakeWorker{},
		openDelay: 100 * time.Millisecond,
	}
	f.setEnd(10 * time.Second)
	f.apply("me", record.Op{SessionOpen: &record.SessionOpen{}},
		record.Op{ConfigPublish: &record.ConfigPublish{Document: document}},
		record.Op{InstancesReport: &record.InstancesReport{Instances: []record.Instance{
			{ID: "w-1", Address: "1", AvailabilityZone: "z1", Phase: record.PhaseLive, Slots: 4, Connections: 64},
			{ID: "w-2", Address: "2", AvailabilityZone: "z2", Phase: record.PhaseLive, Slots: 4, Connections: 32},
		}}})
	f.ledger = New(Config{Replica: f, Committer: f, Session: f, Workers: f, Clock: SystemClock{}, NotSent: errNotSent})
	f.ledger.refresh(false)
	is.True(f.ledger.HasTeamUnit("a"))
	return f
}

// apply applies a record of a holder to the state machine.
func (f *fake) apply(holder string, ops ...record.Op) []statemachine.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seq[holder]++
	data, err := record.Encode(record.Record{Writer: holder, Incarnation: holder, Seq: f.seq[holder], Ops: ops})
	if err != nil {
		panic(err)
	}
	result, err := f.state.Apply(f.state.Next(), data)
	if err != nil {
		panic(err)
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return result.Outcomes
}

func (f *fake) View(read func(*statemachine.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.state)
}

func (f *fake) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fake) Submit(_ context.Context, ops ...record.Op) ([]statemachine.Outcome, error) {
	f.mu.Lock()
	err := f.submitErr
	f.submits = append(f.submits, time.Now())
	if err != nil {
		f.unapplied = ops
	}
	f.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return f.apply("me", ops...), nil
}

func (f *fake) End() time.Time { return *f.until.Load() }
func (f *fake) Valid() bool    { return time.Now().Before(f.End()) }
func (f *fake) Holder() string { return "me" }

func (f *fake) Worker(instance, _ string, _ int) platform.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[instance]
	if !ok {
		w = &fakeWorker{started: time.Now().Add(-time.Hour), expiry: map[string]time.Duration{}, openDelay: f.openDelay}
		f.workers[instance] = w
	}
	return w
}

// fakeWorker measures leases by its own clock, which started an hour before the first call.
type fakeWorker struct {
	platform.Worker
	mu      sync.Mutex
	started time.Time
	expiry  map[string]time.Duration
	renewed atomic.Int64
	// openDelay is the time that OpenLease takes to answer.
	openDelay time.Duration
	// closeErr is returned by CloseLease, which then has no effect.
	closeErr error
	// renewErr is returned by RenewLease after the renewal has taken effect.
	renewErr error
	closed   []string
}

func (w *fakeWorker) CloseLease(_ context.Context, id string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closeErr != nil {
		return w.closeErr
	}
	w.closed = append(w.closed, id)
	w.expiry[id] = w.now()
	return nil
}

// closed returns the IDs of the leases that were closed at w-1.
func (f *fake) closed() []string {
	w := f.workers["w-1"]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

func (w *fakeWorker) now() time.Duration { return time.Since(w.started) }

func (w *fakeWorker) OpenLease(context.Context, string) (platform.Lease, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	id := fmt.Sprintf("lease-%d", len(w.expiry)+1)
	w.expiry[id] = w.now()
	opened := platform.Lease{ID: id, Now: w.now()}
	time.Sleep(w.openDelay)
	return opened, nil
}

func (w *fakeWorker) RenewLease(_ context.Context, id string, until time.Duration) (time.Duration, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.renewed.Add(1)
	w.expiry[id] = max(w.expiry[id], until)
	return w.now(), w.renewErr
}

// setEnd makes the session lease end after d.
func (f *fake) setEnd(d time.Duration) {
	end := time.Now().Add(d)
	f.until.Store(&end)
}

// leaseEnd returns the time at which a lease of an instance ends.
func (f *fake) leaseEnd(instance, id string) time.Time {
	w := f.workers[instance]
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started.Add(w.expiry[id])
}

// withFakeClock runs a test with the fake clock of synctest.
func withFakeClock(t *testing.T, test func(t *testing.T, is *is.I, f *fake)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		test(t, is, newFake(is))
	})
}
