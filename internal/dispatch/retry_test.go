package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// failRun ends the only run of a task as failed.
func (d *Dispatcher) failRun(t *workload.Task) {
	d.mu.Lock()
	defer d.mu.Unlock()
	run := t.Runs[0]
	run.Released, run.Phase = true, workload.RunActive
	a := d.agent(run.Worker)
	d.applyEnd(a, worker.End{Number: a.seenEnd + 1, Task: t.Name(), Run: run.Number, Kind: worker.EndFailed})
}

// TestFailedTaskReturnsToItsOnlyWorker guards against a task that is never started again after one failure because only
// the worker on which it failed may run it. Such a worker is the only one with the label, the only one that is large
// enough, or the only one without another task of the step.
func TestFailedTaskReturnsToItsOnlyWorker(t *testing.T) {
	tests := map[string]struct {
		step    fleet.Step
		prepare func(d *Dispatcher)
	}{
		"label": {fleet.Step{Count: 2, RequiredLabel: "b"}, func(d *Dispatcher) {
			d.agent("w1").entry.Labels = []string{"b"}
		}},
		"size": {fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 40_000}}, func(d *Dispatcher) {
			d.agent("w2").entry.Capacity.CPUMilli = 48_000
		}},
		"spread": {fleet.Step{Count: 4, MaxPerWorker: 1, LongRunning: true}, func(*Dispatcher) {}},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(4)
			defer d.stop()
			x.prepare(d)
			j := d.addJob("0011223344556677", x.step)
			d.queues["queue"] = &fleet.Queue{Name: "queue", Attempts: 3, Stretch: 1}
			d.place()
			task := j.Task(0, 0, 0)
			is.Equal(len(task.Runs), 1)
			d.failRun(task)
			// The worker is avoided for a second, and may then prove that it is sound.
			d.wallStart = d.wallStart.Add(minFailureBackoff)
			if x.step.Count == 2 { // a worker that has to prove itself gets no second task
				d.wallStart = d.wallStart.Add(probeWindow)
			}
			d.dirty["pool"] = true
			d.place()
			is.Equal(len(task.Runs), 1)
		})
	}
}

// TestFailedTaskDoesNotWaitForAFullWorker guards against a task that waits for as long as long-running tasks fill all
// workers but the one on which it failed once. A worker with room that has had no failure for a while may run it.
func TestFailedTaskDoesNotWaitForAFullWorker(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	d.queues["queue"] = &fleet.Queue{Name: "queue", Attempts: 3, Stretch: 1}
	d.agent("w1").used = d.agent("w1").entry.Capacity
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	d.place()
	task := j.Task(0, 0, 0)
	d.failRun(task)
	d.wallStart = d.wallStart.Add(minFailureBackoff + probeWindow)
	d.dirty["pool"] = true
	d.place()
	is.Equal(len(task.Runs), 1)
	is.Equal(task.Runs[0].Worker, "w0")
}

// TestFailedTaskPrefersAnotherWorker guards against a task that uses up its attempts at one broken worker while other
// workers are only busy for a moment.
func TestFailedTaskPrefersAnotherWorker(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	d.queues["queue"] = &fleet.Queue{Name: "queue", Attempts: 3, Stretch: 1}
	other := d.agent("w1")
	other.used = other.entry.Capacity
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}, LongRunning: true})
	d.place()
	task := j.Task(0, 0, 0)
	is.Equal(task.Runs[0].Worker, "w0")
	d.failRun(task)
	d.wallStart = d.wallStart.Add(time.Second)
	d.dirty["pool"] = true
	d.place()
	is.Equal(len(task.Runs), 0) // the other worker may have room soon
	other.used = fleet.Resources{}
	d.dirty["pool"] = true
	d.place()
	is.Equal(len(task.Runs), 1)
	is.Equal(task.Runs[0].Worker, "w1")
}
