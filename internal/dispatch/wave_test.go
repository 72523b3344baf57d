package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/instances"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// TestMovedInstanceIsNotMaintained guards against a wave that counts an instance as maintained because a move has
// given it a new worker.
func TestMovedInstanceIsNotMaintained(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	w := newInstanceDriver(d)
	now := bootclock.Now()
	i := &waveInstance{phase: scheduling.MaintenanceOrdered, worker: "w0", orderedAt: now - 2*time.Second}
	x := &wave{instances: map[string]*waveInstance{"m0": i}}
	w.listed = map[string]fleet.Instance{"m0": {ID: "m0", Phase: fleet.InstanceUp, Worker: "w1"}}
	w.listedAt = now
	w.observe(x)
	is.Equal(i.phase, scheduling.MaintenanceOrdered) // the order was not answered
	w.drainAgain("m0", i)
	is.Equal(i.phase, scheduling.MaintenanceDraining)
	is.Equal(i.worker, "w1")
	is.True(d.agent("w1").cordoned)

	i.phase, i.worker, i.confirmed = scheduling.MaintenanceOrdered, "w0", true
	w.observe(x)
	is.Equal(i.phase, scheduling.MaintenanceDone)
}

// TestWorkerWithUnstoredEndsStays guards against the move of an instance whose worker has listed ends that are not
// stored. The worker holds the only record of tasks that were published as done.
func TestWorkerWithUnstoredEndsStays(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	is.True(a.vacant())
	d.applyReport(a, worker.Report{ClockMillis: 1, Ended: []worker.End{
		{Number: 3, Task: "0011223344556677.0.0.0", Run: 1, Kind: worker.EndDone},
	}}, bootclock.Now())
	is.True(!a.vacant())
	a.storedEnd = 3
	is.True(a.vacant())
}

// TestNewLeaderRespectsInheritedLeases guards against an order for an instance to which an earlier leader has sent
// one within its lease, and against a new leader that sends no orders at all during that time.
func TestNewLeaderRespectsInheritedLeases(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	d.Bounds.InstanceLease = 3 * time.Second
	d.agent("w0").incarnation = time.Now().Add(-time.Minute).UnixMilli()
	d.agent("w1").incarnation = time.Now().Add(-time.Second).UnixMilli()
	w := newInstanceDriver(d)
	w.inheritedLeaseUntil = bootclock.Now() + time.Minute
	is.True(w.orderable(fleet.Instance{Worker: "w0"}))
	is.True(!w.orderable(fleet.Instance{Worker: "w1"}))
	is.True(!w.orderable(fleet.Instance{})) // switched off, perhaps just now
	w.inheritedLeaseUntil = 0
	is.True(w.orderable(fleet.Instance{Worker: "w1"}))
}

// TestOrderBudgetFollowsTheRate guards against more orders than the platform accepts, and against fewer orders
// because decisions come late.
func TestOrderBudgetFollowsTheRate(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	d.Bounds.InstanceOrdersPerSecond = 100
	w := newInstanceDriver(d)
	now := bootclock.Now()
	is.Equal(w.orderBudget(now), 45) // the orders of half a second after a pause
	w.orderTokens = 0
	is.Equal(w.orderBudget(now+200*time.Millisecond), 18)
	is.Equal(w.orderBudget(now+10*time.Second), 45)
}

// slowInstances is an instances service that takes a fixed time for each maintenance order.
type slowInstances struct {
	orderDuration time.Duration
	orders        atomic.Int32
}

func (*slowInstances) List(context.Context) ([]fleet.Instance, error) { return nil, nil }
func (s *slowInstances) Move(context.Context, string, string, int64) error {
	s.orders.Add(1)
	return nil
}
func (s *slowInstances) Maintain(context.Context, string, int64, int64) error {
	time.Sleep(s.orderDuration)
	s.orders.Add(1)
	return nil
}

// countingStore counts appends.
type countingStore struct {
	emptyStore
	appends atomic.Int32
}

func (s *countingStore) Append(context.Context, store.Append) (int64, error) {
	s.appends.Add(1)
	return 0, nil
}

