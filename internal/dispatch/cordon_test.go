package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// restoredDrain returns a driver that has read the record of a wave from its predecessor, which had ordered the
// maintenance of the instance m0, and that drains the instance's present worker w0 again.
func restoredDrain(d *Dispatcher) (*instanceDriver, *wave) {
	w, _ := drainingWave(d, &slowInstances{})
	d.agents["w0"].cordoned = false
	d.waveRecords[1] = &waveRecord{SeenMillis: d.now().UnixMilli(), Ordered: map[string]string{"m0": "former"}}
	x := w.restoreWave(follow.Wave{WaveRequest: fleet.WaveRequest{Number: 1, Instances: []string{"m0"}, MaxDown: 1}})
	w.waves[1] = x
	return w, x
}

// TestCordonOutlastsAForgottenWorker guards against tasks that start on a worker which a wave drains: a worker without
// an entry and without runs was forgotten together with its cordon. Its runs were started and stopped in turn, and the
// instance was never drained.
func TestCordonOutlastsAForgottenWorker(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	entry := d.agent("w0").entry
	d.agents["w0"].entry, d.agents["w0"].renewing = nil, false // the store, which was away, has let the entry expire
	w, x := restoredDrain(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drainAgain("m0", x.instances["m0"])
	w.cordonWaves()
	d.expireLeases()
	is.Equal(d.agents["w0"], nil)

	d.ctx = nil // renewals are not started
	d.updateEntry(entry)
	d.agents["w0"].contacted, d.agents["w0"].clockAt = true, bootclock.Now()
	is.True(!d.usable(d.agents["w0"], d.now(), bootclock.Now()))
	x.instances["m0"].phase = scheduling.MaintenanceDone
	w.uncordonMaintained("m0")
	w.cordonWaves()
	is.True(d.usable(d.agents["w0"], d.now(), bootclock.Now()))
}

// TestLeaderChangesDuringADrain guards against a wave that is stuck, or that ends a task, after the leader has changed
// while the order for an instance was in flight: the instance has another worker with a task that has to leave first.
func TestLeaderChangesDuringADrain(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 2, LongRunning: true, MayMiss: 1})
	for i, id := range []string{"w0", "w1"} {
		r := j.Task(0, 0, i).Assign(id, 1, d.now())
		r.Phase, r.Percent, r.SeenAt, r.Released = workload.RunActive, 100, d.now(), true
		d.attach(r)
	}
	w, x := restoredDrain(d)
	service := d.Instances.(*slowInstances)
	step := func() {
		w.drain(context.Background(), x)
		w.cordonWaves()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	step()
	step()
	run := j.Task(0, 0, 0).Runs[0]
	is.Equal(run.Phase, workload.RunStopping)
	is.True(d.agents["w0"].cordoned)
	is.Equal(service.orders.Load(), int32(0)) // the run has not ended

	d.mu.Lock()
	d.dropRun(d.agents["w0"], run)
	d.mu.Unlock()
	step()
	is.Equal(service.orders.Load(), int32(1))
	w.listedAt = bootclock.Now() + d.Bounds.Maintenance + 2*orderRetryDelay
	w.observe(x)
	w.cordonWaves()
	is.Equal(x.instances["m0"].phase, scheduling.MaintenanceDone)
	is.True(!d.agents["w0"].cordoned)
}

// TestDoneMaintenanceIsKnownByTheNextAnswer guards against a wave that holds the places of instances which an earlier
// leader has had maintained until a list can show that the repeated order restarted nothing, and against an instance
// that counts as back because of an answer from before the order or from another incarnation.
func TestDoneMaintenanceIsKnownByTheNextAnswer(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 1}, bootclock.Now())
	w, x := drainingWave(d, &slowInstances{})
	before := bootclock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drain(context.Background(), x)
	i := x.instances["m0"]
	is.True(i.confirmed)
	w.listedAt = bootclock.Now()
	d.applyReport(a, worker.Report{ClockMillis: 2, Incarnation: 1}, before)
	is.True(!w.isBack(i, w.listed["m0"]))
	d.applyReport(a, worker.Report{ClockMillis: 3, Incarnation: 1}, bootclock.Now())
	is.True(w.isBack(i, w.listed["m0"]))
	d.applyReport(a, worker.Report{ClockMillis: 1, Incarnation: 2}, bootclock.Now())
	is.True(!w.isBack(i, w.listed["m0"])) // the order has ended the former incarnation
}

