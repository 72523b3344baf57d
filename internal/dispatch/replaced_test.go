package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/store"
)

// drainingWave returns a driver with a wave that drains the instance m0 of the worker w0.
func drainingWave(d *Dispatcher, service *slowInstances) (*instanceDriver, *wave) {
	d.Instances, d.Bounds.InstanceOrdersPerSecond = service, 1000
	w := newInstanceDriver(d)
	w.listed = map[string]fleet.Instance{"m0": upInstance("w0")}
	w.listedAt = bootclock.Now()
	w.cordon("w0")
	return w, &wave{request: fleet.WaveRequest{Number: 1}, instances: map[string]*waveInstance{
		"m0": {phase: scheduling.MaintenanceDraining, worker: "w0"},
	}}
}

// upInstance returns the instance m0 with the given worker.
func upInstance(worker string) fleet.Instance {
	return fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceUp, Worker: worker, Labels: []string{"r0"}}
}

// TestWaveKeepsTheTasksOfANewWorker guards against a maintenance order that is sent because the worker that the
// instance had when it was selected has no runs. It ended the tasks of the instance's present worker.
func TestWaveKeepsTheTasksOfANewWorker(t *testing.T) {
	for name, x := range map[string]struct {
		selected string
		listed   fleet.Instance
		orders   int32 // in two steps
		worker   string
	}{
		"same worker":       {"w0", upInstance("w0"), 1, "w0"},
		"replaced":          {"w0", upInstance("w1"), 0, "w1"},
		"switched on":       {"", upInstance("w1"), 0, "w1"},
		"down":              {"w0", fleet.Instance{ID: "m0", Pool: "pool", Phase: fleet.InstanceDown}, 0, "w0"},
		"switched off":      {"w0", fleet.Instance{ID: "m0", Pool: "off", Phase: fleet.InstanceUp}, 1, ""},
		"missing in a list": {"w0", fleet.Instance{ID: "m1"}, 0, "w0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(2)
			d.Workers = &unresponsiveWorkers{}
			defer d.stop()
			d.Follower = followConfig(t, &fleet.Config{
				Version: 1, Pools: []fleet.Pool{{Name: "pool"}, {Name: "off", Standby: true}},
			})
			service := &slowInstances{}
			w, wave := drainingWave(d, service)
			i := wave.instances["m0"]
			i.worker = x.selected
			w.listed = map[string]fleet.Instance{x.listed.ID: x.listed}
			d.attach(d.addJob(unreadJob, oneTask).Task(0, 0, 0).Assign("w1", 1, d.now()))
			w.mu.Lock()
			defer w.mu.Unlock()
			w.drain(t.Context(), wave)
			w.drain(t.Context(), wave)
			is.Equal(service.orders.Load(), x.orders)
			is.Equal(i.worker, x.worker)
			is.Equal(d.agent("w1").cordoned, x.worker == "w1")
		})
	}
}

// appendHook is a store that calls a function in each append.
type appendHook struct {
	emptyStore
	appending func()
}

func (s appendHook) Append(context.Context, store.Append) (int64, error) {
	s.appending()
	return 0, nil
}

// TestWaveChecksTheWorkerAfterTheAppend guards against a maintenance order for an instance that got another worker
// while the order was being stored, which takes seconds on a slow store.
func TestWaveChecksTheWorkerAfterTheAppend(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	service := &slowInstances{}
	w, x := drainingWave(d, service)
	d.Store = appendHook{appending: func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.listed = map[string]fleet.Instance{"m0": upInstance("w1")}
		d.attach(d.addJob(unreadJob, oneTask).Task(0, 0, 0).Assign("w1", 1, d.now()))
	}}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drain(t.Context(), x)
	is.Equal(service.orders.Load(), int32(0))
	is.Equal(x.instances["m0"].phase, scheduling.MaintenanceDraining)
	is.Equal(x.instances["m0"].worker, "w1")
}

// TestRepeatedOrderLiftsTheCordon guards against a worker that gets no task for the rest of a term. A new leader has
// cordoned it before it repeated an order that its predecessor had sent, and the answer is that the maintenance is done.
func TestRepeatedOrderLiftsTheCordon(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	w, x := drainingWave(d, &slowInstances{})
	i := x.instances["m0"]
	i.phase, i.worker = scheduling.MaintenanceOrdered, "former" // as restored from the store
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drainAgain("m0", i)
	w.drain(t.Context(), x)
	is.True(i.confirmed)
	w.listedAt = bootclock.Now()
	w.observe(x)
	is.Equal(i.phase, scheduling.MaintenanceOrdered) // the maintenance may have begun only now
	is.True(d.agent("w0").cordoned)
	w.listedAt += d.Bounds.Maintenance + 2*orderRetryDelay
	clear(d.dirty)
	w.waves[2] = &wave{instances: map[string]*waveInstance{"m0": {phase: scheduling.MaintenanceDraining}}}
	w.observe(x)
	is.Equal(i.phase, scheduling.MaintenanceDone)
	is.True(d.agent("w0").cordoned) // another wave drains the instance

	delete(w.waves, 2)
	i.phase = scheduling.MaintenanceOrdered
	w.observe(x)
	is.True(!d.agent("w0").cordoned)
	is.True(d.dirty["pool"]) // waiting tasks are placed without a further event
}