// TestMaintenanceOrdersAreConcurrent guards against a wave that sends its orders one after the other. On a fleet of
// 540 instances such a wave sent ten per second, and no instance was moved to the pools with waiting work in that
// time.
func TestMaintenanceOrdersAreConcurrent(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	service, stored := &slowInstances{orderDuration: 50 * time.Millisecond}, &countingStore{}
	d.Instances, d.Store, d.Bounds.InstanceOrdersPerSecond = service, stored, 1000
	w := newInstanceDriver(d)
	x := &wave{request: fleet.WaveRequest{Number: 1, MaxDown: 40}, instances: map[string]*waveInstance{}}
	for n := range 40 {
		x.instances[fmt.Sprintf("m%d", n)] = &waveInstance{phase: scheduling.MaintenanceDraining}
	}
	began := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drain(t.Context(), x)
	is.Equal(service.orders.Load(), int32(40))
	is.True(time.Since(began) < 10*service.orderDuration)
	is.Equal(stored.appends.Load(), int32(1))
	for _, i := range x.instances {
		is.True(i.confirmed)
	}
}

// blockingStore blocks every append until the test ends.
type blockingStore struct {
	emptyStore
	blocked chan struct{}
}

func (s *blockingStore) Append(ctx context.Context, _ store.Append) (int64, error) {
	s.blocked <- struct{}{}
	<-ctx.Done()
	return 0, ctx.Err()
}

// listingInstances counts the lists of instances.
type listingInstances struct {
	slowInstances
	lists atomic.Int32
}

func (s *listingInstances) List(context.Context) ([]fleet.Instance, error) {
	s.lists.Add(1)
	return []fleet.Instance{{ID: "m0", Pool: "pool", Phase: fleet.InstanceUp}}, nil
}

// TestWaveOnSlowStoreDelaysNoMoves guards against pools that get no instances while the progress of a wave is being
// stored: on a slow store, no instance was moved for 2.4 s.
func TestWaveOnSlowStoreDelaysNoMoves(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	service, slow := &listingInstances{}, &blockingStore{blocked: make(chan struct{}, 10)}
	d.Instances, d.Store = service, slow
	d.driver.homeSizes = map[string]int{"pool": 1}
	d.driver.waves[1] = &wave{request: fleet.WaveRequest{Number: 1}}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.driver.run(ctx)
	<-slow.blocked
	before := service.lists.Load()
	time.Sleep(listInterval + 2*instanceInterval) // less than the timeout of the append
	is.True(service.lists.Load() > before)
}

// TestWaveLeavesOrdersForMoves guards against a wave that uses up the platform's rate limit while work waits for
// instances.
func TestWaveLeavesOrdersForMoves(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	d.Bounds.InstanceOrdersPerSecond = 100
	w := newInstanceDriver(d)
	is.Equal(w.waveBudget(100), 22)
	is.True(w.orderBudget(bootclock.Now()) >= 22)
	w.orderTokens = 0
	is.Equal(w.waveBudget(0), 0)
	is.Equal(w.waveBudget(5), 1) // the wave proceeds slowly while moves use the whole rate
}

// TestMovesLeaveOrdersForWaves guards against moves that use up the platform's rate limit in every step, so that
// drained instances wait for their maintenance until the wave is late.
func TestMovesLeaveOrdersForWaves(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	d.Bounds.InstanceOrdersPerSecond = 100
	w := newInstanceDriver(d)
	is.Equal(w.moveBudget(), 45)
	i := &waveInstance{phase: scheduling.MaintenanceDraining}
	w.waves[1] = &wave{instances: map[string]*waveInstance{"m0": i}}
	is.Equal(w.moveBudget(), 22)
	i.phase = scheduling.MaintenanceDone
	is.Equal(w.moveBudget(), 45)
}

// TestNewLeaderWaitsForStopsInFlight guards against a planned stop right after a change of leader: a task that the
// earlier leader has just stopped is still listed as running.
func TestNewLeaderWaitsForStopsInFlight(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 2, LongRunning: true, MayMiss: 1})
	for i, id := range []string{"w0", "w1"} {
		r := j.Task(0, 0, i).Assign(id, 1, d.now())
		r.Phase, r.Percent, r.SeenAt = workload.RunActive, 100, d.now()
	}
	w := newInstanceDriver(d)
	w.stopsAllowedFrom = bootclock.Now() + time.Minute
	is.True(!w.mayStop(j.Task(0, 0, 0)))
	w.stopsAllowedFrom = 0
	is.True(w.mayStop(j.Task(0, 0, 0)))
}

