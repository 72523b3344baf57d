package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"pollenlead/internal/bootclock"
	"pollenlead/internal/fleet"
	"pollenlead/internal/follow"
	"pollenlead/internal/worker"
	"pollenlead/internal/workload"
)

var oneTask = fleet.Step{Count: 1, Need: fleet.Resources{CPUMilli: 1000}}

// TestUnstoredStartsNeedStoredWorkers guards against an unstored start at a worker that the next leader would not ask.
func TestUnstoredStartsNeedStoredWorkers(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &deadWorkers{}
	defer d.stop()
	run := func(j *job) *workload.Run { return j.Task(0, 0, 0).Runs[0] }
	j := d.addJob("0011223344556677", oneTask)
	d.place()
	long := bootclock.Now() - unstoredAfter - time.Millisecond
	d.releaseUnstored(bootclock.Now())
	is.True(!run(j).Released) // the append may still succeed
	d.releaseUnstored(long)
	is.True(!run(j).Released) // the worker is not stored
	d.storedWorkers["w0"] = "pool"
	d.releaseUnstored(long)
	is.True(run(j).Released)
}

// TestNewLeaderAsksTheWorkersFirst guards against a task that a new leader starts again while it runs at a worker that has not been
// asked yet, without the store's knowledge. The job may also have been accepted after the change of leaders, while the earlier one
// still worked.
func TestNewLeaderAsksTheWorkersFirst(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	older := d.addJob("0011223344556677", oneTask)
	silent := d.agent("w1")
	silent.unsettled, silent.contacted = true, false
	d.storedWorkers["w1"] = "pool"
	d.place()
	is.Equal(len(older.Task(0, 0, 0).Runs), 0)

	d.reported(silent, worker.Report{ClockMillis: 1, Running: []worker.Running{{Task: older.Task(0, 0, 0).Name(), Run: 1}}}, bootclock.Now())
	is.Equal(len(older.Task(0, 0, 0).Runs), 1) // taken over, not stopped
	is.Equal(older.Task(0, 0, 0).Runs[0].Worker, "w1")
	is.Equal(older.Task(0, 0, 0).Runs[0].Phase, workload.RunActive)
	d.place()
	is.Equal(len(older.Task(0, 0, 0).Runs), 1)
}

// TestOlderJobsGoOnAfterTheLease guards against jobs that wait for ever for a worker that is gone.
func TestOlderJobsGoOnAfterTheLease(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	defer d.stop()
	d.Bounds.MaxLease = leaseDuration
	older := d.addJob("0011223344556677", oneTask)
	gone := d.agent("w1")
	gone.unsettled, gone.contacted, gone.entry = true, false, nil
	d.storedWorkers["w1"] = "pool"
	d.expireLeases()
	d.place()
	is.Equal(len(older.Task(0, 0, 0).Runs), 0)
	d.fencedAt -= renewWithoutStore + 2*leaseDuration
	d.expireLeases()
	d.place()
	is.Equal(len(older.Task(0, 0, 0).Runs), 1)
}

// TestStrangerIsStopped guards against the adoption of a run whose task is done.
func TestStrangerIsStopped(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	d.Workers = &deadWorkers{}
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 2})
	task := j.Task(0, 0, 0)
	j.End(task, task.Assign("w0", 1, d.now()), worker.EndDone, "", 2, d.now())
	d.reported(d.agent("w0"), worker.Report{ClockMillis: 1, Running: []worker.Running{{Task: task.Name(), Run: 2}}}, bootclock.Now())
	is.Equal(len(task.Runs), 0)
	is.Equal(len(d.agent("w0").stray), 1)
}

// TestLaterRunIsAdopted guards against stopping a run that followed a stored one while the store was away.
func TestLaterRunIsAdopted(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	d.Workers = &deadWorkers{}
	defer d.stop()
	j := d.addJob("0011223344556677", fleet.Step{Count: 1, LongRunning: true})
	task := j.Task(0, 0, 0)
	first := task.Assign("w0", 1, d.now())
	first.Stored, first.Released, first.Inherited = true, true, true
	d.attach(first)
	d.reported(d.agent("w1"), worker.Report{ClockMillis: 1, Running: []worker.Running{{Task: task.Name(), Run: 2, Percent: 100}}}, bootclock.Now())
	is.Equal(len(task.Runs), 2)
	d.reported(d.agent("w0"), worker.Report{ClockMillis: 1, Ended: []worker.End{{Number: 1, Task: task.Name(), Run: 1, Kind: worker.EndStopped}}}, bootclock.Now())
	is.Equal(len(task.Runs), 1)
	is.Equal(task.Runs[0].Worker, "w1")
}

// TestEndsAtLeavingWorkersAreStoredFirst guards against a job that is shown as done while its end is known only to a worker that is
// leaving: the next leader ran such a task again.
func TestEndsAtLeavingWorkersAreStoredFirst(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	a := d.agent("w0")
	j := d.addJob("0011223344556677", oneTask)
	d.place()
	run := j.Task(0, 0, 0).Runs[0]
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	a.entry.Draining = true
	d.reported(a, worker.Report{ClockMillis: 1, Ended: []worker.End{{Number: 1, Task: run.Task.Name(), Run: 1, Kind: worker.EndDone}}}, bootclock.Now())
	is.Equal(j.State, workload.StateDone)
	shown := func() workload.State {
		d.PeerContact(time.Minute)
		d.releaseUnstored(bootclock.Now() - awayAfter - time.Millisecond)
		return j.visible
	}
	is.Equal(shown(), workload.StatePending)
	a.entry.Draining, a.silentSince = false, bootclock.Now()
	is.Equal(shown(), workload.StatePending)
	a.silentSince = 0
	is.Equal(shown(), workload.StateDone)
}

