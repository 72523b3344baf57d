package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

// refusingWorkers answer every start as an unhealthy worker does.
type refusingWorkers struct{ unresponsiveWorkers }

func (w *refusingWorkers) Start(context.Context, worker.Address, worker.Start) (int64, error) {
	w.calls.Add(1)
	return 0, worker.ErrUnhealthy
}

// stateAndPending returns the state of a job of the fixture as clients see it, and the number of pending jobs.
func (d *Dispatcher) stateAndPending(t *testing.T, id string) (workload.State, int) {
	t.Helper()
	is := is.New(t)
	state, err := d.JobState("queue", "team", id)
	is.NoErr(err)
	pending, err := d.PendingJobs("queue")
	is.NoErr(err)
	return state, pending
}

// TestRefusedJobIsPending guards against a job that is left out of the pending jobs, and shown as running, although its
// worker refuses each start.
func TestRefusedJobIsPending(t *testing.T) {
	is := is.New(t)
	workers := &refusingWorkers{}
	d := newFixture(1)
	d.Workers = workers
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}})
	for range 2 {
		d.place()
		d.applyCommitted(d.collectBatch())
		await(t, d, func() bool { return len(j.Task(0, 0, 0).Runs) == 0 && len(d.ordersInFlight) == 0 })
		state, pending := d.stateAndPending(t, j.ID)
		is.Equal(state, workload.StatePending)
		is.Equal(pending, 1)
		d.wallStart = d.wallStart.Add(unreachableBackoff)
		d.dirty["pool"] = true
	}
	is.Equal(workers.calls.Load(), int64(2))
}

// TestStartedJobIsNotPending guards against a job that stays among the pending ones after its start: the start was
// answered, its answer was lost and the worker lists the run, or the worker lists an end at once.
func TestStartedJobIsNotPending(t *testing.T) {
	name := workload.TaskName("0011223344556677", 0, 0, 0)
	for how, report := range map[string]worker.Report{
		"answered": {},
		"listed":   {ClockMillis: 1, Running: []worker.Running{{Task: name, Run: 1, Percent: 100}}},
		"ended":    {ClockMillis: 1, Ended: []worker.End{{Number: 1, Task: name, Run: 1, Kind: worker.EndLapsed}}},
	} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			d := newFixture(1)
			d.Workers = &unresponsiveWorkers{}
			defer d.stop()
			j := d.addJob("0011223344556677", oneTask)
			d.place()
			state, pending := d.stateAndPending(t, j.ID)
			is.Equal(state, workload.StatePending)
			is.Equal(pending, 1)
			run := j.Task(0, 0, 0).Runs[0]
			run.Stored, run.Released = true, true
			b := d.collectBatch() // holds the state before the start, and is stored after it
			if how == "answered" {
				d.applyStartOutcome(d.agent("w0"), run, nil, false)
			} else {
				d.applyReport(d.agent("w0"), report, bootclock.Now())
			}
			d.applyCommitted(b)
			state, pending = d.stateAndPending(t, j.ID)
			is.Equal(state, workload.StateRunning)
			is.Equal(pending, 0)
		})
	}
}

// TestNewLeaderKeepsAJobPending guards against a new leader that takes an assignment for a start: the worker refuses
// it, and the job is left out of the pending ones for good. It also guards against a running job that is shown as
// pending until its worker has answered the new leader.
func TestNewLeaderKeepsAJobPending(t *testing.T) {
	is := is.New(t)
	earlier := newFixture(1)
	job := earlier.addJob("0011223344556677", oneTask)
	earlier.place()
	record := earlier.collectBatch().records()[0]
	earlier.stop()

	d := newFixture(1)
	defer d.stop()
	j := d.addJob(job.ID, oneTask)
	j.Occurrences = nil
	is.NoErr(j.Restore(record.Value, nil, time.Now()))
	d.adoptJob(j)
	run := j.Task(0, 0, 0).Runs[0]
	state, pending := d.stateAndPending(t, j.ID)
	is.Equal(state, workload.StateRunning) // the run may be at work
	is.Equal(pending, 1)
	d.applyStartOutcome(d.agent("w0"), run, worker.ErrUnhealthy, false)
	state, pending = d.stateAndPending(t, j.ID)
	is.Equal(state, workload.StatePending)
	is.Equal(pending, 1)
}

// TestJobOfARenamedQueueIsFound guards against a job that is answered as unknown because a version replaced its queue
// by one of another name at the same address. A job of a queue that is still there is found only there.
func TestJobOfARenamedQueueIsFound(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	j := d.addJob("0011223344556677", oneTask)
	state := func(queue, team string, queues ...string) error {
		c := &fleet.Config{Version: 1}
		for _, name := range queues {
			c.Queues = append(c.Queues, fleet.Queue{Name: name, Pool: "pool"})
		}
		d.Follower = followConfig(t, c)
		_, err := d.JobState(queue, team, j.ID)
		return err
	}
	is.NoErr(state("queue", "team", "queue"))
	is.NoErr(state("renamed", "team", "renamed"))
	is.Equal(state("renamed", "other team", "renamed"), ErrNoJob)
	is.Equal(state("other", "team", "queue", "other"), ErrNoJob)
	is.Equal(state("unknown", "team", "renamed"), ErrNoJob)
}

// TestPendingJobsOfARenamedQueue guards against waiting jobs that are answered as pending but not counted, because a
// version replaced their queue by one of another name at the same address, and against jobs that count for a queue at
// another address.
func TestPendingJobsOfARenamedQueue(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	j := d.addJob("0011223344556677", oneTask)
	j.Address = "host/a/"
	d.Follower = followConfig(t, &fleet.Config{Version: 1, Queues: []fleet.Queue{
		{Name: "renamed", Host: "host", PathPrefix: "/a/", Pool: "pool"},
		{Name: "other", Host: "host", PathPrefix: "/b/", Pool: "pool"},
	}})
	for queue, want := range map[string]int{"renamed": 1, "other": 0} {
		n, err := d.PendingJobs(queue)
		is.NoErr(err)
		is.Equal(n, want)
		_, err = d.JobState(queue, "team", j.ID)
		is.Equal(err == nil, want == 1)
	}
}