// TestSwitchedOffInstanceIsMaintained guards against a wave that waits until an instance is switched on, and against
// one that counts it as done before its maintenance can be over.
func TestSwitchedOffInstanceIsMaintained(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	d.Bounds.Maintenance = 2 * time.Second
	w := newInstanceDriver(d)
	i := &waveInstance{phase: scheduling.MaintenanceDraining}
	is.True(w.drainInstance(i, time.Minute))
	is.Equal(len(d.agents), 0) // no agent is created for it

	now := bootclock.Now()
	i.phase, i.confirmed, i.orderedAt = scheduling.MaintenanceOrdered, true, now
	off := fleet.Instance{ID: "m0", Phase: fleet.InstanceUp}
	w.listedAt = now + time.Second
	is.True(!w.isBack(i, off))
	w.listedAt = now + d.Bounds.Maintenance + orderRetryDelay + time.Second
	is.True(w.isBack(i, off))
	off.Phase = fleet.InstanceMaintenance
	is.True(!w.isBack(i, off))
}

// TestReportsFromBeforeAPauseAreStale guards against a planned stop by a leader that was paused. The reports that it
// reads afterwards are as old as its requests, and tasks may have ended since.
func TestReportsFromBeforeAPauseAreStale(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 2, LongRunning: true, MayMiss: 1})
	report := func(id string, index int, sent time.Duration) {
		a := d.agent(id)
		d.applyReport(a, worker.Report{ClockMillis: 1, Running: []worker.Running{
			{Task: j.Task(0, 0, index).Name(), Run: 1, Percent: 100},
		}}, sent)
	}
	for i, id := range []string{"w0", "w1"} {
		r := j.Task(0, 0, i).Assign(id, 1, d.now())
		r.Released = true
		d.attach(r)
		report(id, i, bootclock.Now()-time.Second) // a long poll of one second
	}
	w := newInstanceDriver(d)
	is.True(w.mayStop(j.Task(0, 0, 0)))
	report("w1", 1, bootclock.Now()-4*time.Second)
	is.True(!w.mayStop(j.Task(0, 0, 0)))
}

// TestPausedLeaderGivesNoOrders guards against an order of a leader that was paused, sent after its successor has
// ordered or used the instance. The service cannot refuse it if the successor has not ordered that instance.
func TestPausedLeaderGivesNoOrders(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	service := &slowInstances{}
	d.Instances = service
	confirmed := bootclock.Now()
	d.LastConfirmed = func() time.Duration { return confirmed }
	w := newInstanceDriver(d)
	is.NoErr(w.maintain(t.Context(), "m0", 1))
	w.move(t.Context(), scheduling.Move{Instance: "m0", To: "desk"}, "")
	is.Equal(service.orders.Load(), int32(2))
	confirmed -= 2 * time.Second
	is.True(errors.Is(w.maintain(t.Context(), "m0", 1), instances.ErrBusy)) // the order was not sent
	w.move(t.Context(), scheduling.Move{Instance: "m0", To: "desk"}, "")
	is.Equal(service.orders.Load(), int32(2))
}

// TestListDuringAnOrderShowsNoReturn guards against an instance that counts as maintained because of a list that was
// requested while its order was in flight: a worker that started before the order looks like the one after it.
func TestListDuringAnOrderShowsNoReturn(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	w := newInstanceDriver(d)
	i := &waveInstance{phase: scheduling.MaintenanceOrdered, worker: "w-before", orderedAt: bootclock.Now()}
	x := &wave{instances: map[string]*waveInstance{"m0": i}}
	w.listedAt = bootclock.Now()
	restarted := fleet.Instance{ID: "m0", Phase: fleet.InstanceUp, Worker: "w-after"}
	time.Sleep(time.Millisecond)
	w.applyOrderOutcome(x, "m0", nil)
	is.True(!w.isBack(i, restarted))
	w.listedAt = bootclock.Now()
	is.True(w.isBack(i, restarted))
}