// TestDoneIsShownWhileOnePartitionIsAway guards against jobs that are not shown as done for seconds because a partition is away that every
// leader needs: nobody else can lead meanwhile.
func TestDoneIsShownWhileOnePartitionIsAway(t *testing.T) {
	is := is.New(t)
	d := newFixture(0)
	defer d.stop()
	began := bootclock.Now() - awayAfter - time.Millisecond
	d.PeerContact(0)
	is.True(!d.noOtherLeads(began)) // the store answers others and, as far as is known, not this one
	d.Follower = follow.New(idleStore{}, follow.Decoder{}, zerolog.Nop())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go d.Follower.Run(ctx)
	for _, ok := d.Follower.Age(); !ok; _, ok = d.Follower.Age() {
		time.Sleep(time.Millisecond)
	}
	is.True(d.noOtherLeads(began))
	is.True(!d.noOtherLeads(bootclock.Now())) // it has just begun
}

// TestDoneIsStoredIfOthersReachTheStore guards against a leader that is cut off from the store alone and shows a job as done: the next
// leader, which begins a moment later, does not know the end if its worker has crashed, and runs the task again.
func TestDoneIsStoredIfOthersReachTheStore(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	j := d.addJob("0011223344556677", oneTask)
	d.place()
	run := j.Task(0, 0, 0).Runs[0]
	run.Stored, run.Released, run.Phase = true, true, workload.RunActive
	d.reported(d.agent("w0"), worker.Report{ClockMillis: 1, Ended: []worker.End{{Number: 1, Task: run.Task.Name(), Run: 1, Kind: worker.EndDone}}}, bootclock.Now())
	shown := func() workload.State {
		d.releaseUnstored(bootclock.Now() - awayAfter - time.Millisecond)
		return j.visible
	}
	is.Equal(shown(), workload.StatePending) // nobody has told whether the store answers
	d.PeerContact(100 * time.Millisecond)
	is.Equal(shown(), workload.StatePending) // it answers another entry instance
	// The last contact of another was while the append was under way that the store no longer answered.
	d.peersStored = bootclock.Now() - awayAfter + contactSlack/2
	is.Equal(shown(), workload.StateDone)
}

// TestFailureIsCountedOnce guards against a job that is shown as failed because a new leader counts a failure again that its predecessor has
// stored and not acknowledged.
func TestFailureIsCountedOnce(t *testing.T) {
	is := is.New(t)
	d := newFixture(1)
	defer d.stop()
	j := d.addJob("0011223344556677", oneTask)
	task := j.Task(0, 0, 0)
	task.LastRun, task.RestoredRun, task.Failures = 1, 1, 1
	failed := func(number int64, run int) {
		d.reported(d.agent("w0"), worker.Report{ClockMillis: 1, Ended: []worker.End{{Number: number, Task: task.Name(), Run: run, Kind: worker.EndFailed}}}, bootclock.Now())
	}
	failed(1, 1)
	is.Equal(task.Failures, 1)
	failed(2, 2) // started without being stored: not counted yet
	is.Equal(task.Failures, 2)
}

// TestStoredRunWaitsForTheOtherWorkers guards against a new leader that starts a stored run again at its worker, which never took it, while
// another worker that has not been asked lists the end of a later run: the task then runs after it was done.
func TestStoredRunWaitsForTheOtherWorkers(t *testing.T) {
	is := is.New(t)
	d := newFixture(2)
	workers := &deadWorkers{}
	d.Workers = workers
	defer d.stop()
	restored := func(id string) *workload.Run {
		j := d.addJob(id, oneTask)
		r := j.Task(0, 0, 0).Assign("w0", 1, d.now())
		r.Stored, r.Released, r.Inherited = true, true, true
		d.attach(r)
		return r
	}
	done, open := restored("0011223344556677"), restored("0011223344556678")
	unasked := d.agent("w1")
	unasked.unsettled, unasked.contacted = true, false
	d.storedWorkers["w0"], d.storedWorkers["w1"] = "pool", "pool"
	d.reported(d.agent("w0"), worker.Report{ClockMillis: 1}, bootclock.Now())
	is.Equal(len(d.sending), 0)

	d.reported(unasked, worker.Report{ClockMillis: 1, Ended: []worker.End{{Number: 1, Task: done.Task.Name(), Run: 2, Kind: worker.EndDone}}}, bootclock.Now())
	is.Equal(d.jobs["0011223344556677"].State, workload.StateDone)
	d.place()
	d.mu.Lock()
	defer d.mu.Unlock()
	is.True(d.sending[open])                                      // every worker has been asked
	is.True(done.Phase == workload.RunStopping)                   // it is barred where it was assigned
	is.Equal(d.jobs["0011223344556678"].Task(0, 0, 0).LastRun, 1) // the same run, which its worker takes as one start
}
