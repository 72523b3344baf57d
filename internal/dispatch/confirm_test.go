package dispatch

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// producerStore accepts appends as the store does: none of an earlier epoch. during is called while an append is under
// way.
type producerStore struct {
	emptyStore
	epoch   int64
	appends []store.Append
	during  func()
}

func (s *producerStore) Append(_ context.Context, a store.Append) (int64, error) {
	if s.during != nil {
		s.during()
	}
	if a.Producer == nil || a.Producer.Epoch < s.epoch {
		return 0, store.ErrFenced
	}
	s.epoch = a.Producer.Epoch
	s.appends = append(s.appends, a)
	return 0, nil
}

// newWave returns a driver and a wave of one drained instance that was switched off.
func newWave(d *Dispatcher) (*instanceDriver, *wave) {
	w := newInstanceDriver(d)
	w.listed = map[string]fleet.Instance{"m0": {ID: "m0", Phase: fleet.InstanceUp}}
	return w, &wave{
		request:   fleet.WaveRequest{Number: 1, MaxDown: 1},
		instances: map[string]*waveInstance{"m0": {phase: scheduling.MaintenanceDraining}},
	}
}

// TestOrderAfterSlowAppendNeedsATerm guards against two leaders that take instances of one wave down at once: a former
// leader whose append of the wave's progress ended with an outage of the store sent the order that followed it.
func TestOrderAfterSlowAppendNeedsATerm(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	service, slow := &slowInstances{}, &producerStore{}
	d.Instances, d.Store = service, slow
	confirmed := bootclock.Now()
	d.LastConfirmed = func() time.Duration { return confirmed }
	slow.during = func() { confirmed -= 2 * time.Second } // the outage
	w, x := newWave(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drain(t.Context(), x)
	is.Equal(len(slow.appends), 1)
	is.Equal(service.orders.Load(), int32(0))
	is.Equal(x.instances["m0"].phase, scheduling.MaintenanceDraining) // the planned order is given up
	slow.during = nil
	confirmed = bootclock.Now()
	w.drain(t.Context(), x)
	is.Equal(service.orders.Load(), int32(1))
}

// TestMoveNeedsATerm guards against a former leader that moves an instance away under the work which its successor has
// started there, and against an instance that stays out of service after its move was given up.
func TestMoveNeedsATerm(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	service := &slowInstances{}
	d.Instances = service
	d.LastConfirmed = func() time.Duration { return bootclock.Now() - 2*time.Second }
	w := newInstanceDriver(d)
	w.arrivals["m0"] = arrival{to: "desk", worker: "w0", until: bootclock.Now() + time.Minute}
	w.cordon("w0")
	w.move(t.Context(), scheduling.Move{Instance: "m0", From: "pool", To: "desk"}, "w0")
	is.Equal(service.orders.Load(), int32(0))
	is.Equal(len(w.arrivals), 0)
	is.True(!d.agents["w0"].cordoned)
}

// TestFrozenOrderIsNotSent guards against an order that is written long after its term was checked, because the
// process was frozen or the call waited for a connection.
func TestFrozenOrderIsNotSent(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	confirmed := bootclock.Now()
	d.LastConfirmed = func() time.Duration { return confirmed }
	w := newInstanceDriver(d)
	err := w.sendOrder(t.Context(), func(ctx context.Context) error {
		is.NoErr(worker.MaySend(ctx))
		confirmed -= 2 * time.Second // the process was frozen
		return worker.MaySend(ctx)   // as the client does right before it writes
	})
	is.True(errors.Is(err, errUnconfirmed))
}

// TestFormerLeaderStoresNoWaves guards against progress of a wave that a former leader stores over that of its
// successor: the next leader would not know of the instances that the successor has taken down.
func TestFormerLeaderStoresNoWaves(t *testing.T) {
	is := is.New(t)
	shared := &producerStore{}
	former, successor := newFixture(0), newFixture(0)
	former.Store, former.Token, successor.Store, successor.Token = shared, 3, shared, 8
	defer former.stop()
	defer successor.stop()
	stored := func(d *Dispatcher) bool {
		w, x := newWave(d)
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.store(t.Context(), x)
	}
	is.True(stored(former))
	is.True(stored(successor))
	is.True(!stored(former))
	is.True(former.ctx.Err() != nil) // its term is over
	is.True(successor.ctx.Err() == nil)
}

// TestEpochsOfAppends guards against progress of a wave that the store takes for a repeat and drops, because it has
// rounded the epochs of two appends to the same number, and against a term whose epochs reach into those of its
// successor, whose appends would be refused.
func TestEpochsOfAppends(t *testing.T) {
	is := is.New(t)
	const exactNumbers = 1 << 53 // of JSON
	const heartbeatsPerYear = int64(365 * 24 * time.Hour / (400 * time.Millisecond))
	d := newFixture(0)
	defer d.stop()
	shared := &producerStore{}
	d.Store, d.Token = shared, 10*heartbeatsPerYear
	w, x := newWave(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.appends = appendsPerTerm - 2
	is.True(w.store(t.Context(), x))
	is.True(shared.epoch < exactNumbers)
	is.True(shared.epoch < (d.Token+1)*appendsPerTerm)
	is.True(d.ctx.Err() == nil)
	is.True(!w.store(t.Context(), x))
	is.Equal(len(shared.appends), 1)
	is.True(d.ctx.Err() != nil) // the next term has epochs of its own
}

// TestHeldOrdersAreLoggedOnce guards against a line in the log for each step without a confirmed term.
func TestHeldOrdersAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	var log strings.Builder
	d.Log = zerolog.New(&log)
	confirmed := bootclock.Now()
	d.LastConfirmed = func() time.Duration { return confirmed }
	w := newInstanceDriver(d)
	for _, age := range []time.Duration{0, 2 * time.Second, 3 * time.Second, 0, 0} {
		confirmed = bootclock.Now() - age
		is.Equal(w.mayOrderNow(), age == 0)
	}
	is.Equal(strings.Count(log.String(), "orders_held"), 1)
	is.Equal(strings.Count(log.String(), "orders_resumed"), 1)
}

// TestFormerLeaderStopsNothingForAWave guards against a former leader that stops a task of a step on a worker that its
// successor has not reached, while the successor stops another one: more are out of service than the step allows. An
// append of the wave's progress may have waited for an outage of the store in between.
func TestFormerLeaderStopsNothingForAWave(t *testing.T) {
	for name, step := range map[string]fleet.Step{
		"long-running": {Count: 1, LongRunning: true, MayMiss: 1}, "with checkpoints": {Count: 1, Checkpoints: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			d.Workers = &unresponsiveWorkers{}
			defer d.stop()
			confirmed := bootclock.Now()
			d.LastConfirmed = func() time.Duration { return confirmed }
			r := d.addJob("0011223344556677", step).Task(0, 0, 0).Assign("w0", 1, d.now())
			r.Phase, r.Percent, r.SeenAt, r.Released = workload.RunActive, 100, d.now(), true
			d.attach(r)
			w := newInstanceDriver(d)
			i := &waveInstance{phase: scheduling.MaintenanceDraining, worker: "w0"}
			confirmed -= 2 * time.Second
			is.True(!w.drainInstance(i, time.Minute))
			is.Equal(r.Phase, workload.RunActive)
			confirmed = bootclock.Now()
			is.True(!w.drainInstance(i, time.Minute))
			is.Equal(r.Phase, workload.RunStopping)
		})
	}
}