// TestDrainsStopInTheirOrder guards against an instance that waits until its wave is late to stop a long-running task,
// because instances that were selected after it stop those of the same step first.
func TestDrainsStopInTheirOrder(t *testing.T) {
	is := is.New(t)
	x := &wave{request: fleet.WaveRequest{MaxDown: 2}, instances: map[string]*waveInstance{}}
	for n, id := range []string{"m2", "m0", "m1"} {
		x.instances[id] = &waveInstance{phase: scheduling.MaintenanceDraining, drainedFrom: time.Duration(n)}
	}
	is.Equal(x.byDrain(), []string{"m2", "m0", "m1"})
	is.Equal(x.mayGoDown(), 2)
	x.instances["m0"].phase = scheduling.MaintenanceOrdered
	is.Equal(x.mayGoDown(), 1) // the others are drained, but not ordered
}

// lateRun returns a driver that drains the worker w0, with a run there that has been running for the given time.
func lateRun(d *Dispatcher, step fleet.Step, elapsed time.Duration) (*instanceDriver, *wave, *workload.Run) {
	w, x := drainingWave(d, &slowInstances{})
	d.Bounds.Maintenance, d.Bounds.MaxStopTime = 2*time.Second, time.Second
	for n := range 200 {
		took := step.Estimate * time.Duration(1+n%30/29*6) // some take seven times as long
		d.estimates.model.Observe("queue", step.Estimate, took)
	}
	r := d.addJob("0011223344556677", step).Task(0, 0, 0).Assign("w0", 1, d.now())
	r.Phase, r.Released, r.ActiveSince = workload.RunActive, true, d.now().Add(-elapsed)
	d.attach(r)
	return w, x, r
}

// TestRunThatMakesItsWaveLateIsStopped guards against a wave that waits beyond its deadline for a run that takes
// several times as long as usual, against the stop of runs that will end in time, and of members of gangs and of
// long-running steps, which have rules of their own.
func TestRunThatMakesItsWaveLateIsStopped(t *testing.T) {
	ordinary := fleet.Step{Count: 1, Estimate: time.Second, Need: fleet.Resources{CPUMilli: 1000}}
	gang, serving := ordinary, ordinary
	gang.Gang = true
	serving.LongRunning = true
	for name, x := range map[string]struct {
		step          fleet.Step
		elapsed, left time.Duration
		stops         bool
	}{
		"late":           {ordinary, 5 * time.Second, 4 * time.Second, true},
		"past deadline":  {ordinary, 100 * time.Millisecond, -time.Second, true},
		"ends in time":   {ordinary, 100 * time.Millisecond, 6 * time.Second, false},
		"there is time":  {ordinary, 5 * time.Second, time.Minute, false},
		"gang":           {gang, 5 * time.Second, time.Second, false},
		"may not be off": {serving, 5 * time.Second, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			d.Workers = &unresponsiveWorkers{}
			defer d.stop()
			w, wave, r := lateRun(d, x.step, x.elapsed)
			w.stopsAllowedFrom = bootclock.Now() + time.Minute
			is.True(!w.drainInstance(wave.instances["m0"], x.left))
			is.Equal(r.Phase == workload.RunStopping, x.stops)
		})
	}
}

// TestNewLeaderKeepsThePaceOfAWave guards against a leader that counts the window of a wave from its own term: it would
// take the last instances after the deadline.
func TestNewLeaderKeepsThePaceOfAWave(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	d.waveRecords[1] = &waveRecord{SeenMillis: time.Now().Add(-10 * time.Second).UnixMilli(), Done: []string{"m0"}}
	w := newInstanceDriver(d)
	w.waves[1] = w.restoreWave(follow.Wave{SeenAt: bootclock.Now(), WaveRequest: fleet.WaveRequest{
		Number: 1, Instances: []string{"m0", "m1", "m2", "m3"}, FinishBy: 24 * time.Second, MaxDown: 4,
	}})
	view := w.waveView(w.waves[1])
	is.True(view.TimeLeft < 14*time.Second+time.Second/10)
	is.Equal(view.Behind(), 1) // two of four are due
}

// TestWorkerBackUnderItsIDStaysCordoned guards against tasks that start on an instance which a wave drains because its
// worker has started again under its ID.
func TestWorkerBackUnderItsIDStaysCordoned(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	w, x := drainingWave(d, &slowInstances{})
	w.waves[1] = x
	a := d.agent("w0")
	restartInPool(d, a, "pool")
	w.cordonWaves()
	is.True(!d.usable(a, d.now(), bootclock.Now()))
}
