package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/fleet"
	"pollenlead/internal/workload"
)

// listedInstances is an instances service with the given list.
type listedInstances []fleet.Instance

func (l listedInstances) List(context.Context) ([]fleet.Instance, error)     { return l, nil }
func (listedInstances) Move(context.Context, string, string, int64) error    { return nil }
func (listedInstances) Maintain(context.Context, string, int64, int64) error { return nil }

// TestWorkerMissingFromOneListKeepsItsRuns guards against a second start of running tasks because one list, which is
// read in pages, lacks their instance.
func TestWorkerMissingFromOneListKeepsItsRuns(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &unresponsiveWorkers{}
	defer d.stop()
	d.agent("w0").firstSeen -= time.Minute
	d.agent("w1").firstSeen -= time.Minute
	j := d.addJob(unreadJob, oneTask)
	run := j.Task(0, 0, 0).Assign("w0", 1, d.now())
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.attach(run)
	w := newInstanceDriver(d)
	list := func(all ...fleet.Instance) {
		d.Instances = listedInstances(all)
		w.mu.Lock()
		defer w.mu.Unlock()
		is.True(w.refresh(d.ctx))
	}
	first := fleet.Instance{ID: "m0", Phase: fleet.InstanceUp, Worker: "w0"}
	second := fleet.Instance{ID: "m1", Phase: fleet.InstanceUp, Worker: "w1"}
	list(first, second)
	list(second)
	is.Equal(len(d.agent("w0").runs), 1)
	is.True(w.relist) // a new leader waits for the answer before it starts anything in the pool
	list(first, second)
	list(second)
	is.Equal(len(d.agent("w0").runs), 1)
	list(second)
	is.Equal(len(d.agent("w0").runs), 0) // its instance was removed
	is.True(!w.relist)

	run = j.Task(0, 0, 0).Assign("w1", 2, d.now())
	run.Released = true
	d.attach(run)
	second.Worker = "w2"
	list(second)
	is.Equal(len(d.agent("w1").runs), 0) // its instance has another worker
}