// TestUnansweredOrderCountsAsDown guards against more instances of a wave that are down at once than the operator
// allows: the order of an earlier leader, or one without an answer, is carried out seconds later, after another
// instance has been ordered in place of the one that is still listed as up.
func TestUnansweredOrderCountsAsDown(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	service := &slowInstances{}
	d.Instances, d.Bounds.InstanceOrdersPerSecond = service, 1000
	d.agent("w0").contacted = false // ends there may be lost until it answers
	d.waveRecords = map[int64]*waveRecord{1: {
		SeenMillis: time.Now().UnixMilli(), Ordered: map[string]string{"m0": "w0"},
	}}
	w := newInstanceDriver(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = map[string]fleet.Instance{
		"m0": {ID: "m0", Pool: "pool", Phase: fleet.InstanceUp, Worker: "w0"},
		"m1": {ID: "m1", Pool: "pool", Phase: fleet.InstanceUp, Worker: "w1"},
	}
	w.listedAt = bootclock.Now()
	x := w.restoreWave(follow.Wave{WaveRequest: fleet.WaveRequest{
		Number: 1, Instances: []string{"m0", "m1"}, FinishBy: time.Minute, MaxDown: 1,
	}, SeenAt: bootclock.Now()})
	x.instances["m1"].phase, x.instances["m1"].worker = scheduling.MaintenanceDraining, "w1"
	w.drain(t.Context(), x) // takes the instance m0 as not ordered, because it is listed as up
	w.drain(t.Context(), x)
	is.Equal(x.instances["m0"].phase, scheduling.MaintenanceDraining)
	is.Equal(service.orders.Load(), int32(0))
	d.agent("w0").contacted = true
	w.drain(t.Context(), x)
	is.Equal(service.orders.Load(), int32(1))
	is.Equal(x.instances["m0"].phase, scheduling.MaintenanceOrdered)
	is.Equal(x.instances["m1"].phase, scheduling.MaintenanceDraining)
}

// TestRefusedOrderIsNotUnanswered guards against a wave that waits for an instance whose order was certainly not
// carried out, because the service refused it or accepted no further calls.
func TestRefusedOrderIsNotUnanswered(t *testing.T) {
	for _, x := range []struct {
		err        error
		unanswered bool
	}{
		{instances.ErrBusy, false}, {&instances.RefusedError{Reason: instances.RefusedBusy}, false}, {errUnconfirmed, false},
		{context.DeadlineExceeded, true}, {nil, false},
	} {
		is := is.New(t)
		d := newFixture(0)
		w, wave := newWave(d)
		w.applyOrderOutcome(wave, "m0", x.err)
		is.Equal(wave.instances["m0"].unanswered, x.unanswered)
		d.stop()
	}
}
