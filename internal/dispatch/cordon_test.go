package dispatch

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/scheduling"
	"pollenlead/internal/workload"
)

// restoredDrain returns a driver that has read the record of a wave from its predecessor, which had ordered the
// maintenance of the instance m0, and that drains the instance's present worker w0 again.
func restoredDrain(d *Dispatcher) (*instanceDriver, *wave) {
	w, _ := drainingWave(d, &slowInstances{})
	d.agents["w0"].cordoned = false
	d.waveRecords[1] = &waveRecord{SeenMillis: d.now().UnixMilli(), Ordered: map[string]string{"m0": "former"}}
	x := w.restoreWave(follow.Wave{WaveRequest: fleet.WaveRequest{Number: 1, Instances: []string{"m0"}}})
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
